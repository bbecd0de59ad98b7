"""The gateway: routes callers' requests to targets that register themselves.

Where configuration, targets and names of headers come from is left to the
protocols in `ports`; an adapter implements them for one platform.
"""
