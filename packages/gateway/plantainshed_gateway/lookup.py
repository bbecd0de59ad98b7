"""Look-ups: returns to callers the addresses of VMs to use."""

import random
from collections.abc import Callable

import trio
from attrs import frozen

from .heartbeats import VmState
from .members import Members
from .ports import Lookup

# How long callers may cache an answer. A stopping VM disappears from all cached
# answers after this time plus a heartbeat interval, well before it exits.
TTL_S = 2.0
# Maximum number of addresses in an answer.
MAX_ADDRESSES = 64
# How long an answer is used again for callers of the same region, unless a VM starts
# or leaves.
PREPARED_S = 0.1
# Maximum number of regions with a prepared answer; callers may name any region.
MAX_PREPARED = 64

Encode = Callable[[list[str], float], bytes]


@frozen
class _PreparedAnswer:
    body: bytes
    prepared_at: float
    states: tuple[int, VmState]


class LookupTable:
    """Answers look-ups with the VMs that are ready according to their heartbeats.

    Parameters
    ----------
    members : Members
    longest_ttl_s : float
    """

    def __init__(self, members: Members, longest_ttl_s: float):
        self.members = members
        self.random = random.Random()
        self._prepared: dict[str, _PreparedAnswer] = {}
        self.limit_ttl(longest_ttl_s)

    def answer(self, lookup: Lookup, encode: Encode) -> bytes | None:
        """Return the encoded answer to a look-up, or None if no VM is ready.

        Parameters
        ----------
        lookup : Lookup
        encode : callable
            Encodes addresses and their time-to-live in seconds.
        """
        now = trio.current_time()
        states = self.members.state_changes, self.members.own.state
        prepared = self._prepared.get(lookup.region)
        if (
            prepared is not None
            and prepared.states == states
            and now - prepared.prepared_at < PREPARED_S
        ):
            return prepared.body
        addresses = self.addresses(lookup)
        if not addresses:
            return None
        body = encode(addresses, self.ttl_s)
        if len(addresses) < MAX_ADDRESSES:
            # A larger set is sampled for each caller.
            if len(self._prepared) >= MAX_PREPARED:
                self._prepared.clear()
            self._prepared[lookup.region] = _PreparedAnswer(body, now, states)
        return body

    def limit_ttl(self, longest_ttl_s: float):
        """Limit the time-to-live of answers from now on."""
        self.ttl_s = min(TTL_S, longest_ttl_s)
        self._prepared.clear()

    def addresses(self, lookup: Lookup) -> list[str]:
        """Return the addresses of VMs for a caller to use, in no particular order.

        Callers use VMs of their own region, which accept all their requests, also
        those that a route or workspace restricts to certain home regions. VMs of
        other regions are returned only if no VM of the caller's region is ready. Of
        these VMs, those that reach no target are returned only if there are no others.
        """
        ready = self.members.ready()
        local = [beat for beat in ready if beat.region == lookup.region]
        near = local or ready
        chosen = [beat for beat in near if not beat.is_cut_off] or near
        if len(chosen) > MAX_ADDRESSES:
            chosen = self.random.sample(chosen, MAX_ADDRESSES)
        return [beat.caller_address for beat in chosen]
