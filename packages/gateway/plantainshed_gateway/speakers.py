"""Exchange of summaries between failure domains by elected speakers.

Direct exchange between all VMs would be too expensive. With 80 VMs and 80 workspaces,
it took 100 datagrams per second and VM, 2 Mbit/s in each direction, and caused four
fifths of all bytes between regions.
Instead, two VMs of each domain exchange summaries with two VMs of each other domain and
relay them inside their own.

All VMs compute the same speakers from the set of live VMs, with a preference for VMs
with high link bandwidth. There are two speakers, and each sends to the speaker of the
same rank in the other domain, so a single lost or paused VM does not silence a domain.

While load reports are exchanged, the VMs of a domain that receive summaries differ by
sending domain, because each VM relays what it receives to its whole domain: with 80 VMs
in 6 domains, the two speakers would send most bytes of all if they relayed everything.
"""

import itertools
import math
from collections import Counter
from statistics import fmean

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
from .members import Member, Members
from .selection.load_reports import LoadReport, sum_of, trimmed
from .selection.target_limits import merged_reports
from .usage_view import UsageSums

# Number of speakers of a failure domain.
SPEAKERS_PER_DOMAIN = 2
# Number of summaries in one relayed datagram. 8 domains of 50 VMs and 80 workspaces
# take about 50 KB, or 15 KB compressed; a datagram may have 60 KB.
SUMMARIES_PER_BUNDLE = 8
# Age up to which a VM's report counts in its domain's load. A VM that dies is missing
# in the next summary after that, which arrives everywhere within 1.5 s (1 s between
# summaries, 0.5 s until it is relayed), so its load counts for less than 3 s.
MAX_SUMMED_LOAD_AGE_S = 1.2
# Bytes per second that one VM may send for load reports in summaries, of the 26,000 for
# all control messages. Reports in heartbeats may use 6,800, see `load_sharing`, and the
# rest of heartbeats and summaries takes up to 8,000 with 80 VMs and 8 workspaces.
SUMMARY_LOAD_BYTES_PER_S = 11_000


@define
class _QueuedSummary:
    summary: DomainSummary
    heard_at: float


class Speakers:
    """Elects speakers and builds the summaries that they exchange.

    Parameters
    ----------
    members : Members
    """

    def __init__(self, members: Members):
        self.members = members
        self._numbers = itertools.count(1)
        self._turn = 0
        self._relay_queue: dict[str, _QueuedSummary] = {}
        self._avoided: dict[str, set[str]] = {}

    def names(self) -> list[str]:
        """Return the names of the speakers of this VM's failure domain."""
        return self._order()[:SPEAKERS_PER_DOMAIN]

    def _order(self) -> list[str]:
        own = self.members.own
        alive = [m.heartbeat for m in self.members.in_own_domain() if _is_candidate(m)]
        candidates = [own, *alive] if own.state is not VmState.LEAVING else alive
        return _ranked(own.failure_domain, candidates)

    def rank(self) -> int:
        """Return how many live VMs of the domain come before this one as a speaker.

        The present speakers are not counted.
        """
        others = self._order()[SPEAKERS_PER_DOMAIN:]
        own = self.members.own.vm
        return others.index(own) if own in others else 0

    def heard_at(self) -> float:
        """Return when a speaker that the store answers was last heard."""
        table = self.members.table
        heard = [table[name] for name in self.names() if name in table]
        reachable = [m.heard_at for m in heard if m.heartbeat.is_store_reachable]
        return max(reachable, default=float("-inf"))

    @property
    def is_speaker(self) -> bool:
        """Whether this VM is a speaker of its failure domain."""
        return self.members.own.vm in self.names()

    def is_store_watched_by_speakers(self) -> bool:
        """Return whether a speaker watches the store on behalf of this VM.

        True if this VM is not a speaker and the store answers at least one speaker.
        """
        names = self.names()
        if self.members.own.vm in names:
            return False
        table = self.members.table
        return any(table[name].heartbeat.is_store_reachable for name in names)

    def is_store_poller(self) -> bool:
        """Return whether this VM polls the store for its failure domain.

        True if it is a speaker and the store answers no speaker ranked before it.
        """
        for name in self.names():
            if name == self.members.own.vm:
                return True
            if self.members.table[name].heartbeat.is_store_reachable:
                return False
        return False

    def receivers(self) -> list[str]:
        """Return the IP addresses to send summaries to, one per other domain."""
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
            # No VM of that domain is known to be alive. Its VMs are tried in turn, and
            # the one that receives the summary relays it.
            return members[self._turn % len(members)].ip
        order = _ranked(domain, [m.heartbeat for m in alive])
        if self.members.own.load is None:
            return self.members.table[order[min(rank, len(order) - 1)]].ip
        senders = sorted(self._domain_sizes().keys() - {domain})
        # The first places are those of the domain's own speakers, which send summaries
        # to all other domains and relay only what remains for them.
        sender = 1 + senders.index(self.members.own.failure_domain)
        name = order[(SPEAKERS_PER_DOMAIN * sender + rank) % len(order)]
        return self.members.table[name].ip

    def _domain_sizes(self) -> Counter[str]:
        sizes = Counter(m.failure_domain for m in self.members.table.values())
        sizes[self.members.own.failure_domain] += 1
        return sizes

    def make_summary(self) -> DomainSummary:
        """Return a summary of this VM's failure domain."""
        own = self.members.own
        own_domain = self.members.in_own_domain()
        now = trio.current_time()
        # This VM is included in the form in which the others see it.
        itself = Member(
            _ip_of(own),
            own.failure_domain,
            own.incarnation,
            heartbeat=own,
            heard_at=now,
        )
        known = [itself, *(m for m in own_domain if m.heartbeat is not None)]
        alive = [member for member in known if member.is_alive]
        ages = [now - member.heard_at for member in alive]
        sums = UsageSums(known)
        load, load_age_s = self._domain_load(known)
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
            usage={name: _rounded(sums.of(name)) for name in sums.workspaces()},
            crashes=own.crashes,
            known_vm_count=own.known_vm_count,
            known_vms_digest=own.known_vms_digest,
            is_vm_list_complete=own.is_vm_list_complete,
            cut_off=tuple(m.heartbeat.vm for m in known if m.heartbeat.is_cut_off),
            limits=merged_reports(
                [(m.heartbeat.limits, now - m.heard_at) for m in known]
            ),
            needs_load=any(member.heartbeat.needs_load for member in alive),
            load=load,
            load_age_s=load_age_s,
            contact=own.contact,
        )

    def _domain_load(self, known: list[Member]) -> tuple[LoadReport | None, float]:
        """Return the load of the domain's VMs and the mean age of their reports.

        With the age of the oldest report, a sum that contains a late one would look
        older than the sum before it, which other VMs would then keep.
        """
        now = trio.current_time()
        counted = [
            member
            for member in known
            if member.heartbeat.load is not None
            and now - member.heard_at <= MAX_SUMMED_LOAD_AGE_S
        ]
        if not counted:
            return None, 0.0
        load = sum_of(member.heartbeat.load for member in counted)
        age_s = round(fmean(now - member.heard_at for member in counted), 2)
        return trimmed(load, self._max_load_bytes()), age_s

    def _max_load_bytes(self) -> float:
        """Return the size up to which a summary's load may be sent and relayed.

        A speaker sends summaries to all other domains. The VMs of a domain share those
        that it receives, and relay them to the whole domain.
        """
        sizes = self._domain_sizes()
        senders = len(sizes) - 1
        largest = max(sizes.values())
        received = SPEAKERS_PER_DOMAIN * senders
        relayed_per_s = math.ceil(received / largest) * (largest - 1)
        sent_per_s = max(1, senders, relayed_per_s)
        if received > largest - SPEAKERS_PER_DOMAIN:
            # Speakers relay summaries, too.
            sent_per_s = senders + relayed_per_s
        return SUMMARY_LOAD_BYTES_PER_S / max(1, sent_per_s)

    def queue_for_relay(self, summary: DomainSummary):
        """Queue another domain's summary to be relayed inside this domain."""
        self._relay_queue[summary.failure_domain] = _QueuedSummary(
            summary, trio.current_time()
        )

    def is_urgent(self, summary: DomainSummary) -> bool:
        """Return whether a summary shows that a VM begins to leave or is cut off.

        Look-ups would otherwise send callers to a VM that is about to stop, and cut-off
        VMs would ask each other to forward requests.
        """
        leaving = {vm.vm for vm in summary.vms if vm.state is VmState.LEAVING}
        avoided = leaving | set(summary.cut_off)
        before = self._avoided.get(summary.failure_domain, set())
        self._avoided[summary.failure_domain] = avoided
        return bool(avoided - before)

    def take_bundles(self) -> list[SummaryBundle]:
        """Return the queued summaries in bundles and clear the queue."""
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
    # Squaring the weight keeps VMs with low bandwidth from being elected. Among 14 VMs,
    # two with 200 and twelve with 10 Mbit/s, a low-bandwidth VM is one of the first two
    # in 5 % of domains instead of half of them (4000 drawn).
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
    return UsageSummary(
        demand=round(usage.demand, 2),
        share=round(usage.share, 4),
        silent_share=round(usage.silent_share, 4),
        level=round(usage.level, 1),
        lender=usage.lender,
    )


def _with_age_added(summary: DomainSummary, seconds: float) -> DomainSummary:
    """Return a summary with its ages increased by the given time."""
    if seconds < 0.01:
        return summary
    vms = tuple(evolve(vm, age_s=round(vm.age_s + seconds, 2)) for vm in summary.vms)
    limits = merged_reports([(summary.limits, seconds)])
    age_s = round(summary.age_s + seconds, 2)
    load_age_s = round(summary.load_age_s + seconds, 2)
    contact = summary.contact and summary.contact.aged(seconds)
    return evolve(
        summary,
        age_s=age_s,
        vms=vms,
        limits=limits,
        load_age_s=load_age_s,
        contact=contact,
    )


def _ip_of(beat: Heartbeat) -> str:
    return beat.caller_address.rpartition(":")[0]
