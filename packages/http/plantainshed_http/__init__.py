"""HTTP/1.1 over trio with h11.

`server` is the HTTP server, `client` the HTTP client, and `platform_client` the
client for the platform's API. `messages` contains shared types and limits.
"""
