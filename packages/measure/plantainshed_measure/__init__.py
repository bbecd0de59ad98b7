"""Measurements: replay of traces, benchmarks, and slopes for capacity.

`trace` is the format, `make_traces` writes the committed ones, `rig` joins
several nodes in memory, `callers` replays arrivals, `tally` judges.
"""
