"""Coordination library for fleets of small, diskless VMs.

Modules for use by other programs:

==================  =========================================================
`platform`          interface of the object store (`Platform`)
`transport`         transports between VMs (`Transport`, datagrams)
`network`           messages, requests and replies between VMs
`membership`        membership and liveness (`Membership`, `SeedMember`)
`rumors`            flooding of small messages (`RumorBook`)
`leases`            leases, timed by each candidate's own clock
`budgets`           definitions of shared rates and counts (`BudgetSpec`)
`holdings`          this VM's parts of all budgets (`Holdings`)
`lending`           taking tokens of rates, borrowing them if needed
`lenders`           tokens that other VMs can lend (`Lenders`)
`count_loans`       borrowing slots of counts from other VMs
`rebalancer`        moving parts of budgets to VMs with demand
`demand_reporter`   reporting demand to the rebalancer
`versioned`         a document in the store, changed atomically
`follower`          keeping a copy of that document up to date
`operations`        at-most-once execution (`OperationRegistry`)
`control`           bulk transfers and operators' commands over gRPC
==================  =========================================================

``examples/embed_budget.py`` combines several of them.
"""
