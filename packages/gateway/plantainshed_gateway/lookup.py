"""Look-ups: returns to callers the addresses of VMs to use."""

import random

from .members import Members
from .ports import Lookup

# How long callers may cache an answer. A stopping VM disappears from all cached
# answers after this time plus a heartbeat interval, well before it exits.
TTL_S = 2.0
# Maximum number of addresses in an answer.
MAX_ADDRESSES = 64


class LookupTable:
    """Answers look-ups with the VMs that are ready according to their heartbeats.

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
        """Limit the time-to-live of answers from now on."""
        self.ttl_s = min(TTL_S, longest_ttl_s)

    def addresses(self, lookup: Lookup) -> list[str]:
        """Return the addresses of VMs for a caller to use, in no particular order.

        Callers use VMs of their own region, which accept all their requests, also
        those that a route or workspace restricts to certain home regions. VMs of
        other regions are returned only if no VM of the caller's region is ready.
        """
        ready = self.members.ready()
        local = [beat for beat in ready if beat.region == lookup.region]
        chosen = local or ready
        if len(chosen) > MAX_ADDRESSES:
            chosen = self.random.sample(chosen, MAX_ADDRESSES)
        return [beat.caller_address for beat in chosen]
