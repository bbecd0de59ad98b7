"""Coordination parts for fleets of small, diskless VMs.

What a program embeds, by module:

==================  =========================================================
`platform`          what the object store must offer (`Platform`)
`transport`         how members reach each other (`Transport`, datagrams)
`network`           messages, questions and answers between members
`membership`        who is there (`Membership`, `SeedMember`)
`rumors`            small statements that reach everybody (`RumorBook`)
`leases`            doing something alone, judged by each observer's clock
`budgets`           what is shared: rates and counts (`BudgetSpec`)
`holdings`          this member's parts of budgets
`lending`           taking tokens, borrowing what is missing
`lenders`           what is known of the members that may lend
`count_loans`       borrowing slots
`rebalancer`        moving parts to where they are wanted
`demand_reporter`   telling the rebalancer what is wanted
`versioned`         a document in the store, changed whole or not at all
`follower`          keeping up with a document, from store or peers
`operations`        what must happen at most once
`control`           bulk exchanges and operators' calls over gRPC
==================  =========================================================

``examples/embed_budget.py`` puts a few of them together.
"""
