"""Known VMs, and whether they are alive.

A VM receives the full heartbeats of the VMs in its own failure domain. It knows the
others from the summaries of their failure domains, which list each VM and contain the
sums of the remaining data.
"""

from collections.abc import Mapping
from functools import lru_cache

import trio
import xxhash
from attrs import define, field

from .demand import DemandHistory
from .heartbeats import (
    DomainSummary,
    Heartbeat,
    QuotaUsage,
    UsageSummary,
    VmState,
    VmSummary,
)

# Time without a heartbeat after which a VM of the own failure domain counts as silent.
# This allows for four lost heartbeats.
HEARTBEAT_TIMEOUT_S = 2.6
# The timeout for VMs of other domains, whose summaries are sent once a second and
# relayed within half a second. Look-ups must not return a VM that was killed 6 s ago.
FAR_HEARTBEAT_TIMEOUT_S = 3.8
# Time after a domain's summary during which a summary from the domain's other speaker
# is ignored. It is slightly shorter than the second between two summaries of one
# speaker.
DUPLICATE_SUMMARY_S = 0.9
# Time for which a listed VM without a heartbeat is expected to send its first one. It
# covers the start of a VM and the delivery of its domain's summary.
FIRST_HEARTBEAT_WAIT_S = 4.0
# Time for which the list of ready VMs is cached.
READY_CACHE_S = 0.1
# Time without a heartbeat after which a VM that the store no longer lists is forgotten.
# A VM that the store lists is never forgotten: it may be alive behind a partition and
# still use its share of quotas.
FORGET_AFTER_S = 60.0
# Time for which an outdated list from another VM cannot add a forgotten VM again.
REJECT_FORGOTTEN_S = 300.0
# Number of bits of a digest of VMs. JSON decoders of other languages keep integers of
# up to 53 bits exact.
DIGEST_BITS = 52


@define
class Member:
    """Another VM as this VM knows it.

    Attributes
    ----------
    ip, failure_domain : str
    heartbeat : Heartbeat or None
        The newest heartbeat. It has no quota usage if the VM is in another failure
        domain, and is None if the VM was only listed.
    incarnation : int
        Newest known incarnation, or 0. Another VM may have reported it before the first
        heartbeat arrives.
    is_registered : bool
        Whether an answer of the store contained it, to this VM or to another one.
    heard_at : float
        When the heartbeat was received, by this VM or by the speaker that reported it.
    timeout_s : float
        Time after `heard_at` for which the VM counts as alive.
    demand_history : DemandHistory
        Demand in its heartbeats. Empty if the VM is in another failure domain.
    """

    ip: str
    failure_domain: str
    incarnation: int = 0
    is_registered: bool = False
    heartbeat: Heartbeat | None = None
    heard_at: float = float("-inf")
    timeout_s: float = HEARTBEAT_TIMEOUT_S
    known_since: float = field(factory=trio.current_time)
    demand_history: DemandHistory = field(factory=DemandHistory)

    @property
    def is_alive(self) -> bool:
        """Whether the newest heartbeat is recent enough."""
        return trio.current_time() - self.heard_at < self.timeout_s

    @property
    def is_expected(self) -> bool:
        """Whether it was listed recently and has not sent a heartbeat yet."""
        if self.heartbeat is not None:
            return False
        return trio.current_time() - self.known_since < FIRST_HEARTBEAT_WAIT_S

    @property
    def silent_s(self) -> float:
        """Seconds since the last sign of life, or since it became known."""
        return trio.current_time() - max(self.heard_at, self.known_since)


@define
class FarDomain:
    """The newest summary of another failure domain.

    Attributes
    ----------
    summary : DomainSummary
    heard_at : float
        When this VM received the summary.
    latest_by_speaker : dict of str to (int, int)
        Incarnation and number of the newest summary from each speaker.
    demand_history : DemandHistory
        Demand in its summaries.
    """

    summary: DomainSummary
    heard_at: float
    latest_by_speaker: dict[str, tuple[int, int]] = field(factory=dict)
    demand_history: DemandHistory = field(factory=DemandHistory)

    @property
    def oldest_heartbeat_at(self) -> float:
        """When the oldest heartbeat in the summary's sums was received."""
        return self.heard_at - self.summary.age_s

    @property
    def is_recent(self) -> bool:
        """Whether a summary from the domain's other speaker would be redundant."""
        return trio.current_time() - self.heard_at < DUPLICATE_SUMMARY_S

    @property
    def is_fresh(self) -> bool:
        """Whether the summary is recent enough for the domain to count as alive."""
        return trio.current_time() - self.heard_at < FAR_HEARTBEAT_TIMEOUT_S


class Members:
    """All VMs that this VM knows, except itself.

    Parameters
    ----------
    own : Heartbeat
        This VM's own heartbeat, replaced each time one is sent.

    Attributes
    ----------
    far : dict of str to FarDomain
        Other failure domains, by name.
    is_listed : bool
        Whether this VM has established that it knows all VMs; see `vm_list`. Until
        then, it uses no share of any quota.
    listed : trio.Event
        Set by `mark_listed`.
    is_list_confirmed : bool
        Whether two answers of the store in a row contained this VM and the same others.
    registered : set of str or None
        Names in the store's newest answer; None before the first one.
    forgotten_at : dict of str to float
        When VMs were forgotten, or last mentioned by another VM since.
    state_changes : int
        Number of heartbeats that showed a new VM or another state of a known one.
    """

    def __init__(self, own: Heartbeat):
        self.own = own
        self.table: dict[str, Member] = {}
        self.far: dict[str, FarDomain] = {}
        self.is_listed = False
        self.listed = trio.Event()
        self.is_list_confirmed = False
        self.registered: set[str] | None = None
        self.forgotten_at: dict[str, float] = {}
        self.state_changes = 0
        self._digest: int | None = None
        self._ready_vms: tuple[float, list[str]] = (float("-inf"), [])

    # Updates.

    def note_listed(
        self,
        vm: str,
        ip: str,
        failure_domain: str,
        incarnation: int = 0,
        silent_s: float = 0.0,
    ):
        """Add a VM that the store or another VM lists.

        Parameters
        ----------
        vm, ip, failure_domain : str
        incarnation : int
            0 if it is not known.
        silent_s : float
            Time since its last sign of life.
        """
        if vm == self.own.vm:
            return
        member = self.table.get(vm)
        if member is None:
            known_since = trio.current_time() - silent_s
            member = Member(ip, failure_domain, known_since=known_since)
            self.table[vm] = member
            self._digest = None
        elif incarnation >= member.incarnation and not member.is_alive:
            member.ip = ip
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            self._digest = None

    def mark_listed(self):
        """Record that this VM knows all VMs."""
        self.is_listed = True
        self.listed.set()

    def note_registered(self, names: set[str]):
        """Record the names of all VMs that the store lists."""
        self.registered = names
        for vm in names & self.table.keys():
            self.table[vm].is_registered = True

    def record_heartbeat(self, heartbeat: Heartbeat, ip: str) -> bool:
        """Record a heartbeat; return whether it is newer than the known one."""
        if heartbeat.vm == self.own.vm:
            return False
        if not self._record(heartbeat, ip, 0.0, HEARTBEAT_TIMEOUT_S):
            return False
        demand_history = self.table[heartbeat.vm].demand_history
        demand_history.add(trio.current_time(), _demand_by_workspace(heartbeat.usage))
        return True

    def _record(self, beat: Heartbeat, ip: str, age_s: float, timeout_s: float) -> bool:
        if age_s > timeout_s and self.rejects(beat.vm):
            return False
        self.forgotten_at.pop(beat.vm, None)
        self.note_listed(beat.vm, ip, beat.failure_domain, beat.incarnation)
        member = self.table[beat.vm]
        known = member.heartbeat
        if known is not None and _version(beat) < _version(known):
            return False
        heard_at = trio.current_time() - age_s
        if known is not None and _version(beat) == _version(known):
            # The same heartbeat was reported by another VM, which may have received it
            # later.
            member.heard_at = max(member.heard_at, heard_at)
            return False
        member.ip, member.failure_domain = ip, beat.failure_domain
        if known is None or known.state is not beat.state:
            self.state_changes += 1
        member.heartbeat = beat
        member.heard_at = heard_at
        member.timeout_s = timeout_s
        return True

    def record_summary(self, summary: DomainSummary) -> bool:
        """Record another domain's summary; return whether it is newer than known.

        For a packed summary, callers check `wants_summary` first to avoid decoding it.
        """
        version = summary.incarnation, summary.number
        if not self.wants_summary(summary.failure_domain, summary.speaker, version):
            return False
        known = self.far.get(summary.failure_domain)
        latest_by_speaker = known.latest_by_speaker if known else {}
        latest_by_speaker[summary.speaker] = version
        demand_history = known.demand_history if known else DemandHistory()
        domain = FarDomain(
            summary, trio.current_time(), latest_by_speaker, demand_history
        )
        demand_history.add(
            domain.oldest_heartbeat_at, _demand_by_workspace(summary.usage)
        )
        self.far[summary.failure_domain] = domain
        for vm_summary in summary.vms:
            if vm_summary.vm != self.own.vm:
                beat = _heartbeat_from(vm_summary, summary)
                self._record(
                    beat, vm_summary.ip, vm_summary.age_s, FAR_HEARTBEAT_TIMEOUT_S
                )
        return True

    def wants_summary(
        self, failure_domain: str, speaker: str, version: tuple[int, int]
    ) -> bool:
        """Return whether a summary is newer than the known one and not redundant."""
        if failure_domain == self.own.failure_domain:
            return False
        known = self.far.get(failure_domain)
        if known is None:
            return True
        if known.is_recent and known.summary.speaker != speaker:
            # The domain's other speaker has just sent the same data. One summary per
            # interval is enough.
            return False
        return version > known.latest_by_speaker.get(speaker, (-1, -1))

    def forget_gone(self) -> list[str]:
        """Remove VMs that are silent and no longer in the store; return their names."""
        now = trio.current_time()
        gone = [vm for vm, member in self.table.items() if self._is_gone(vm, member)]
        for vm in gone:
            del self.table[vm]
            self.forgotten_at[vm] = now
            self._digest = None
        for vm, at in list(self.forgotten_at.items()):
            if now - at > REJECT_FORGOTTEN_S:
                del self.forgotten_at[vm]
        if gone:
            domains = {member.failure_domain for member in self.table.values()}
            self.far = {name: d for name, d in self.far.items() if name in domains}
        return gone

    def _is_gone(self, vm: str, member: Member) -> bool:
        return (
            self.registered is not None
            and vm not in self.registered
            and member.is_registered
            and member.silent_s > FORGET_AFTER_S
        )

    def rejects(self, vm: str) -> bool:
        """Return whether a VM was forgotten and only outdated lists still contain it.

        The time for which it is rejected starts anew, because the list shows that
        another VM still has it.
        """
        if vm not in self.forgotten_at:
            return False
        self.forgotten_at[vm] = trio.current_time()
        return True

    # Membership.

    def is_alive(self, vm: str) -> bool:
        """Return whether another VM is alive."""
        member = self.table.get(vm)
        return member is not None and member.is_alive

    def alive(self) -> list[Heartbeat]:
        """Return the newest heartbeats of this VM and of all others that are alive."""
        now = trio.current_time()
        heard = [
            member.heartbeat
            for member in self.table.values()
            if member.heartbeat is not None and now - member.heard_at < member.timeout_s
        ]
        return [self.own, *heard]

    def ready(self) -> list[Heartbeat]:
        """Return the heartbeats of VMs that accept callers."""
        return [beat for beat in self.alive() if beat.state is VmState.READY]

    def ready_vms(self) -> list[str]:
        """Return the names of ready VMs from a short-lived cache."""
        at, names = self._ready_vms
        if trio.current_time() - at > READY_CACHE_S:
            names = [beat.vm for beat in self.ready()]
            self._ready_vms = trio.current_time(), names
        return names

    def in_own_domain(self) -> list[Member]:
        """Return the other VMs of the own failure domain, including silent ones."""
        return self.in_domain(self.own.failure_domain)

    def in_domain(self, failure_domain: str) -> list[Member]:
        """Return the other VMs of a failure domain, including silent ones."""
        return [m for m in self.table.values() if m.failure_domain == failure_domain]

    def not_heard_yet(self) -> int:
        """Return the number of VMs that are expected to send a first heartbeat."""
        unheard = [m for m in self.table.values() if m.heartbeat is None]
        return sum(1 for member in unheard if member.is_expected)

    def heard_count(self) -> int:
        """Return the number of VMs that ever sent a heartbeat, including this one."""
        return 1 + sum(1 for m in self.table.values() if m.heartbeat is not None)

    @property
    def count(self) -> int:
        """Number of known VMs, including silent ones and this one."""
        return 1 + len(self.table)

    @property
    def digest(self) -> int:
        """Digest of the names and newest incarnations of all known VMs and this one.

        Two VMs that know the same VMs have the same digest, in whichever order they
        learned of them.
        """
        if self._digest is None:
            digest = _vm_digest(self.own.vm, self.own.incarnation)
            for vm, member in self.table.items():
                digest ^= _vm_digest(vm, member.incarnation)
            self._digest = digest
        return self._digest

    def reports(self) -> list[Heartbeat | DomainSummary]:
        """Return the newest heartbeats and summaries that count as alive."""
        own_domain = [m.heartbeat for m in self.in_own_domain() if m.is_alive]
        far = [domain.summary for domain in self.far.values() if domain.is_fresh]
        return [*own_domain, *far]

    def is_known_by_another(self) -> bool:
        """Return whether another VM that is alive knows the same VMs."""
        return any(r.known_vms_digest == self.digest for r in self.reports())

    def largest_fleet_count(self) -> int:
        """Return the largest number of VMs that a VM with another list knows.

        The result is 0 if all VMs that are alive know the same VMs.
        """
        counts = [report.known_vm_count for report in self.differing()]
        return max(self.count, *counts) if counts else 0

    def differing(self) -> list[Heartbeat | DomainSummary]:
        """Return the newest reports of VMs that are alive and know other VMs."""
        agreeing = (0, self.digest)
        return [r for r in self.reports() if r.known_vms_digest not in agreeing]

    def oldest_heard_at(self) -> float:
        """Return when the oldest report of other VMs' quota usage was sent."""
        heard = [m.heard_at for m in self.in_own_domain() if m.is_alive]
        heard += [d.oldest_heartbeat_at for d in self.far.values() if d.is_fresh]
        return min(heard, default=trio.current_time())


def _heartbeat_from(vm: VmSummary, summary: DomainSummary) -> Heartbeat:
    return Heartbeat(
        vm=vm.vm,
        failure_domain=summary.failure_domain,
        region=summary.region,
        incarnation=vm.incarnation,
        number=vm.number,
        state=vm.state,
        caller_address=vm.caller_address,
        control_address="",
        weight=vm.weight,
        is_cut_off=vm.vm in summary.cut_off,
    )


def _demand_by_workspace(
    usage: Mapping[str, QuotaUsage | UsageSummary],
) -> dict[str, float]:
    return {name: one.demand for name, one in usage.items()}


def _version(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.number


@lru_cache(maxsize=4096)
def _vm_digest(vm: str, incarnation: int) -> int:
    key = f"{vm}\x00{incarnation}".encode()
    return xxhash.xxh64_intdigest(key) >> (64 - DIGEST_BITS)
