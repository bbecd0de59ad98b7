"""Coordination parts for fleets of small, diskless VMs.

The public interface is what the modules name: `versioned` (documents),
`platform` (what the store must offer), `digests` (choices made alike).
"""
