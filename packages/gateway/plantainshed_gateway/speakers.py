"""Which VMs speak for their failure domain, to whom, and what they say.

Load that it answers: a fleet where each VM tells each other one everything.
With 80 VMs and 80 workspaces that was 100 datagrams a second and VM, 2 Mbit/s
each way, and four fifths of all bytes between regions. Here two VMs of each domain
exchange summaries with two of each other domain and pass them on inside.

All VMs compute the same speakers from who is alive, preferring those with wide
links. Two speak, each to its counterpart by rank, so that one lost or paused VM
makes no domain silent.
"""

import itertools

import trio
from attrs import define, evolve

from plantainshed_coordination.digests import weighted_score

from .heartbeats import (
    DomainSummary,
    Heartbeat,
    SummaryBundle,
    UsageSummary,
    VmState,
    VmSummary,
)
from .members import Member, Members, UsageSums

# VMs of a failure domain that speak for it.
SPEAKERS_PER_DOMAIN = 2
# News in one datagram that is passed on. 8 domains of 50 VMs and 80 workspaces
# are some 50 KB, 15 KB compressed, of the 60 KB that a datagram may have.
SUMMARIES_PER_BUNDLE = 8


@define
class _QueuedSummary:
    summary: DomainSummary
    heard_at: float


class Speakers:
    """This VM's part in telling failure domains about each other.

    Parameters
    ----------
    members : Members
    """

    def __init__(self, members: Members):
        self.members = members
        self._numbers = itertools.count(1)
        self._turn = 0
        self._relay_queue: dict[str, _QueuedSummary] = {}
        self._leaving: dict[str, set[str]] = {}

    def names(self) -> list[str]:
        """Return the VMs that speak for this VM's failure domain."""
        own = self.members.own
        alive = [m.heartbeat for m in self.members.near() if _is_candidate(m)]
        candidates = [own, *alive] if own.state is not VmState.LEAVING else alive
        return _ranked(own.failure_domain, candidates)[:SPEAKERS_PER_DOMAIN]

    @property
    def is_speaker(self) -> bool:
        """Whether this VM speaks for its failure domain."""
        return self.members.own.vm in self.names()

    def can_reach_store(self) -> bool:
        """Tell whether other VMs watch the store for this one.

        They do if they speak for the failure domain and the store answers them.
        """
        names = self.names()
        if self.members.own.vm in names:
            return False
        table = self.members.table
        return any(table[name].heartbeat.is_store_reachable for name in names)

    def is_first_to_reach_store(self) -> bool:
        """Tell whether no VM that speaks before this one hears from the store."""
        for name in self.names():
            if name == self.members.own.vm:
                return True
            if self.members.table[name].heartbeat.is_store_reachable:
                return False
        return False

    def receivers(self) -> list[str]:
        """Return the IP addresses that this VM's news goes to, one a domain."""
        own = self.members.own
        names = self.names()
        if own.vm not in names:
            return []
        self._turn += 1
        domains: dict[str, list[Member]] = {}
        for member in self.members.table.values():
            if member.failure_domain != own.failure_domain:
                domains.setdefault(member.failure_domain, []).append(member)
        return [
            self._counterpart(domain, members, names.index(own.vm))
            for domain, members in domains.items()
        ]

    def _counterpart(self, domain: str, members: list[Member], rank: int) -> str:
        alive = [m for m in members if _is_candidate(m)]
        if not alive:
            # Nothing is known of that domain: its VMs are told by turns, and
            # whoever gets it passes it on.
            return members[self._turn % len(members)].ip
        order = _ranked(domain, [m.heartbeat for m in alive])
        name = order[min(rank, len(order) - 1)]
        return self.members.table[name].ip

    def make_summary(self) -> DomainSummary:
        """Return this VM's failure domain's news."""
        own = self.members.own
        near = self.members.near()
        now = trio.current_time()
        # This VM among the others, as they see it.
        itself = Member(_ip_of(own), own.failure_domain, own, now)
        known = [itself, *(m for m in near if m.heartbeat is not None)]
        ages = [now - member.heard_at for member in known if member.is_alive]
        names = {name for member in known for name in member.heartbeat.usage}
        sums = UsageSums(known)
        return DomainSummary(
            failure_domain=own.failure_domain,
            region=own.region,
            speaker=own.vm,
            incarnation=own.incarnation,
            number=next(self._numbers),
            control_address=own.control_address,
            age_s=round(max(ages), 2),
            vms=tuple(_vm_summary(member, now) for member in known),
            newest_revisions=own.newest_revisions,
            usage={name: _rounded(sums.of(name)) for name in names},
            deaths=own.deaths,
        )

    def queue_for_relay(self, summary: DomainSummary):
        """Keep another domain's news until it is passed on inside this one."""
        self._relay_queue[summary.failure_domain] = _QueuedSummary(
            summary, trio.current_time()
        )

    def is_urgent(self, summary: DomainSummary) -> bool:
        """Tell whether news names a VM that has begun to leave.

        Look-ups that go on naming it send callers to a VM about to end.
        """
        leaving = {vm.vm for vm in summary.vms if vm.state is VmState.LEAVING}
        before = self._leaving.get(summary.failure_domain, set())
        self._leaving[summary.failure_domain] = leaving
        return bool(leaving - before)

    def take_bundles(self) -> list[SummaryBundle]:
        """Return what is to be passed on now; it is not returned again."""
        now = trio.current_time()
        summaries = [
            _with_age_added(h.summary, now - h.heard_at)
            for h in self._relay_queue.values()
        ]
        self._relay_queue.clear()
        return [
            SummaryBundle(tuple(summaries[first : first + SUMMARIES_PER_BUNDLE]))
            for first in range(0, len(summaries), SUMMARIES_PER_BUNDLE)
        ]


def _is_candidate(member: Member) -> bool:
    beat = member.heartbeat
    return beat is not None and member.is_alive and beat.state is not VmState.LEAVING


def _ranked(domain: str, beats: list[Heartbeat]) -> list[str]:
    # Squared: of 14 VMs, two with 200 and twelve with 10 Mbit/s, a narrow one is
    # then among the first two in 5 % of domains, in place of half (4000 drawn).
    scored = [(weighted_score(domain, b.vm, b.weight**2), b.vm) for b in beats]
    return [vm for _, vm in sorted(scored, reverse=True)]


def _vm_summary(member: Member, now: float) -> VmSummary:
    beat = member.heartbeat
    return VmSummary(
        vm=beat.vm,
        ip=member.ip,
        incarnation=beat.incarnation,
        number=beat.number,
        state=beat.state,
        caller_address=beat.caller_address,
        weight=beat.weight,
        age_s=round(now - member.heard_at, 2),
    )


def _rounded(usage: UsageSummary) -> UsageSummary:
    return evolve(
        usage,
        demand=round(usage.demand, 2),
        share=round(usage.share, 4),
        silent_share=round(usage.silent_share, 4),
        level=round(usage.level, 1),
    )


def _with_age_added(summary: DomainSummary, seconds: float) -> DomainSummary:
    """Return news as it is to be told so much later."""
    if seconds < 0.01:
        return summary
    vms = tuple(evolve(vm, age_s=round(vm.age_s + seconds, 2)) for vm in summary.vms)
    return evolve(summary, age_s=round(summary.age_s + seconds, 2), vms=vms)


def _ip_of(beat: Heartbeat) -> str:
    return beat.caller_address.rpartition(":")[0]
