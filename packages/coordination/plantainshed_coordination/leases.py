"""Leases in the platform's object store, timed by each candidate's own clock.

Clocks of different VMs are never compared. A candidate observes the version of
the lease object. If the version has not changed for the whole time to live, the
holder has stopped renewing, and the candidate acquires the lease by a
conditional write. If a holder was paused and lost the lease, its next renewal is
rejected. Its writes before that must be fenced by the version of the objects
that it writes.
"""

import json

import trio
from attrs import frozen

from .errors import ObjectMissing, OutcomeUnknown, PlatformError, VersionConflict
from .platform import ABSENT, Platform

LEASE_KIND = "lease"
DEFAULT_TTL_S = 6.0
FREE = ""


@frozen
class ObservedLease:
    """State of a lease when it was last read or written.

    Parameters
    ----------
    holder : str
        Empty if the lease was released.
    version : int
        Version of the object in the store.
    observed_at : float
        When this version was first seen, by this process's clock.
    """

    holder: str
    version: int
    observed_at: float


class Lease:
    """One candidate's view of one lease.

    Parameters
    ----------
    platform : Platform
    name : str
    holder : str
        Name of the candidate.
    ttl_s : float
    """

    def __init__(
        self, platform: Platform, name: str, holder: str, ttl_s: float = DEFAULT_TTL_S
    ):
        self.platform = platform
        self.name = name
        self.holder = holder
        self.ttl_s = ttl_s
        self.observed: ObservedLease | None = None
        self.renewed_at = -ttl_s

    @property
    def is_held(self) -> bool:
        """Whether this candidate holds the lease, by its own clock.

        No other candidate can acquire the lease before the time to live has
        passed since the start of the last successful renewal.
        """
        return trio.current_time() - self.renewed_at < self.ttl_s

    @property
    def renew_interval_s(self) -> float:
        """Interval between calls of `try_hold`, in seconds."""
        return self.ttl_s / 3

    async def try_hold(self) -> bool:
        """Acquire or renew the lease; return whether this candidate holds it."""
        began_at = trio.current_time()
        try:
            if not self.is_held or self.observed is None:
                await self._read()
                if not self._can_acquire():
                    self.renewed_at = -self.ttl_s
                    return False
            await self._write(self.holder)
        except PlatformError:
            return self.is_held
        self.renewed_at = began_at
        return True

    async def release(self):
        """Release the lease on a planned stop, so that others need not wait."""
        if not self.is_held:
            return
        self.renewed_at = -self.ttl_s
        try:
            if self.observed is None:
                await self._read()
                if self.observed.holder != self.holder:
                    return
            await self._write(FREE)
        except PlatformError:
            # The lease expires by itself, and no caller depends on the release.
            return

    async def _read(self):
        try:
            stored = await self.platform.get(LEASE_KIND, self.name)
        except ObjectMissing:
            self.observed = ObservedLease(FREE, ABSENT, trio.current_time())
            return
        if self.observed is None or self.observed.version != stored.version:
            holder = json.loads(stored.value)["holder"]
            self.observed = ObservedLease(holder, stored.version, trio.current_time())

    def _can_acquire(self) -> bool:
        if self.observed.holder in (FREE, self.holder):
            return True
        return trio.current_time() - self.observed.observed_at >= self.ttl_s

    async def _write(self, holder: str):
        value = json.dumps({"holder": holder}).encode()
        try:
            version = await self.platform.put(
                LEASE_KIND, self.name, value, self.observed.version
            )
        except OutcomeUnknown:
            # The write may have changed the version, and then the next one would be
            # rejected. Read the lease again before that.
            self.observed = None
            raise
        except VersionConflict:
            self.observed = None
            self.renewed_at = -self.ttl_s
            raise
        self.observed = ObservedLease(holder, version, trio.current_time())
