"""Which VMs there are, which are alive, and what they use of shared limits.

VMs of the own failure domain are heard directly, with all that they say. Others
are known from the news of their domains, which name each VM and sum up the rest.
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

# Time without a heartbeat after which a VM of the own failure domain counts as
# silent: four of them may be lost.
HEARTBEAT_TIMEOUT_S = 2.6
# The same for other domains, whose news comes once a second and is passed on
# within half of one. Look-ups must not name a VM that was killed 6 s ago.
FAR_HEARTBEAT_TIMEOUT_S = 3.8
# Time after a domain's news in which that of its other speaker is left aside:
# a little less than the second between two of one speaker's.
DUPLICATE_SUMMARY_S = 0.9
# How long a VM that was listed, and not heard yet, counts as about to be: its
# first heartbeat comes within what a start and the news of its domain take.
FIRST_HEARTBEAT_WAIT_S = 4.0
# How long the list of ready VMs is used before it is made again.
READY_CACHE_S = 0.1
# How long a silent VM is still sent heartbeats and keeps its part of limits.
FORGET_AFTER_S = 300.0


@define
class Member:
    """Another VM as this one knows it.

    Attributes
    ----------
    ip, failure_domain : str
        Where it is.
    heartbeat : Heartbeat or None
        The newest one; without its use of quotas if it is in another failure
        domain, and None if it was only listed.
    heard_at : float
        When that was heard, by this VM or by the one that told.
    alive_s : float
        Time after that for which it counts as alive.
    demand_history : DemandHistory
        By its heartbeats; empty if it is in another failure domain.
    """

    ip: str
    failure_domain: str
    heartbeat: Heartbeat | None = None
    heard_at: float = float("-inf")
    alive_s: float = HEARTBEAT_TIMEOUT_S
    known_since: float = field(factory=trio.current_time)
    demand_history: DemandHistory = field(factory=DemandHistory)

    @property
    def is_alive(self) -> bool:
        """Whether it was heard a moment ago."""
        return trio.current_time() - self.heard_at < self.alive_s

    @property
    def is_expected(self) -> bool:
        """Whether it was listed a moment ago and may be about to be heard."""
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
    """Another failure domain's newest news, and when it was told.

    Attributes
    ----------
    latest_by_speaker : dict of str to (int, int)
        Incarnation and number of the newest news, by speaker.
    demand_history : DemandHistory
        By its news.
    """

    summary: DomainSummary
    heard_at: float
    latest_by_speaker: dict[str, tuple[int, int]] = field(factory=dict)
    demand_history: DemandHistory = field(factory=DemandHistory)

    @property
    def oldest_heartbeat_at(self) -> float:
        """When the oldest heartbeat was heard that its sums rest on."""
        return self.heard_at - self.summary.age_s

    @property
    def is_recent(self) -> bool:
        """Whether other news of it than its speaker's next need not be taken."""
        return trio.current_time() - self.heard_at < DUPLICATE_SUMMARY_S

    @property
    def is_fresh(self) -> bool:
        """Whether the domain was heard of a moment ago."""
        return trio.current_time() - self.heard_at < FAR_HEARTBEAT_TIMEOUT_S


@frozen
class UsageTotals:
    """What all other VMs use of one workspace's quota.

    Parameters
    ----------
    demand, share : float
        Sums over VMs that are alive.
    past_demand : float
        The same as it was at the moment of the view.
    silent_share : float
        Shares of silent VMs; they may live behind a partition and use them.
    """

    demand: float
    past_demand: float
    share: float
    silent_share: float


class Members:
    """All VMs that this one knows, itself aside.

    Parameters
    ----------
    own : Heartbeat
        Replaced with each heartbeat that is sent.

    Attributes
    ----------
    far : dict of str to FarDomain
        Other failure domains, by name.
    is_listed : bool
        Whether the store, or another VM, has told which VMs there are.
    """

    def __init__(self, own: Heartbeat):
        self.own = own
        self.table: dict[str, Member] = {}
        self.far: dict[str, FarDomain] = {}
        self.is_listed = False
        self._ready_vms: tuple[float, list[str]] = (float("-inf"), [])

    # What this VM is told.

    def note_listed(self, vm: str, ip: str, failure_domain: str):
        """Take in a VM that the store, or another VM, names."""
        if vm == self.own.vm:
            return
        member = self.table.get(vm)
        if member is None:
            self.table[vm] = Member(ip, failure_domain)
        elif not member.is_alive:
            member.ip = ip

    def record_heartbeat(self, heartbeat: Heartbeat, ip: str) -> bool:
        """Take in a heartbeat; tell whether it is newer than what is known."""
        if heartbeat.vm == self.own.vm:
            return False
        if not self._record(heartbeat, ip, 0.0, HEARTBEAT_TIMEOUT_S):
            return False
        demand_history = self.table[heartbeat.vm].demand_history
        demand_history.note(trio.current_time(), _demand_by_workspace(heartbeat.usage))
        return True

    def _record(self, beat: Heartbeat, ip: str, age_s: float, alive_s: float) -> bool:
        member = self.table.setdefault(beat.vm, Member(ip, beat.failure_domain))
        known = member.heartbeat
        if known is not None and _version(beat) < _version(known):
            return False
        heard_at = trio.current_time() - age_s
        if known is not None and _version(beat) == _version(known):
            # Told again by another VM, which may have heard it later.
            member.heard_at = max(member.heard_at, heard_at)
            return False
        member.ip, member.failure_domain = ip, beat.failure_domain
        member.heartbeat = beat
        member.heard_at = heard_at
        member.alive_s = alive_s
        return True

    def record_summary(self, summary: DomainSummary) -> bool:
        """Take in another domain's news; tell whether it is newer than known.

        Whoever has it packed asks `wants_summary` first, which spares decoding it.
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
        demand_history.note(
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
        """Tell whether a domain's news is newer than what is known."""
        if failure_domain == self.own.failure_domain:
            return False
        known = self.far.get(failure_domain)
        if known is None:
            return True
        if known.is_recent and known.summary.speaker != speaker:
            # Its other speaker has just told the same; one in time is enough.
            return False
        return version > known.latest_by_speaker.get(speaker, (-1, -1))

    def forget_gone(self) -> list[str]:
        """Forget VMs that have long been silent; return their names."""
        gone = [vm for vm, member in self.table.items() if member.is_forgotten]
        for vm in gone:
            del self.table[vm]
        now = trio.current_time()
        for name, domain in list(self.far.items()):
            if now - domain.heard_at > FORGET_AFTER_S:
                del self.far[name]
        return gone

    # Who is there.

    def is_alive(self, vm: str) -> bool:
        """Tell whether another VM was heard a moment ago."""
        member = self.table.get(vm)
        return member is not None and member.is_alive

    def alive(self) -> list[Heartbeat]:
        """Return the newest heartbeats of this VM and all that are alive."""
        heard = [
            member.heartbeat
            for member in self.table.values()
            if member.heartbeat is not None and member.is_alive
        ]
        return [self.own, *heard]

    def ready(self) -> list[Heartbeat]:
        """Return those that take callers."""
        return [beat for beat in self.alive() if beat.state is VmState.READY]

    def ready_vms(self) -> list[str]:
        """Return their names, as they were a moment ago: asked for often."""
        at, names = self._ready_vms
        if trio.current_time() - at > READY_CACHE_S:
            names = [beat.vm for beat in self.ready()]
            self._ready_vms = trio.current_time(), names
        return names

    def near(self) -> list[Member]:
        """Return the other VMs of the own failure domain, silent ones too."""
        return self.in_domain(self.own.failure_domain)

    def in_domain(self, failure_domain: str) -> list[Member]:
        """Return the other VMs of a failure domain, silent ones too."""
        return [m for m in self.table.values() if m.failure_domain == failure_domain]

    def not_heard_yet(self) -> int:
        """Return how many VMs were listed a moment ago and not heard since."""
        return sum(1 for member in self.table.values() if member.is_expected)

    def heard_count(self) -> int:
        """Return how many VMs were ever heard, this one included."""
        return 1 + sum(1 for m in self.table.values() if m.heartbeat is not None)

    @property
    def count(self) -> int:
        """Number of VMs that exist, silent ones and this one included."""
        return 1 + len(self.table)

    # Their use of quotas.

    def usage_view(self, moment: float) -> "UsageView":
        """Return what all other VMs use of quotas now, and asked for at a moment."""
        near = [m for m in self.near() if m.heartbeat is not None]
        return UsageView(near, list(self.far.values()), moment)

    def oldest_heard_at(self) -> float:
        """Return when the oldest news that `use_of` counts was said."""
        heard = [m.heard_at for m in self.near() if m.is_alive]
        heard += [d.oldest_heartbeat_at for d in self.far.values() if d.is_fresh]
        return min(heard, default=trio.current_time())


class UsageView:
    """What other VMs use of quotas, as it was heard up to a moment.

    Parameters
    ----------
    near : list of Member
        Of the own failure domain.
    far : list of FarDomain
    moment : float
        For which demand is told too.
    """

    def __init__(self, near: list[Member], far: list[FarDomain], moment: float):
        self.near = UsageSums(near)
        self.far = [(domain.is_fresh, domain.summary.usage) for domain in far]
        alive = [m for m in near if m.is_alive]
        self.near_past_demand = {
            m.heartbeat.vm: m.demand_history.at(moment) for m in alive
        }
        far_past_demand = [d.demand_history.at(moment) for d in far if d.is_fresh]
        self.past_demands: list[PastDemand] = [
            *self.near_past_demand.values(),
            *far_past_demand,
        ]

    def of(self, workspace: str) -> UsageTotals:
        """Return the totals for one workspace."""
        near = self.near.of(workspace)
        demand, share, silent_share = near.demand, near.share, near.silent_share
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
    """Sums over VMs of one failure domain, by workspace.

    Parameters
    ----------
    members : list of Member
        That were heard.
    """

    def __init__(self, members: list[Member]):
        self.usages = [(m.ip, m.is_alive, m.heartbeat.usage) for m in members]
        self.alive = [m.heartbeat for m in members if m.is_alive]

    def workspaces(self) -> set[str]:
        """Return the workspaces whose quotas VMs that are alive use."""
        return {name for beat in self.alive for name in beat.usage}

    def of(self, workspace: str) -> UsageSummary:
        """Return what they use of a workspace's quota."""
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
