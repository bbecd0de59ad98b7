"""Stand-ins for the systems around plantainshed, for tests and demos.

`memory_platform` is an in-memory object store and VM list that can simulate
outages, slow calls and lost responses. `platform_server` serves it over HTTP.
`memory_network` is an in-memory datagram network with simulated faults.
`target_server` is a target that counts the requests it executes.
"""
