"""Which VMs there are, which are alive, and what each says of itself.

Every VM sends a small heartbeat to each other one. It names the sender, what
it uses of shared limits, and the newest change that it knows of each
collection, so that a VM that the store turns away notices what it misses.
"""

from enum import StrEnum

import trio
from attrs import define, field, frozen

HEARTBEAT_S = 0.5
# Only each second one goes to VMs of other regions: bytes between regions are
# dear, and heartbeats were a third of them on a calm day of 10 VMs.
FAR_EVERY = 2
# Time without a heartbeat after which a VM counts as silent: two from another
# region may be lost. It keeps a dead VM out of look-ups well within the 5 s
# that callers allow.
ALIVE_S = 2.6
# How long a VM that was listed, and not heard yet, counts as about to be: its
# first heartbeat comes within one to another region and what a start takes.
EXPECTED_S = 3.0
# How long the list of ready VMs is used before it is made again.
READY_KEPT_S = 0.1
# How long a silent VM is still sent heartbeats and keeps its part of limits.
FORGET_S = 300.0
MAX_DATAGRAM_BYTES = 60_000


class VmState(StrEnum):
    """What a VM is doing."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@frozen
class Use:
    """What a VM uses of one workspace's quota.

    Parameters
    ----------
    demand : float
        Requests a second that its callers ask for.
    share : float
        Part of the quota that it allows itself, from 0 to 1.
    level : float
        Tokens that it has at hand.
    """

    demand: float
    share: float
    level: float = 0.0


@frozen
class Heartbeat:
    """One VM's news of itself.

    Parameters
    ----------
    vm, failure_domain, region : str
    incarnation : int
        Grows with each start of the VM's process.
    number : int
        Grows with each heartbeat of an incarnation.
    state : VmState
    callers : str
        ``IP:PORT`` for callers.
    control : str
        ``IP:PORT`` for other VMs.
    known : int
        Number of VMs that it knows, itself included.
    newest : dict of str to int
        Revision of the newest change that it knows, by collection.
    use : dict of str to Use
        By workspace.
    deaths : tuple of (str, str)
        Fingerprints of requests, and the target that died under each.
    """

    vm: str
    failure_domain: str
    region: str
    incarnation: int
    number: int
    state: VmState
    callers: str
    control: str
    known: int = 1
    newest: dict[str, int] = field(factory=dict)
    use: dict[str, Use] = field(factory=dict)
    deaths: tuple[tuple[str, str], ...] = ()


@define
class Member:
    """Another VM as this one knows it.

    Attributes
    ----------
    ip : str
        Where heartbeats are sent to.
    heartbeat : Heartbeat or None
        The newest one; None if it was only named by the store.
    heard_at : float
    """

    ip: str
    heartbeat: Heartbeat | None = None
    heard_at: float = float("-inf")
    known_since: float = field(factory=trio.current_time)

    @property
    def is_alive(self) -> bool:
        """Whether it was heard a moment ago."""
        return trio.current_time() - self.heard_at < ALIVE_S

    def is_in(self, region: str) -> bool:
        """Tell whether it is known to stand in a region."""
        return self.heartbeat is not None and self.heartbeat.region == region

    @property
    def is_expected(self) -> bool:
        """Whether it was listed a moment ago and may be about to be heard."""
        if self.heartbeat is not None:
            return False
        return trio.current_time() - self.known_since < EXPECTED_S

    @property
    def is_forgotten(self) -> bool:
        """Whether it has been silent for so long that it counts as gone."""
        return trio.current_time() - max(self.heard_at, self.known_since) > FORGET_S


class Members:
    """All VMs that this one knows, itself aside.

    Parameters
    ----------
    own : Heartbeat
        Replaced with each heartbeat that is sent.

    Attributes
    ----------
    is_listed : bool
        Whether the store, or another VM, has told which VMs there are.
    """

    def __init__(self, own: Heartbeat):
        self.own = own
        self.table: dict[str, Member] = {}
        self.is_listed = False
        self._ready_vms: tuple[float, list[str]] = (float("-inf"), [])

    def note_listed(self, vm: str, ip: str):
        """Take in a VM that the store or a seed address names."""
        if vm != self.own.vm and vm not in self.table:
            self.table[vm] = Member(ip)

    def take(self, heartbeat: Heartbeat, ip: str) -> bool:
        """Take in a heartbeat; tell whether it is newer than what is known."""
        if heartbeat.vm == self.own.vm:
            return False
        member = self.table.setdefault(heartbeat.vm, Member(ip))
        known = member.heartbeat
        if known is not None and _order(heartbeat) <= _order(known):
            return False
        member.ip = ip
        member.heartbeat = heartbeat
        member.heard_at = trio.current_time()
        return True

    def forget_gone(self) -> list[str]:
        """Forget VMs that have long been silent; return their names."""
        gone = [vm for vm, member in self.table.items() if member.is_forgotten]
        for vm in gone:
            del self.table[vm]
        return gone

    def alive(self) -> list[Heartbeat]:
        """Return the newest heartbeats of this VM and all that are alive."""
        heard = [
            member.heartbeat
            for member in self.table.values()
            if member.heartbeat is not None and member.is_alive
        ]
        return [self.own, *heard]

    def oldest_heard_at(self) -> float:
        """Return when the VM that was silent for longest, and lives, was heard."""
        heard = [m.heard_at for m in self.table.values() if m.is_alive]
        return min(heard, default=trio.current_time())

    def ready(self) -> list[Heartbeat]:
        """Return those that take callers."""
        return [beat for beat in self.alive() if beat.state is VmState.READY]

    def ready_vms(self) -> list[str]:
        """Return their names, as they were a moment ago: asked for often."""
        at, names = self._ready_vms
        if trio.current_time() - at > READY_KEPT_S:
            names = [beat.vm for beat in self.ready()]
            self._ready_vms = trio.current_time(), names
        return names

    def silent(self) -> list[Heartbeat]:
        """Return what silent VMs said last; they may live behind a partition."""
        return [
            member.heartbeat
            for member in self.table.values()
            if member.heartbeat is not None and not member.is_alive
        ]

    def not_heard_yet(self) -> int:
        """Return how many VMs were listed a moment ago and not heard since."""
        return sum(1 for member in self.table.values() if member.is_expected)

    def ips(self, with_far: bool) -> set[str]:
        """Return where heartbeats go, with or without other regions."""
        return {
            member.ip
            for member in self.table.values()
            if with_far or member.is_in(self.own.region)
        }

    @property
    def count(self) -> int:
        """Number of VMs that exist, silent ones and this one included."""
        return 1 + len(self.table)


def _order(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.number
