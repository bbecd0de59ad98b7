"""Coordination library for fleets of small, diskless VMs.

Modules for use by other programs:

==================  =========================================================
`platform`          interface of the object store (`Platform`)
`transport`         transports between members (`Transport`, datagrams)
`network`           messages, requests and replies between members
`membership`        membership and liveness (`Membership`, `SeedMember`)
`rumors`            flooding of small messages (`RumorBook`)
`leases`            leases, timed by each candidate's own clock
`budgets`           definitions of shared rates and counts (`BudgetSpec`)
`holdings`          this member's shares of budgets
`lending`           taking tokens, and borrowing missing ones
`lenders`           known state of the members that may lend
`count_loans`       borrowing slots
`rebalancer`        moving shares of budgets to where demand is
`demand_reporter`   reporting demand to the rebalancer
`versioned`         a document in the store, changed atomically
`follower`          following a document, from the store or peers
`operations`        at-most-once execution (`OperationRegistry`)
`control`           bulk transfers and operators' commands over gRPC
==================  =========================================================

``examples/embed_budget.py`` combines several of them.
"""
