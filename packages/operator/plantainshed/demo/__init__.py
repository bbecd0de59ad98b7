"""A whole fleet in one process, on loopback, with stand-ins and a short load.

`deployment` reads an example, `fleet` starts the processes' parts, `callers`
makes the load, `outcomes` judges it, `story` tells it from start to end.
"""
