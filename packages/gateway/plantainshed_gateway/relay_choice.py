"""Selection of the VM that forwards a request of a VM that reaches no target.

The load of the cut-off VMs comes on top of the others' own. It is spread by the number
of requests that are in flight to each, relative to its bandwidth, so that a VM that
becomes slow gets fewer. VMs of other regions get some too, but only where those of the
own region already have several times as many.
"""

import random
from collections import Counter

import trio
from attrs import frozen

from .heartbeats import VmState
from .members import Member, Members

# Ratio of the load at which a VM of another region is preferred to one of this region.
FAR_LOAD_RATIO = 3.0
# How long a VM is not selected after it refused to forward or could not be reached.
AVOID_S = 1.0
# How long a VM without room at the targets is selected only after others. VMs hold
# different parts of the targets' limits, so another one may have room.
WITHOUT_ROOM_S = 0.5


@frozen
class RelayVm:
    """A VM that can forward requests.

    Parameters
    ----------
    vm, ip, failure_domain : str
    """

    vm: str
    ip: str
    failure_domain: str


class RelayChoice:
    """Chooses VMs that forward requests.

    Parameters
    ----------
    members : Members

    Attributes
    ----------
    in_flight : Counter
        Number of this VM's requests that each VM is forwarding.
    avoided_until : dict of str to float
        When VMs that failed may be selected again.
    without_room_until : dict of str to float
        Until when VMs that refused a request for want of room come last.
    """

    def __init__(self, members: Members):
        self.members = members
        self.in_flight: Counter[str] = Counter()
        self.avoided_until: dict[str, float] = {}
        self.without_room_until: dict[str, float] = {}
        self.random = random.Random()

    def choose(
        self, home_regions: frozenset[str], excluded: set[str]
    ) -> RelayVm | None:
        """Return the VM that should forward a request, or None if there is none.

        Parameters
        ----------
        home_regions : frozenset of str
            The only regions whose VMs may get the request; empty for any region.
        excluded : set of str
            VMs that could not forward this request.
        """
        candidates = [
            (name, member)
            for name, member in self.members.table.items()
            if name not in excluded and self._can_forward(name, member, home_regions)
        ]
        if not candidates:
            return None
        self.random.shuffle(candidates)
        name, member = min(candidates, key=lambda candidate: self._rank(*candidate))
        return RelayVm(name, member.ip, member.failure_domain)

    def avoid(self, vm: str):
        """Do not select a VM for a while."""
        self.avoided_until[vm] = trio.current_time() + AVOID_S

    def note_no_room(self, vm: str):
        """Prefer other VMs for a while."""
        self.without_room_until[vm] = trio.current_time() + WITHOUT_ROOM_S

    def _can_forward(
        self, name: str, member: Member, home_regions: frozenset[str]
    ) -> bool:
        beat = member.heartbeat
        return (
            member.is_alive
            and beat.state is not VmState.STARTING
            and not beat.is_cut_off
            and (not home_regions or beat.region in home_regions)
            and self.avoided_until.get(name, 0.0) <= trio.current_time()
        )

    def _rank(self, name: str, member: Member) -> tuple[bool, bool, float]:
        # A VM that leaves still accepts requests for a while.
        is_leaving = member.heartbeat.state is VmState.LEAVING
        is_full = self.without_room_until.get(name, 0.0) > trio.current_time()
        return is_leaving, is_full, self._load(name, member)

    def _load(self, name: str, member: Member) -> float:
        load = (self.in_flight[name] + 1) / max(member.heartbeat.weight, 0.001)
        is_far = member.heartbeat.region != self.members.own.region
        return load * FAR_LOAD_RATIO if is_far else load
