"""Registry of targets and this VM's view of their health and load."""

from collections.abc import Callable
from math import inf

import trio
from attrs import define

from plantainshed_coordination.digests import rendezvous_order

from ..model import Configuration
from ..ports import TargetEntry, TargetLoad

# How long a target stays in use after its entry expired together with many
# others. After an outage of the store, live targets write their entries again
# within 2 s, and a target that really leaves keeps serving for that long.
EXPIRY_GRACE_S = 1.8
# Entries of a pool that must disappear at once, as a fraction of the pool and as
# a number, before they count as expired rather than removed. Entries that were
# marked as draining are not counted. Targets are replaced and crash one or a few
# at a time, so a larger loss points to the store.
MASS_EXPIRY_FRACTION = 0.34
MASS_EXPIRY_MIN_TARGETS = 3
# Consecutive failures after which a target is ejected, and the duration of its first
# ejection. An ejected target gets no requests. One failure may be a single lost
# response.
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# How long a target is ejected after it refused a connection or another instance
# answered at its address. Its entry is removed within a few heartbeats of 1.5 s.
UNREACHABLE_EJECTION_S = 1.5
# Fraction of a route's timeout for which a target must have answered no request of this
# VM before an unanswered request counts as failed. Callers may set far shorter
# deadlines, and the first run for an object takes up to a quarter of the timeout.
MIN_SILENCE_FRACTION = 0.5
# Number of targets that are remembered as leaving: more than leave in a minute.
MAX_LEAVING_KEPT = 1000
# Maximum age of a target's load report.
LOAD_MAX_AGE_S = 1.0
# Time in which a new target's share of objects grows to its full size. The ramp
# keeps the requests that move to another region within 2 s below 15 % of a
# region's requests.
RAMP_S = 10.0
RAMP_STEPS = 10
# Largest fraction of a pool that may be ejected. If more targets seem to fail,
# the fault is more likely elsewhere.
MAX_EJECTED_FRACTION = 0.5


@define(eq=False)
class TargetState:
    """State of one target as seen by this VM.

    Attributes
    ----------
    entry : TargetEntry
    cold_until : float
        When its warm-up ends.
    ramp_from : float
        When its share of objects began to grow.
    in_flight : int
        Requests from this VM that are in flight to the target.
    load, load_at, in_flight_at_load
        The target's last load report, when it arrived, and `in_flight` at that time.
    limit_per_s : float or None
        Requests per second that the target takes from all VMs together; None while it
        names no limit.
    limit_seen_at : float
        When the answer arrived, at this VM or another one, that `limit_per_s` is from.
    answered_at : float
        When the target last answered a request of this VM.
    failures, ejections : int
        Consecutive failures, and ejections since the last success.
    ejected_until : float
        When the current ejection ends.
    retry_at : float
        Until when it wants no requests of this VM; minus infinity once a request has
        run since.
    is_leaving : bool
        Whether an answer of the target said that it is about to stop.
    has_unended : bool
        Whether an answer of the target did not end since it last answered completely.
    kept_until : float or None
        Until when it stays in use without an entry; None while it has one.
    """

    entry: TargetEntry
    cold_until: float = 0.0
    ramp_from: float = float("-inf")
    in_flight: int = 0
    load: TargetLoad | None = None
    load_at: float = float("-inf")
    in_flight_at_load: int = 0
    limit_per_s: float | None = None
    limit_seen_at: float = float("-inf")
    answered_at: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    retry_at: float = float("-inf")
    is_leaving: bool = False
    has_unended: bool = False
    kept_until: float | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the target is still warming up."""
        return self.cold_until > trio.current_time()

    @property
    def is_draining(self) -> bool:
        """Whether the target is about to stop and must get no new requests."""
        return self.is_leaving or self.entry.is_draining

    @property
    def is_restricted(self) -> bool:
        """Whether only some requests may go to it: it is cold or names a limit."""
        return self.limit_per_s is not None or self.is_cold

    @property
    def grace_ends_at(self) -> float:
        """When the target is dropped unless its entry is written again."""
        return inf if self.kept_until is None else self.kept_until

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected and receives no requests."""
        return self.ejected_until > trio.current_time()

    @property
    def is_on_trial(self) -> bool:
        """Whether an ejection has ended and the target has not answered since.

        It then gets one request at a time, and the next failure ejects it again. If
        answers did not end, only a complete answer ends the trial: heads still arrive.
        """
        return (
            self.ejections > 0
            and not self.is_ejected
            and (self.has_unended or self.answered_at < self.ejected_until)
        )

    def is_usable_at(self, now: float) -> bool:
        """Return whether the target may receive a request at the current time."""
        if self.ejected_until > now:
            return False
        if self.retry_at > float("-inf") and self.in_flight:
            # One request at a time until the target runs one, as it may turn it away.
            return False
        return not (self.ejections and self.in_flight and self.is_on_trial)

    def wants_requests_at(self, now: float) -> bool:
        """Return whether the target accepts requests of this VM at the current time."""
        return self.retry_at <= now

    def may_be_checked_at(self, now: float) -> bool:
        """Return whether health checks may be sent: it asked for no fewer requests."""
        return self.limit_per_s is None and self.wants_requests_at(now)

    @property
    def weight(self) -> float:
        """Weight in the distribution of objects over targets, from 0.1 to 1."""
        ramped = min(1.0, (trio.current_time() - self.ramp_from) / RAMP_S)
        return min(1.0, (1 + int(ramped * RAMP_STEPS)) / RAMP_STEPS)

    @property
    def occupancy(self) -> float:
        """Expected running and waiting requests per slot."""
        return self.expected_load / max(1, self.entry.slots)

    @property
    def expected_load(self) -> float:
        """Last reported requests, corrected by this VM's change since the report."""
        if trio.current_time() - self.load_at > LOAD_MAX_AGE_S or self.load is None:
            return float(self.in_flight)
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, reported + self.in_flight - self.in_flight_at_load)

    def note_load(self, load: TargetLoad | None):
        """Record a load report of the target."""
        if load is None:
            return
        self.load = load
        self.load_at = trio.current_time()
        self.in_flight_at_load = self.in_flight

    def note_cold(self, seconds: float):
        """Extend the warm-up to the remaining time that the target reports."""
        if seconds > 0:
            self.cold_until = max(self.cold_until, trio.current_time() + seconds)

    def note_success(self):
        """Reset the failure counters after a complete response."""
        self.failures = 0
        self.ejections = 0
        self.has_unended = False
        if self.wants_requests_at(trio.current_time()):
            self.retry_at = float("-inf")

    def note_retry_after(self, seconds: float):
        """Record that the target wants no requests of this VM for a while."""
        self.retry_at = max(self.retry_at, trio.current_time() + seconds)

    def note_answer(self):
        """Record that the target answered a request, whatever the answer is."""
        self.answered_at = trio.current_time()

    def is_silent_since(self, sent_at: float, timeout_s: float) -> bool:
        """Return whether an unanswered request shows that the target is down.

        The kernel of a frozen target still accepts connections and requests, so only
        missing answers show it. A target that answers other requests meanwhile is
        alive, however long this one takes.

        Parameters
        ----------
        sent_at : float
            When the request was sent.
        timeout_s : float
            Timeout of the request's route.
        """
        silent_s = trio.current_time() - max(sent_at, self.answered_at)
        return silent_s >= MIN_SILENCE_FRACTION * timeout_s

    def note_failure(self):
        """Count a failed request, and eject the target after several in a row."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT and not self.is_on_trial:
            return
        seconds = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejected_until = max(self.ejected_until, trio.current_time() + seconds)
        self.ejections += 1
        self.failures = 0

    def note_unended(self):
        """Count an answer that did not end in time as a failed request."""
        self.has_unended = True
        self.note_failure()

    def note_unreachable(self):
        """Eject a target that refuses connections or is now another instance."""
        self.ejected_until = max(
            self.ejected_until, trio.current_time() + UNREACHABLE_EJECTION_S
        )


class Registry:
    """All registered targets, by instance.

    Attributes
    ----------
    region_of : dict of str to str
        Region of each failure domain.
    evacuated : set of str
        Failure domains whose targets receive no requests.
    on_dropped : callable
        Called with the names of targets whose grace period has ended.
    """

    def __init__(self, region_of: dict[str, str]):
        self.region_of = region_of
        self.states: dict[str, TargetState] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.configuration: Configuration | None = None
        self.generation = 0
        self._by_pool: dict[str, list[TargetState]] = {}
        self._is_first_update = True
        # Entries of targets that said that they are about to stop. An entry may be lost
        # and written again before the target stops.
        self._leaving: dict[str, TargetEntry] = {}
        # When the shares of objects of all targets have reached their full size.
        self.ramps_until = float("-inf")
        self._next_grace_end = inf
        self.on_dropped: Callable[[list[str]], None] = lambda names: None

    def update_entries(
        self,
        entries: list[TargetEntry],
        may_have_expired: bool,
        kept_until: float | None = None,
        is_outage_excluded: bool = False,
    ):
        """Replace the registered targets.

        Parameters
        ----------
        entries : list of TargetEntry
        may_have_expired : bool
            Whether the store has just recovered from an outage. Entries that
            expired during the outage are then missing although their targets are
            alive, and dropping them at once would leave pools empty for two
            seconds.
        kept_until : float, optional
            Until when targets whose entries may have expired stay in use. By default,
            it is in `EXPIRY_GRACE_S`.
        is_outage_excluded : bool
            Whether the store certainly had no outage, so that even many missing
            entries were removed.
        """
        named = {entry.instance: entry for entry in entries}
        states = {
            instance: self._updated_state(self.states.get(instance), entry)
            for instance, entry in named.items()
        }
        vanished = [
            state
            for instance, state in self.states.items()
            if instance not in named and not state.is_draining
        ]
        if kept_until is None:
            kept_until = trio.current_time() + EXPIRY_GRACE_S
        for state in vanished:
            if state.kept_until is None and (
                may_have_expired
                or (not is_outage_excluded and self._is_mass_expiry(state, vanished))
            ):
                state.kept_until = kept_until
            if state.kept_until is not None:
                states[state.entry.instance] = state
        self.states = states
        self._is_first_update = False
        self._rebuild_pools()

    def _is_mass_expiry(self, state: TargetState, vanished: list[TargetState]) -> bool:
        """Return whether enough of a pool disappeared to assume expired entries."""
        pool = state.entry.pool
        gone = sum(1 for other in vanished if other.entry.pool == pool)
        known = sum(1 for other in self.states.values() if other.entry.pool == pool)
        return gone >= max(MASS_EXPIRY_MIN_TARGETS, MASS_EXPIRY_FRACTION * known)

    def _updated_state(
        self, state: TargetState | None, entry: TargetEntry
    ) -> TargetState:
        if state is None or _is_restart(state.entry, entry):
            state = self._new_state(entry)
        state.entry = entry
        state.kept_until = None
        state.note_cold(entry.cold_for_s)
        return state

    def _new_state(self, entry: TargetEntry) -> TargetState:
        state = TargetState(entry)
        leaving = self._leaving.get(entry.instance)
        state.is_leaving = leaving is not None and not _is_restart(leaving, entry)
        if not self._is_first_update:
            # The target registered while this VM was running, so it is new.
            self._begin_ramp(state)
        return state

    def _begin_ramp(self, state: TargetState):
        state.note_cold(self._warmup_of(state.entry.pool))
        state.ramp_from = trio.current_time()
        self.ramps_until = state.ramp_from + RAMP_S

    def note_leaving(self, state: TargetState):
        """Send no more requests to a target that says that it is about to stop."""
        state.is_leaving = True
        self._leaving[state.entry.instance] = state.entry
        if len(self._leaving) > MAX_LEAVING_KEPT:
            del self._leaving[next(iter(self._leaving))]
        self._rebuild_pools()

    def forget_failures(self):
        """End all ejections; used when the failures were not the targets' own."""
        for state in self.states.values():
            state.failures = state.ejections = 0
            state.has_unended = False
            state.ejected_until = 0.0

    def drop_expired(self):
        """Drop targets whose entries were not written again after an outage."""
        if trio.current_time() < self._next_grace_end:
            return
        gone = [
            instance
            for instance, state in self.states.items()
            if state.grace_ends_at <= trio.current_time()
        ]
        for instance in gone:
            del self.states[instance]
        if gone:
            self._rebuild_pools()
            self.on_dropped(gone)

    def end_grace(self):
        """Drop all targets whose entries are missing."""
        for state in self.states.values():
            if state.kept_until is not None:
                state.kept_until = -inf
        self._next_grace_end = -inf
        self.drop_expired()

    def grace_left_s(self, names: set[str]) -> float:
        """Return the longest remaining grace period of targets, in seconds."""
        ends = [self.states[name].grace_ends_at for name in names]
        return max(ends) - trio.current_time()

    def update_configuration(self, configuration: Configuration):
        """Use the pools of a new configuration."""
        self.configuration = configuration
        self._rebuild_pools()

    def update_evacuated(self, failure_domains: frozenset[str]):
        """Set the evacuated failure domains.

        When the evacuation of a failure domain ends, its targets may have lost
        their caches and can handle only little load, so they warm up again.
        """
        for state in self.states.values():
            domain = state.entry.failure_domain
            if domain in self.evacuated and domain not in failure_domains:
                self._begin_ramp(state)
        self.evacuated = failure_domains
        self._rebuild_pools()

    def _warmup_of(self, pool: str) -> float:
        known = self.configuration.pools.get(pool) if self.configuration else None
        return known.warmup_s if known else 0.0

    def _rebuild_pools(self):
        self.generation += 1
        self._by_pool = {}
        grace_ends = (state.grace_ends_at for state in self.states.values())
        self._next_grace_end = min(grace_ends, default=inf)
        for state in self.states.values():
            entry = state.entry
            if state.is_draining or entry.failure_domain in self.evacuated:
                continue
            self._by_pool.setdefault(entry.pool, []).append(state)

    def eligible(self, pool: str, home_regions: frozenset[str]) -> list[TargetState]:
        """Return the targets of a pool that may get new requests.

        Draining and evacuated targets are excluded, ejected ones are not.
        """
        self.drop_expired()
        states = self._by_pool.get(pool, [])
        if not home_regions:
            return states
        return [
            state
            for state in states
            if self.region_of.get(state.entry.failure_domain) in home_regions
        ]

    def wanted_after_s(self, pool: str, home_regions: frozenset[str]) -> float:
        """Return the seconds until a target of a pool wants requests of this VM."""
        states = self.eligible(pool, home_regions)
        first = min((state.retry_at for state in states), default=-inf)
        return max(0.0, first - trio.current_time())

    def usable(self, pool: str, home_regions: frozenset[str]) -> list[TargetState]:
        """Return the eligible targets of a pool that are also usable."""
        return usable_among(self.eligible(pool, home_regions))


def usable_among(eligible: list[TargetState]) -> list[TargetState]:
    """Return the targets that are neither ejected nor busy with a trial.

    If these are less than half of those that want requests, all of the latter are
    returned, so that false failure detections cannot empty a pool.
    """
    now = trio.current_time()
    willing = [state for state in eligible if state.wants_requests_at(now)]
    healthy = [state for state in willing if state.is_usable_at(now)]
    if len(healthy) < len(willing) * MAX_EJECTED_FRACTION:
        return willing
    return healthy


def vms_for_cold_target(instance: str, vms: list[str], max_count: int) -> list[str]:
    """Return the VMs that may send to a cold target; all VMs compute the same list.

    The rate limit of a cold target applies to all VMs together. Splitting it evenly
    would leave each VM less than one request a second in a large fleet.
    """
    return rendezvous_order(instance, vms)[: max(1, max_count)]


def _is_restart(known: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether a target restarted under the same instance name."""
    return (
        known.started_ms != entry.started_ms
        or known.address != entry.address
        or known.pool != entry.pool
    )
