"""Which VMs callers are told to use."""

import random

from .members import Members
from .ports import Lookup

# How long callers keep an answer. A VM that stops is out of all answers after
# this and a heartbeat, well within the time it has to stop.
TTL_S = 2.0
# Most addresses in an answer.
MOST_ADDRESSES = 64


class LookupTable:
    """Answers look-ups from heartbeats.

    Parameters
    ----------
    members : Members
    longest_ttl_s : float
    """

    def __init__(self, members: Members, longest_ttl_s: float):
        self.members = members
        self.limit_ttl(longest_ttl_s)
        self.random = random.Random()

    def limit_ttl(self, longest_ttl_s: float):
        """Bound how long callers keep an answer from now on."""
        self.ttl_s = min(TTL_S, longest_ttl_s)

    def addresses(self, lookup: Lookup) -> list[str]:
        """Return callers' addresses of VMs to use, in no order.

        Callers stay in their region: its VMs may take any request of theirs,
        also where a route or workspace names home regions. Only when none is
        left there do others serve them.
        """
        ready = self.members.ready()
        near = [beat for beat in ready if beat.region == lookup.region]
        chosen = near or ready
        if len(chosen) > MOST_ADDRESSES:
            chosen = self.random.sample(chosen, MOST_ADDRESSES)
        return [beat.caller_address for beat in chosen]
