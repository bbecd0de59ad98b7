"""Replay of traces, benchmarks, and measurements for capacity planning.

`trace` reads and writes trace files, and `make_traces` generates those in ``traces``.
`rig` runs several nodes in memory, `callers` sends them the requests of a trace, and
`tally` counts the outcomes.
"""
