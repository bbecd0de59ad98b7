"""HTTP/1.1 over trio with h11.

`server` answers callers, `client` talks to servers, `platform_client` speaks
the object store's API. Shared message types stand in `messages`.
"""
