"""Which VMs there are, which are alive, and what they use of shared limits.

VMs of the own failure domain are heard directly, with all that they say. Others
are known from the news of their domains, which name each VM and sum up the rest.
"""

from collections.abc import Mapping

import trio
from attrs import define, field, frozen

from .demand import DemandThen, ToldDemand
from .heartbeats import (
    DomainNews,
    Heartbeat,
    Use,
    UseSummary,
    VmState,
    VmSummary,
)

# Time without a heartbeat after which a VM of the own failure domain counts as
# silent: four of them may be lost.
ALIVE_S = 2.6
# The same for other domains, whose news comes once a second and is passed on
# within half of one. Look-ups must not name a VM that was killed 6 s ago.
FAR_ALIVE_S = 3.8
# Time after a domain's news in which that of its other speaker is left aside:
# a little less than the second between two of one speaker's.
RECENT_S = 0.9
# How long a VM that was listed, and not heard yet, counts as about to be: its
# first heartbeat comes within what a start and the news of its domain take.
EXPECTED_S = 4.0
# How long the list of ready VMs is used before it is made again.
READY_KEPT_S = 0.1
# How long a silent VM is still sent heartbeats and keeps its part of limits.
FORGET_S = 300.0


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
    told : ToldDemand
        By its heartbeats; empty if it is in another failure domain.
    """

    ip: str
    failure_domain: str
    heartbeat: Heartbeat | None = None
    heard_at: float = float("-inf")
    alive_s: float = ALIVE_S
    known_since: float = field(factory=trio.current_time)
    told: ToldDemand = field(factory=ToldDemand)

    @property
    def is_alive(self) -> bool:
        """Whether it was heard a moment ago."""
        return trio.current_time() - self.heard_at < self.alive_s

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


@define
class FarDomain:
    """Another failure domain's newest news, and when it was told.

    Attributes
    ----------
    order : dict of str to (int, int)
        Incarnation and number of the newest news, by speaker.
    told : ToldDemand
        By its news.
    """

    summary: DomainNews
    heard_at: float
    order: dict[str, tuple[int, int]] = field(factory=dict)
    told: ToldDemand = field(factory=ToldDemand)

    @property
    def said_at(self) -> float:
        """When the oldest heartbeat was heard that its sums rest on."""
        return self.heard_at - self.summary.age_s

    @property
    def is_recent(self) -> bool:
        """Whether other news of it than its speaker's next need not be taken."""
        return trio.current_time() - self.heard_at < RECENT_S

    @property
    def is_fresh(self) -> bool:
        """Whether the domain was heard of a moment ago."""
        return trio.current_time() - self.heard_at < FAR_ALIVE_S


@frozen
class UseTotals:
    """What all other VMs use of one workspace's quota.

    Parameters
    ----------
    demand, share : float
        Sums over VMs that are alive.
    demand_then : float
        The same as it was at the moment of the view.
    kept : float
        Shares of silent VMs; they may live behind a partition and use them.
    """

    demand: float
    demand_then: float
    share: float
    kept: float


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
        if not self._take(heartbeat, ip, 0.0, ALIVE_S):
            return False
        told = self.table[heartbeat.vm].told
        told.note(trio.current_time(), _demand_of(heartbeat.usage))
        return True

    def _take(self, beat: Heartbeat, ip: str, age_s: float, alive_s: float) -> bool:
        member = self.table.setdefault(beat.vm, Member(ip, beat.failure_domain))
        known = member.heartbeat
        if known is not None and _order(beat) < _order(known):
            return False
        heard_at = trio.current_time() - age_s
        if known is not None and _order(beat) == _order(known):
            # Told again by another VM, which may have heard it later.
            member.heard_at = max(member.heard_at, heard_at)
            return False
        member.ip, member.failure_domain = ip, beat.failure_domain
        member.heartbeat = beat
        member.heard_at = heard_at
        member.alive_s = alive_s
        return True

    def take_news(self, news: DomainNews) -> bool:
        """Take in another domain's news; tell whether it is newer than known.

        Whoever has it packed asks `wants_news` first, which spares decoding it.
        """
        order = news.incarnation, news.number
        if not self.wants_news(news.failure_domain, news.speaker, order):
            return False
        known = self.far.get(news.failure_domain)
        orders = known.order if known else {}
        orders[news.speaker] = order
        told = known.told if known else ToldDemand()
        domain = FarDomain(news, trio.current_time(), orders, told)
        told.note(domain.said_at, _demand_of(news.usage))
        self.far[news.failure_domain] = domain
        for summary in news.vms:
            if summary.vm != self.own.vm:
                beat = _beat_of(summary, news)
                self._take(beat, summary.ip, summary.age_s, FAR_ALIVE_S)
        return True

    def wants_news(
        self, failure_domain: str, speaker: str, order: tuple[int, int]
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
        return order > known.order.get(speaker, (-1, -1))

    def forget_gone(self) -> list[str]:
        """Forget VMs that have long been silent; return their names."""
        gone = [vm for vm, member in self.table.items() if member.is_forgotten]
        for vm in gone:
            del self.table[vm]
        now = trio.current_time()
        for name, domain in list(self.far.items()):
            if now - domain.heard_at > FORGET_S:
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
        if trio.current_time() - at > READY_KEPT_S:
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

    def use_view(self, moment: float) -> "UseView":
        """Return what all other VMs use of quotas now, and asked for at a moment."""
        near = [m for m in self.near() if m.heartbeat is not None]
        return UseView(near, list(self.far.values()), moment)

    def oldest_heard_at(self) -> float:
        """Return when the oldest news that `use_of` counts was said."""
        heard = [m.heard_at for m in self.near() if m.is_alive]
        heard += [d.said_at for d in self.far.values() if d.is_fresh]
        return min(heard, default=trio.current_time())


class UseView:
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
        self.near = UseSums(near)
        self.far = [(domain.is_fresh, domain.summary.usage) for domain in far]
        alive = [m for m in near if m.is_alive]
        self.near_then = {m.heartbeat.vm: m.told.at(moment) for m in alive}
        far_then = [d.told.at(moment) for d in far if d.is_fresh]
        self.then: list[DemandThen] = [*self.near_then.values(), *far_then]

    def of(self, workspace: str) -> UseTotals:
        """Return the totals for one workspace."""
        near = self.near.of(workspace)
        demand, share, kept = near.demand, near.share, near.kept
        for is_fresh, uses in self.far:
            usage = uses.get(workspace)
            if usage is None:
                continue
            kept += usage.kept
            if is_fresh:
                demand += usage.demand
                share += usage.share
            else:
                kept += usage.share
        demand_then = sum(then.of(workspace) for then in self.then)
        return UseTotals(demand, demand_then, share, kept)


class UseSums:
    """Sums over VMs of one failure domain, by workspace.

    Parameters
    ----------
    members : list of Member
        That were heard.
    """

    def __init__(self, members: list[Member]):
        self.uses = [(m.ip, m.is_alive, m.heartbeat.usage) for m in members]
        self.alive = [m.heartbeat for m in members if m.is_alive]

    def workspaces(self) -> set[str]:
        """Return the workspaces whose quotas VMs that are alive use."""
        return {name for beat in self.alive for name in beat.usage}

    def of(self, workspace: str) -> UseSummary:
        """Return what they use of a workspace's quota."""
        demand = share = kept = level = 0.0
        lender = ""
        for ip, is_alive, uses in self.uses:
            usage = uses.get(workspace)
            if usage is None:
                continue
            if not is_alive:
                kept += usage.share
                continue
            demand += usage.demand
            share += usage.share
            if usage.level > level:
                level, lender = usage.level, ip
        return UseSummary(demand, share, kept, level, lender)


def _beat_of(summary: VmSummary, news: DomainNews) -> Heartbeat:
    return Heartbeat(
        vm=summary.vm,
        failure_domain=news.failure_domain,
        region=news.region,
        incarnation=summary.incarnation,
        number=summary.number,
        state=summary.state,
        caller_address=summary.caller_address,
        control_address="",
        weight=summary.weight,
    )


def _demand_of(usage: Mapping[str, Use | UseSummary]) -> dict[str, float]:
    return {name: one.demand for name, one in usage.items()}


def _order(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.number
