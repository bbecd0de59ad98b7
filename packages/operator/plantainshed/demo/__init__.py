"""Demo: a whole fleet in one process on loopback, under a short load.

The platform and the targets are stand-ins. `deployment` loads an example, `fleet` runs
the platform, the targets and the entry daemons. `callers` generates the load,
`outcomes` checks the results, and `story` runs the demo from start to end.
"""
