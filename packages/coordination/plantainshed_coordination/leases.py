"""Leases kept in the platform's store, judged by each observer's own clock.

No two clocks are compared. Whoever wants a lease watches the object's version:
when that has not changed for the whole time to live, its holder has stopped
renewing, and a conditional write takes it over. A holder that was paused finds
its own renewal refused; whatever it does meanwhile has to be fenced by the
version of what it writes.
"""

import json

import trio
from attrs import frozen

from .errors import ObjectMissing, PlatformError, VersionConflict
from .platform import ABSENT, Platform

LEASE_KIND = "lease"
DEFAULT_TTL_S = 6.0
FREE = ""


@frozen
class ObservedLease:
    """A lease as it was last read.

    Parameters
    ----------
    holder : str
        Empty when it was given back.
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
        """Whether this candidate may believe that it holds the lease.

        Nobody can have taken it over before the time to live has passed since
        the last renewal began.
        """
        return trio.current_time() - self.renewed_at < self.ttl_s

    @property
    def renew_interval_s(self) -> float:
        """How often to call `try_hold`, in seconds."""
        return self.ttl_s / 3

    async def try_hold(self) -> bool:
        """Take or renew the lease if that is possible now."""
        began_at = trio.current_time()
        try:
            if not self.is_held:
                await self._read()
                if not self._can_acquire():
                    return False
            await self._write(self.holder)
        except PlatformError:
            return self.is_held
        self.renewed_at = began_at
        return True

    async def release(self):
        """Let somebody else have it at once, on a planned stop."""
        if not self.is_held:
            return
        self.renewed_at = -self.ttl_s
        try:
            await self._write(FREE)
        except PlatformError:
            # It lapses by itself; nobody waits for this.
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
        except VersionConflict:
            self.observed = None
            self.renewed_at = -self.ttl_s
            raise
        self.observed = ObservedLease(holder, version, trio.current_time())
