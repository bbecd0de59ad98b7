"""The entry daemon.

A caller gets a list of entry VMs from `lookup` and sends its request to one of
them. On that VM, `admission` authenticates the request and applies the
workspace's rate limit, `routing` selects targets with free slots, `attempts`
decides whether a failed attempt may be retried, and `relay` forwards the bytes.
`node` connects these modules to the rest of the fleet, and `daemon` runs a node
on real sockets.
"""
