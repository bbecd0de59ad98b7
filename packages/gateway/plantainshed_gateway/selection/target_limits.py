"""Limits that targets in need name, kept by all VMs together.

This is designed for the usual load of a pool some or all of whose targets suddenly take
only a fraction of it. A limit applies to all VMs together, and a VM sees only its own
requests and the answers to them.

A few VMs hold equal parts of a target's limit. All VMs select the same ones by
rendezvous hashing, so nothing is negotiated when a limit begins or changes. With 940
VMs, a part each would be one request in two minutes. The other VMs send to other
targets and request a permit from a holder if none has room; see `permits`.

A VM that is silent may be alive behind a partition and still use its part. The VMs that
hear each other therefore use only their fraction of a limit: the number of live VMs
divided by that of all known ones.

VMs report the limits that targets name to them to the others. The newest observation
counts. A target whose answers no longer name a limit is used like any other as soon as
one VM has seen that.
"""

import trio
from attrs import define

from plantainshed_coordination.digests import rendezvous_order, unit_hash

from ..heartbeats import Heartbeat, LimitReport
from ..logs import DecisionLog
from ..members import Member, Members
from .registry import Registry, TargetState
from .token_bucket import TokenBucket

# Requests beyond its limit that a target can be expected to bear within a few seconds:
# a fixed number, and the number that the limit allows in a time.
TOLERATED_REQUESTS = 5.0
TOLERATED_S = 2.0
# Fraction of that tolerance that the holders' tokens may use. The rest covers moments
# when VMs disagree about the holders, and requests that are delayed on their way.
SAFETY_FACTOR = 0.6
# Tokens that a holder may keep, in seconds at its rate; at least one token.
MAX_KEPT_S = 0.5
# Minimum rate at which a target gets requests, whatever limit it names. Otherwise the
# end of a limit near zero would not be noticed.
MIN_RATE_PER_S = 0.1
# Time for which a VM reports its newest observation of a target to the others. It spans
# several summaries between failure domains.
REPORT_S = 5.0
# Age of the newest observation above which a VM requests permits for a limited target
# although other targets have room. Its holders then have no callers who need it.
OUTDATED_S = 5.0


@define
class _Division:
    """How a target's limit is divided.

    Attributes
    ----------
    holders : list of Heartbeat
    rate : float
        Requests per second of each holder.
    """

    holders: list[Heartbeat]
    rate: float


class TargetLimits:
    """Keeps this VM's parts of the limits that targets name.

    Parameters
    ----------
    registry : Registry
    members : Members
    log : DecisionLog

    Attributes
    ----------
    limited : set of str
        Instances of the targets that name a limit.
    live_fraction : float
        Number of live VMs divided by the number of known ones.
    """

    def __init__(self, registry: Registry, members: Members, log: DecisionLog):
        self.registry = registry
        self.members = members
        self.log = log
        self.limited: set[str] = set()
        self.live_fraction = 1.0
        self._seen_here: set[str] = set()
        self._ready: list[Heartbeat] = []
        self._divisions: dict[str, _Division] = {}
        self._buckets: dict[str, TokenBucket] = {}

    # Observations.

    def note_answer(
        self, state: TargetState, limit_per_s: float | None, sent_at: float
    ):
        """Record the limit that an answer of a target names, if any.

        Parameters
        ----------
        state : TargetState
        limit_per_s : float or None
        sent_at : float
            When the request was sent. An answer without a limit may be older than one
            with a limit that arrived before it, but not older than its request.
        """
        if limit_per_s is not None:
            self._observe(state, limit_per_s, trio.current_time(), is_own=True)
        elif state.limit_per_s is not None and sent_at > state.limit_seen_at:
            self._observe(state, None, sent_at, is_own=True)

    def merge(self, reports: dict[str, LimitReport]):
        """Take over newer observations of other VMs, by instance."""
        for instance, report in reports.items():
            state = self.registry.states.get(instance)
            seen_at = trio.current_time() - report.age_s
            if state is None or seen_at <= state.limit_seen_at:
                continue
            if report.limit_per_s is None and state.limit_per_s is None:
                continue
            self._observe(state, report.limit_per_s, seen_at, is_own=False)

    def _observe(
        self,
        state: TargetState,
        limit_per_s: float | None,
        seen_at: float,
        is_own: bool,
    ):
        before_per_s = state.limit_per_s
        instance = state.entry.instance
        state.limit_per_s, state.limit_seen_at = limit_per_s, seen_at
        if is_own:
            self._seen_here.add(instance)
        else:
            self._seen_here.discard(instance)
        if limit_per_s == before_per_s:
            return
        if limit_per_s is None:
            self._forget(instance)
        else:
            self.limited.add(instance)
            self._divisions.pop(instance, None)
            self.refresh()
        self.log.event(
            "target limit changed",
            target=instance,
            limit_per_s=limit_per_s,
            before_per_s=before_per_s,
            seen_here=is_own,
            known_vms=self.members.count,
            live_fraction=round(self.live_fraction, 3),
        )

    def reports(self) -> dict[str, LimitReport]:
        """Return what this VM has seen of targets' limits itself, by instance."""
        now = trio.current_time()
        reports = {}
        for instance in self._seen_here:
            state = self.registry.states.get(instance)
            if state is not None and now - state.limit_seen_at < REPORT_S:
                age_s = round(now - state.limit_seen_at, 2)
                reports[instance] = LimitReport(state.limit_per_s, age_s)
        self._seen_here &= reports.keys()
        return reports

    # This VM's parts.

    def refresh(self):
        """Update what the division of limits depends on, if any target names one."""
        for instance in list(self.limited):
            state = self.registry.states.get(instance)
            if state is None or state.limit_per_s is None:
                # The target is gone or has restarted.
                self._forget(instance)
        if not self.limited:
            return
        known = max(self.members.count, self.members.largest_fleet_count())
        fraction = len(self.members.alive()) / known
        ready = self.members.ready()
        if fraction != self.live_fraction or _names(ready) != _names(self._ready):
            self.live_fraction, self._ready = fraction, ready
            self._divisions.clear()

    def _forget(self, instance: str):
        self.limited.discard(instance)
        self._divisions.pop(instance, None)
        self._buckets.pop(instance, None)

    def admits(self, state: TargetState) -> bool:
        """Return whether a request may go to a target now; if so, count it."""
        if state.limit_per_s is None:
            return True
        bucket = self._bucket(state)
        return bucket is not None and bucket.try_take()

    def is_outdated(self, state: TargetState) -> bool:
        """Return whether no VM has seen for a while what a target's limit is."""
        if state.limit_per_s is None:
            return False
        return trio.current_time() - state.limit_seen_at > OUTDATED_S

    def has_outdated(self) -> bool:
        """Return whether the limit of any target is outdated."""
        states = self.registry.states
        return any(self.is_outdated(states[i]) for i in self.limited if i in states)

    def holders(self, state: TargetState) -> list[Member]:
        """Return the other VMs that hold parts of a target's limit."""
        table = self.members.table
        holders = self._division(state).holders
        return [table[beat.vm] for beat in holders if beat.vm in table]

    def _bucket(self, state: TargetState) -> TokenBucket | None:
        """Return the tokens of this VM, or None if it holds no part."""
        instance, own_vm = state.entry.instance, self.members.own.vm
        division = self._division(state)
        # A VM that does not know all others would take too large a part.
        is_holder = own_vm in _names(division.holders) and self.members.is_listed
        if not is_holder:
            self._buckets.pop(instance, None)
            return None
        capacity = max(1.0, division.rate * MAX_KEPT_S)
        bucket = self._buckets.get(instance)
        if bucket is None:
            # Different levels at the start let whole tokens become available evenly
            # over time.
            tokens = unit_hash(own_vm, instance)
            bucket = TokenBucket(division.rate, capacity, tokens)
            self._buckets[instance] = bucket
        bucket.set_rate(division.rate, capacity)
        return bucket

    def _division(self, state: TargetState) -> _Division:
        instance = state.entry.instance
        division = self._divisions.get(instance)
        if division is None:
            division = self._divisions[instance] = self._divide(state)
        return division

    def _divide(self, state: TargetState) -> _Division:
        limit_per_s = max(MIN_RATE_PER_S, state.limit_per_s)
        tolerance = TOLERATED_REQUESTS + TOLERATED_S * limit_per_s
        max_holders = int(SAFETY_FACTOR * tolerance * self.live_fraction)
        holders = self._in_order(state)[: max(1, max_holders)]
        rate = limit_per_s * self.live_fraction / max(1, len(holders))
        return _Division(holders, rate)

    def _in_order(self, state: TargetState) -> list[Heartbeat]:
        """Return the ready VMs in order of preference, those of its region first.

        With far regions, the others seldom send to it.
        """
        region = self.registry.region_of.get(state.entry.failure_domain)
        by_name = {beat.vm: beat for beat in self._ready}
        order = rendezvous_order(state.entry.instance, by_name)
        return sorted(
            (by_name[name] for name in order), key=lambda beat: beat.region != region
        )


def _names(beats: list[Heartbeat]) -> list[str]:
    return [beat.vm for beat in beats]


def merged_reports(
    reports: list[tuple[dict[str, LimitReport], float]],
) -> dict[str, LimitReport]:
    """Return the newest report of each target.

    Parameters
    ----------
    reports : list of tuple
        Reports of one VM, by instance, and the time since they arrived.
    """
    merged: dict[str, LimitReport] = {}
    for by_instance, since_s in reports:
        for instance, report in by_instance.items():
            age_s = round(report.age_s + since_s, 2)
            known = merged.get(instance)
            if age_s < REPORT_S and (known is None or age_s < known.age_s):
                merged[instance] = LimitReport(report.limit_per_s, age_s)
    return merged
