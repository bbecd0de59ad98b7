"""Polls the store to detect changes that the watches missed.

A watch that waits for a change cannot be distinguished from one that the store never
accepted, whose response was lost, or whose connection is dead. The store answers a
poll immediately, so the presence or absence of a response shows the difference. One
VM of each failure domain polls; the changes that it finds reach the other VMs in the
same way as all others.

The store has one revision counter for all collections, and a poll of one collection
returns the newest revision. If this VM knows a change for every revision up to it,
the other collections need no poll.
"""

from collections.abc import Callable

import trio

from plantainshed_coordination.digests import unit_hash

from .errors import HistoryGone, StoreUnavailable
from .ports import Collection
from .replication import (
    INITIAL_RETRY_DELAY_S,
    MAX_KEPT_BATCHES,
    MAX_RETRY_DELAY_S,
    PEER_GRACE_S,
    Follower,
)

# Time reserved after a poll to bring a change into force on all VMs: it covers the
# poll's response and the other VMs, which wait for `PEER_GRACE_S` and then fetch
# the change.
PROPAGATION_S = 2 * PEER_GRACE_S

IsPoller = Callable[[], bool]


def poll_interval_s(in_force_within_s: float) -> float:
    """Return the poll interval that leaves time to propagate changes to other VMs.

    Parameters
    ----------
    in_force_within_s : float
        Time in which a change must be in force on all VMs, in seconds.
    """
    return max(in_force_within_s - PROPAGATION_S, in_force_within_s / 2)


class FreshnessPoller:
    """Polls the store for changes that this VM's watches may have missed.

    Parameters
    ----------
    followers : dict of Collection to Follower
    is_poller : callable
        Returns whether this VM is the one that polls for its failure domain.
    vm : str
        Name of this VM; determines the offset of its first poll, so that failure
        domains that start together do not poll at the same time.

    Attributes
    ----------
    confirmed_revision : int
        Store revision up to which all replicas were confirmed complete.
    is_store_unreachable : bool
        Whether the last poll failed.
    """

    def __init__(
        self,
        followers: dict[Collection, Follower],
        is_poller: IsPoller,
        vm: str,
    ):
        self.followers = followers
        self.is_poller = is_poller
        self.vm = vm
        self.confirmed_revision = 0
        self.is_store_unreachable = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self, interval_s: Callable[[], float]):
        """Poll at each interval until cancelled."""
        await trio.sleep(interval_s() * unit_hash(self.vm, "freshness"))
        while True:
            began_at = trio.current_time()
            if self._can_poll():
                await self.check()
            await trio.sleep(self._pause_s(began_at, interval_s()))

    def _can_poll(self) -> bool:
        # If the last poll failed, this VM polls until the store answers, even if
        # another VM is the poller by then: watches that were sent during the outage
        # are restarted at that point.
        copies = [follower.replica for follower in self.followers.values()]
        is_wanted = self.is_store_unreachable or self.is_poller()
        return is_wanted and all(copy.is_initialized for copy in copies)

    def _pause_s(self, began_at: float, interval_s: float) -> float:
        if not self.is_store_unreachable:
            self._retry_delay_s = INITIAL_RETRY_DELAY_S
            return interval_s
        # A poll that timed out has already used up its delay. A poll that was
        # rejected immediately has not, and the store may be rejecting it because
        # of overload, so the backoff applies.
        took_s = trio.current_time() - began_at
        pause_s = max(INITIAL_RETRY_DELAY_S, self._retry_delay_s - took_s)
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)
        return pause_s

    def copy_age_s(self) -> float | None:
        """Return the time since which the copies may lack changes; None if unknown."""
        current_at = min(f.replica.current_at for f in self.followers.values())
        if current_at == float("-inf"):
            return None
        return round(trio.current_time() - current_at, 2)

    async def check(self):
        """Poll once: fetch missing changes and confirm complete replicas."""
        began_at = trio.current_time()
        try:
            newest = await self._newest_confirmed()
        except StoreUnavailable as error:
            self._mark_disconnected(str(error))
        except HistoryGone:
            self._mark_connected()
            self._relist_all()
        else:
            self._mark_connected()
            self._mark_complete(newest, began_at)

    async def check_for_domain(self) -> bool:
        """Poll once in place of silent speakers; return whether the store answered.

        A failure says nothing about the watches of others, so this VM goes on relying
        on them.
        """
        began_at = trio.current_time()
        try:
            self._mark_complete(await self._newest_confirmed(), began_at)
        except StoreUnavailable:
            return False
        except HistoryGone:
            self._relist_all()
        return True

    async def _newest_confirmed(self) -> int:
        """Return a revision up to which all replicas are complete now."""
        newest = await self.followers[Collection.CONFIGURATION].poll()
        if self.is_store_unreachable or not self._knows_all_up_to(newest):
            await self._poll_others()
            newest = min(newest, self._lowest_revision())
        return newest

    def _lowest_revision(self) -> int:
        # A lagging replica of the store can answer one poll with an older revision
        # than another poll got.
        return min(f.replica.revision for f in self.followers.values())

    async def _poll_others(self):
        for collection, follower in self.followers.items():
            if collection is not Collection.CONFIGURATION:
                await follower.poll()

    def _knows_all_up_to(self, newest: int) -> bool:
        unconfirmed = range(self.confirmed_revision + 1, newest + 1)
        if len(unconfirmed) > MAX_KEPT_BATCHES:
            return False
        known = {
            change.item.revision
            for follower in self.followers.values()
            for _, batch in follower.replica.recent
            for change in batch.changes
        }
        return known.issuperset(unconfirmed)

    def _mark_disconnected(self, problem: str):
        self.is_store_unreachable = True
        for follower in self.followers.values():
            follower.mark_disconnected(problem)

    def _mark_connected(self):
        for follower in self.followers.values():
            follower.mark_connected()
            if self.is_store_unreachable:
                # A watch sent during the outage may never be answered.
                follower.restart_watch()
        self.is_store_unreachable = False

    def _relist_all(self):
        for follower in self.followers.values():
            follower.relist()

    def _mark_complete(self, newest: int, at: float):
        self.confirmed_revision = max(self.confirmed_revision, newest)
        for follower in self.followers.values():
            follower.replica.mark_complete(newest, at)
