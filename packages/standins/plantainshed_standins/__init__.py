"""Small stand-ins for what surrounds the system.

`memory_platform` is the object store and VM list in memory, with outages, slow
calls and lost answers on demand; `platform_server` offers it over HTTP;
`target_server` is a back end that counts what it ran.
"""
