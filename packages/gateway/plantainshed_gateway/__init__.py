"""The gateway routes callers' requests to targets that register themselves.

Configuration, targets and header names come from a platform adapter, which
implements the protocols in `ports`.
"""
