"""Known VMs, whether they are alive, and their usage of quotas.

A VM receives the full heartbeats of the VMs in its own failure domain. It knows the
others from the summaries of their failure domains, which list each VM and contain the
sums of the remaining data.
"""

from collections.abc import Mapping

import trio
from attrs import define, field, frozen

from .demand import DemandHistory, PastDemand
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
# Time for which a silent VM is still sent heartbeats and keeps its share of limits.
FORGET_AFTER_S = 300.0


@define
class Member:
    """Another VM as this VM knows it.

    Attributes
    ----------
    ip, failure_domain : str
    heartbeat : Heartbeat or None
        The newest heartbeat. It has no quota usage if the VM is in another failure
        domain, and is None if the VM was only listed.
    heard_at : float
        When the heartbeat was received, by this VM or by the speaker that reported it.
    timeout_s : float
        Time after `heard_at` for which the VM counts as alive.
    demand_history : DemandHistory
        Demand in its heartbeats. Empty if the VM is in another failure domain.
    """

    ip: str
    failure_domain: str
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
    def is_forgotten(self) -> bool:
        """Whether it has been silent for so long that it counts as gone."""
        return (
            trio.current_time() - max(self.heard_at, self.known_since) > FORGET_AFTER_S
        )


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


@frozen
class UsageTotals:
    """Usage of one workspace's quota by all other VMs.

    Parameters
    ----------
    demand, share : float
        Sums over the VMs that are alive.
    past_demand : float
        The sum of demand at the time for which the `UsageView` is computed.
    silent_share : float
        Shares of silent VMs. They may be alive behind a partition and still use them.
    """

    demand: float
    past_demand: float
    share: float
    silent_share: float


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
        Whether the store or another VM has supplied a list of the VMs.
    """

    def __init__(self, own: Heartbeat):
        self.own = own
        self.table: dict[str, Member] = {}
        self.far: dict[str, FarDomain] = {}
        self.is_listed = False
        self._ready_vms: tuple[float, list[str]] = (float("-inf"), [])

    # Updates.

    def note_listed(self, vm: str, ip: str, failure_domain: str):
        """Add a VM that the store or another VM lists."""
        if vm == self.own.vm:
            return
        member = self.table.get(vm)
        if member is None:
            self.table[vm] = Member(ip, failure_domain)
        elif not member.is_alive:
            member.ip = ip

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
        member = self.table.setdefault(beat.vm, Member(ip, beat.failure_domain))
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
        """Remove VMs that have been silent for `FORGET_AFTER_S`; return their names."""
        gone = [vm for vm, member in self.table.items() if member.is_forgotten]
        for vm in gone:
            del self.table[vm]
        now = trio.current_time()
        for name, domain in list(self.far.items()):
            if now - domain.heard_at > FORGET_AFTER_S:
                del self.far[name]
        return gone

    # Membership.

    def is_alive(self, vm: str) -> bool:
        """Return whether another VM is alive."""
        member = self.table.get(vm)
        return member is not None and member.is_alive

    def alive(self) -> list[Heartbeat]:
        """Return the newest heartbeats of this VM and of all others that are alive."""
        heard = [
            member.heartbeat
            for member in self.table.values()
            if member.heartbeat is not None and member.is_alive
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
        return sum(1 for member in self.table.values() if member.is_expected)

    def heard_count(self) -> int:
        """Return the number of VMs that ever sent a heartbeat, including this one."""
        return 1 + sum(1 for m in self.table.values() if m.heartbeat is not None)

    @property
    def count(self) -> int:
        """Number of known VMs, including silent ones and this one."""
        return 1 + len(self.table)

    # Quota usage.

    def usage_view(self, moment: float) -> "UsageView":
        """Return the current quota usage of all other VMs and their past demand."""
        own_domain = [m for m in self.in_own_domain() if m.heartbeat is not None]
        return UsageView(own_domain, list(self.far.values()), moment)

    def oldest_heard_at(self) -> float:
        """Return when the oldest report that `usage_view` uses was sent."""
        heard = [m.heard_at for m in self.in_own_domain() if m.is_alive]
        heard += [d.oldest_heartbeat_at for d in self.far.values() if d.is_fresh]
        return min(heard, default=trio.current_time())


class UsageView:
    """Quota usage of all other VMs, by workspace.

    Parameters
    ----------
    own_domain : list of Member
        Other VMs of the own failure domain.
    far : list of FarDomain
        Other failure domains.
    moment : float
        Time for which `UsageTotals.past_demand` is computed.
    """

    def __init__(self, own_domain: list[Member], far: list[FarDomain], moment: float):
        self.own_domain = UsageSums(own_domain)
        self.far = [(domain.is_fresh, domain.summary.usage) for domain in far]
        alive = [m for m in own_domain if m.is_alive]
        self.own_domain_past_demand = {
            m.heartbeat.vm: m.demand_history.at(moment) for m in alive
        }
        far_past_demand = [d.demand_history.at(moment) for d in far if d.is_fresh]
        self.past_demands: list[PastDemand] = [
            *self.own_domain_past_demand.values(),
            *far_past_demand,
        ]

    def of(self, workspace: str) -> UsageTotals:
        """Return the totals of one workspace."""
        own = self.own_domain.of(workspace)
        demand, share, silent_share = own.demand, own.share, own.silent_share
        for is_fresh, usages in self.far:
            usage = usages.get(workspace)
            if usage is None:
                continue
            silent_share += usage.silent_share
            if is_fresh:
                demand += usage.demand
                share += usage.share
            else:
                silent_share += usage.share
        past_demand = sum(past.of(workspace) for past in self.past_demands)
        return UsageTotals(demand, past_demand, share, silent_share)


class UsageSums:
    """Sums of quota usage over VMs of one failure domain, by workspace.

    Parameters
    ----------
    members : list of Member
        VMs that have sent a heartbeat.
    """

    def __init__(self, members: list[Member]):
        self.usages = [(m.ip, m.is_alive, m.heartbeat.usage) for m in members]
        self.alive = [m.heartbeat for m in members if m.is_alive]

    def workspaces(self) -> set[str]:
        """Return the workspaces whose quotas live VMs use."""
        return {name for beat in self.alive for name in beat.usage}

    def of(self, workspace: str) -> UsageSummary:
        """Return the usage of one workspace's quota."""
        demand = share = silent_share = level = 0.0
        lender = ""
        for ip, is_alive, usages in self.usages:
            usage = usages.get(workspace)
            if usage is None:
                continue
            if not is_alive:
                silent_share += usage.share
                continue
            demand += usage.demand
            share += usage.share
            if usage.level > level:
                level, lender = usage.level, ip
        return UsageSummary(demand, share, silent_share, level, lender)


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
    )


def _demand_by_workspace(
    usage: Mapping[str, QuotaUsage | UsageSummary],
) -> dict[str, float]:
    return {name: one.demand for name, one in usage.items()}


def _version(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.number
