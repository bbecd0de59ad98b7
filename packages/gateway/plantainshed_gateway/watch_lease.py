"""Polls the store in place of speakers that end or fall silent.

The speakers of a failure domain watch the store for the other VMs. A speaker that ends
without a message counts as alive for seconds, and until then nobody would tell the
others of changes. Each heartbeat of a speaker therefore is a lease: when the leases of
all speakers have ended, the other VMs poll the store in turn until new speakers are
elected. They do the same if the copies grow too old, as the store may leave the calls
of all speakers unanswered. A poll of one VM counts for all, because its heartbeat
confirms their copies.
"""

from collections.abc import Awaitable, Callable
from math import inf

import trio

from .freshness_poller import FreshnessPoller
from .logs import DecisionLog
from .peers import HEARTBEAT_S
from .speakers import Speakers

# Time for which a heartbeat of a speaker confirms that it watches the store. It allows
# for one late heartbeat, and leaves half of the 2 s in which a change must be in force.
LEASE_S = 0.9
# How much older than the interval between polls a copy may be: the next heartbeat after
# a poll, and its way.
COPY_AGE_MARGIN_S = HEARTBEAT_S + 0.15
# Time between the polls of groups of VMs. Each group is twice as large as the one
# before, so that many dead VMs delay a poll only a little.
GROUP_DELAY_S = 0.15
MAX_GROUP_DELAY_S = 0.6


class WatchLease:
    """Polls the store for the failure domain when its speakers are silent.

    Parameters
    ----------
    speakers : Speakers
    poller : FreshnessPoller
    poll_interval_s : callable
        Returns the interval between two polls of a speaker, in seconds.
    announce : callable
        Awaited after a poll; sends a heartbeat to the failure domain.
    log : DecisionLog
    """

    def __init__(
        self,
        speakers: Speakers,
        poller: FreshnessPoller,
        poll_interval_s: Callable[[], float],
        announce: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ):
        self.speakers = speakers
        self.poller = poller
        self.poll_interval_s = poll_interval_s
        self.announce = announce
        self.log = log

    async def run(self):
        """Poll whenever it is due, until cancelled."""
        while True:
            due_in_s = min(LEASE_S, self.due_in_s())
            if due_in_s > 0:
                await trio.sleep(due_in_s)
            elif await self._poll():
                await self.announce()
            else:
                await trio.sleep(LEASE_S)

    async def _poll(self) -> bool:
        age_s = self.poller.copy_age_s()
        is_answered = await self.poller.check_for_domain()
        self.log.event(
            "store polled for silent speakers",
            speakers=self.speakers.names(),
            copy_age_s=age_s,
            is_answered=is_answered,
            revision=self.poller.confirmed_revision,
        )
        return is_answered

    def due_in_s(self) -> float:
        """Return the time until this VM has to poll the store.

        It is infinite while this VM watches all collections itself. A VM that has stood
        in for a speaker may still watch some of them, and rely on others for the rest.
        """
        delegated = [
            follower.replica
            for follower in self.poller.followers.values()
            if follower.is_watch_delegated
        ]
        if not delegated:
            return inf
        current_at = min(replica.current_at for replica in delegated)
        lease_ends_at = LEASE_S + max(current_at, self.speakers.heard_at())
        max_age_s = self.poll_interval_s() + COPY_AGE_MARGIN_S
        due_at = min(lease_ends_at, current_at + max_age_s)
        return due_at + self._group_delay_s() - trio.current_time()

    def _group_delay_s(self) -> float:
        group = (self.speakers.rank() + 1).bit_length() - 1
        return min(MAX_GROUP_DELAY_S, GROUP_DELAY_S * group)
