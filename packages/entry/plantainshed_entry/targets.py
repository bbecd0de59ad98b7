"""State of the targets on this VM: health, load, draining and warm-up.

Results of real requests take precedence over probe results, and "draining" takes
precedence over "healthy". The fraction of ejected targets is limited, so that a false
alarm cannot empty a pool.
"""

import random
from typing import Protocol

import trio
from attrs import define, field, frozen

from plantainshed_coordination.count_part import CountPart
from plantainshed_coordination.holdings import Holdings
from plantainshed_model.document import Drain, DrainKind, Pool, Target

from .in_force import SLOTS_PREFIX, IndexedDocument

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 5.0
CONNECT_REFUSED_S = 2.0
MAX_EJECTION_S = 60.0
SUCCESS_TTL_S = 5.0
REPORT_TTL_S = 8.0
MAX_EJECTED_FRACTION = 0.5
RAMP_START = 0.1
POOL_TIME_WEIGHT = 0.05
TARGET_TIME_WEIGHT = 0.3
MEASUREMENT_TTL_S = 20.0
SLOW_FACTOR = 2.0


@frozen
class ProbeResult:
    """Result of a health check of a target.

    Parameters
    ----------
    healthy, draining : bool
    load : float
        Number of running requests that the target reports.
    """

    healthy: bool
    draining: bool
    load: float


@define
class TargetState:
    """State of one target as observed by this VM.

    Attributes
    ----------
    part : CountPart or None
        This VM's part of the target's slots.
    failures : int
        Consecutive requests that failed because of the target.
    ejected_until : float
        When the target may be used again.
    ejections : int
        Number of ejections since the last successful request.
    retry_at : float
        Until when the target wants no requests of this VM.
    ramp_started_at : float
        When the warm-up of the target began.
    service_time_s : float
        Moving average of the measured service time; 0 if unknown.
    suspects_in_flight : int
        Own requests in flight that are suspected of crashing targets.
    """

    target: Target
    pool: Pool
    part: CountPart | None = None
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    last_success_at: float = -SUCCESS_TTL_S
    probe: ProbeResult | None = None
    probe_at: float = 0.0
    draining_at: float = -REPORT_TTL_S
    refused_until: float = 0.0
    retry_at: float = float("-inf")
    ramp_started_at: float = field(factory=trio.current_time)
    service_time_s: float = 0.0
    own_in_flight: int = 0
    suspects_in_flight: int = 0

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected at present."""
        return self.ejected_until > trio.current_time()

    @property
    def refuses_connections(self) -> bool:
        """Whether the target recently refused a connection of this VM."""
        return self.refused_until > trio.current_time()

    @property
    def wants_requests(self) -> bool:
        """Whether the time for which the target wanted no requests is over."""
        return self.retry_at <= trio.current_time()

    def note_retry_after(self, seconds: float):
        """Record that the target wants no requests of this VM for a while."""
        self.retry_at = max(self.retry_at, trio.current_time() + seconds)

    @property
    def is_draining(self) -> bool:
        """Whether the target recently reported that it is draining."""
        return trio.current_time() - self.draining_at < REPORT_TTL_S

    @property
    def runs_suspect(self) -> bool:
        """Whether the target runs a request that is suspected of crashing targets."""
        lent_exclusively = self.part is not None and bool(self.part.exclusive_loans)
        return self.suspects_in_flight > 0 or lent_exclusively

    @property
    def seems_healthy(self) -> bool:
        """Whether recent requests or probes indicate that the target is healthy.

        A target without a recent result counts as healthy.
        """
        now = trio.current_time()
        if now - self.last_success_at < SUCCESS_TTL_S:
            # A health endpoint can be wrong, so successful requests take precedence.
            return True
        if self.probe is None or now - self.probe_at > REPORT_TTL_S:
            return True
        return self.probe.healthy

    @property
    def ramp_fraction(self) -> float:
        """Fraction of the slots that may be used during warm-up, up to 1."""
        if self.pool.ramp_s <= 0:
            return 1.0
        elapsed = trio.current_time() - self.ramp_started_at
        return min(1.0, RAMP_START + elapsed / self.pool.ramp_s)

    @property
    def load(self) -> float:
        """Running requests per slot.

        The larger of the requests of this VM and the load that the target reported
        is used. The weight of a report decreases with its age.
        """
        reported = 0.0
        if self.probe is not None:
            age = trio.current_time() - self.probe_at
            reported = self.probe.load * max(0.0, 1.0 - age / REPORT_TTL_S)
        return max(float(self.own_in_flight), reported) / self.pool.slots

    @property
    def expected_s(self) -> float:
        """Expected duration of one more request in seconds.

        The weight of the measured service time decreases with its age, so that a
        target that was slow is tried again.
        """
        age = trio.current_time() - self.last_success_at
        default_s = self.pool.service_time_s
        measured_s = self.service_time_s or default_s
        weight = max(0.0, 1.0 - age / MEASUREMENT_TTL_S)
        seconds = default_s + (measured_s - default_s) * weight
        return seconds * (1.0 + self.load)

    def note_success(self, seconds: float):
        """Record that a request was answered, and how long it took."""
        average_s = self.service_time_s or seconds
        self.service_time_s = average_s + (seconds - average_s) * TARGET_TIME_WEIGHT
        self.failures = 0
        self.last_success_at = trio.current_time()
        if not self.is_ejected:
            self.ejections = 0

    def restart_ramp(self):
        """Restart the warm-up, because a target that returns has a cold cache."""
        self.ramp_started_at = trio.current_time()


class TargetOrder(Protocol):
    """Orders targets with free slots by preference."""

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Return the candidates, best first."""


class FastestFirst:
    """Prefers the target with the shortest expected duration of a request.

    A target that is slow but not broken passes all health checks and has free slots.
    Only the duration of its requests shows that it is slow.
    """

    def __init__(self):
        self.random = random.Random(1)

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Sort the candidates by expected duration, ties in random order."""
        shuffled = self.random.sample(candidates, len(candidates))
        return sorted(shuffled, key=lambda state: state.expected_s)


class TargetTable:
    """All targets of the document in force.

    Parameters
    ----------
    holdings : Holdings
        This VM's parts of the slot budgets.
    order : TargetOrder, optional
        Order of preference among targets with free slots.

    Attributes
    ----------
    states : dict of str to TargetState
        State by name of the target.
    service_time : dict of str to float
        Moving average of the measured service time in seconds, by pool.
    drained : set of str
        Targets that an operator drains, alone or with their failure domain.
    """

    def __init__(self, holdings: Holdings, order: "TargetOrder | None" = None):
        self.holdings = holdings
        self.order = order or FastestFirst()
        self.states: dict[str, TargetState] = {}
        self.service_time: dict[str, float] = {}
        self.drained: set[str] = set()
        self._by_pool: dict[str, list[TargetState]] = {}
        self._is_first_document = True

    def update_document(self, in_force: IndexedDocument):
        """Update the targets when a new document comes into force."""
        document = in_force.document
        states = {}
        for target in document.targets:
            pool = in_force.pools[target.pool]
            state = self.states.get(target.name)
            if state is None or state.target.address != target.address:
                state = TargetState(target, pool)
                if self._is_first_document:
                    # A VM that has just started does not know whether the targets
                    # are warm. Only the VM is new, so the targets count as warm.
                    state.ramp_started_at -= pool.ramp_s
            state.target, state.pool = target, pool
            state.part = self.holdings.parts.get(SLOTS_PREFIX + target.name)
            states[target.name] = state
        self.states = states
        self._is_first_document = False
        self._by_pool = {}
        for state in states.values():
            self._by_pool.setdefault(state.pool.name, []).append(state)
        self._update_drains(document.drains)

    def _update_drains(self, drains: tuple[Drain, ...]):
        names = {drain.name for drain in drains if drain.kind is DrainKind.TARGET}
        domains = {d.name for d in drains if d.kind is DrainKind.FAILURE_DOMAIN}
        drained = {
            name
            for name, state in self.states.items()
            if name in names or state.target.failure_domain in domains
        }
        for name in self.drained - drained:
            if name in self.states:
                self.states[name].restart_ramp()
        self.drained = drained

    def of_pool(self, pool: str) -> list[TargetState]:
        """Return all targets of a pool."""
        return self._by_pool.get(pool, [])

    def usable(self, pool: str, failure_domain: str) -> list[TargetState]:
        """Return the targets of a failure domain that may get new requests.

        If more than half of the targets that are not draining seem unhealthy, a
        false alarm is more likely than that many broken targets, so all of them
        stay in use. A target that refuses connections is certainly unusable and is
        always left out.
        """
        candidates = [
            state
            for state in self.of_pool(pool)
            if state.target.failure_domain == failure_domain
            and state.target.name not in self.drained
            and not state.is_draining
            and not state.refuses_connections
            and state.wants_requests
        ]
        healthy = [s for s in candidates if s.seems_healthy and not s.is_ejected]
        if len(healthy) < len(candidates) * MAX_EJECTED_FRACTION:
            return candidates
        return healthy

    def take_slot(
        self,
        pool: str,
        failure_domain: str,
        excluded=frozenset(),
        exclusive: bool = False,
        allow_slow: bool = True,
    ) -> TargetState | None:
        """Take a free slot of the preferred target, or return None.

        Parameters
        ----------
        pool, failure_domain : str
        excluded : set of str
            Names of targets that must not be used.
        exclusive : bool
            Whether the request is suspected of crashing targets. Its target must
            not run another suspected request at the same time.
        allow_slow : bool
            Whether slow targets may be used.
        """
        candidates = [
            state
            for state in self.usable(pool, failure_domain)
            if state.part is not None
            and state.target.name not in excluded
            and not (exclusive and state.runs_suspect)
            and (allow_slow or not self.is_slow(state))
            and self._has_room(state)
        ]
        for state in self.order(candidates):
            if state.part.try_take():
                return state
        return None

    def is_slow(self, state: TargetState) -> bool:
        """Return whether a target is much slower than the average of its pool."""
        average_s = self.service_time.get(state.pool.name, state.pool.service_time_s)
        return state.expected_s > SLOW_FACTOR * average_s * (1.0 + state.load)

    def _has_room(self, state: TargetState) -> bool:
        if state.part.free <= 0:
            state.part.denied.add(1)
            return False
        allowed = max(1.0, state.part.usable * state.ramp_fraction)
        return state.part.in_use + len(state.part.lent) < allowed

    def note_connect_refused(self, name: str):
        """Record that a target refused a connection."""
        state = self.states.get(name)
        if state is not None:
            state.refused_until = trio.current_time() + CONNECT_REFUSED_S

    def note_failure(self, name: str) -> bool:
        """Record that a request failed because of a target.

        Returns
        -------
        bool
            Whether this failure caused an ejection.
        """
        state = self.states.get(name)
        if state is None:
            return False
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or state.is_ejected:
            return False
        self.eject(name, min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**state.ejections))
        state.ejections += 1
        state.failures = 0
        return True

    def eject(self, name: str, seconds: float):
        """Send no new requests to a target for a number of seconds."""
        state = self.states.get(name)
        if state is not None:
            state.ejected_until = trio.current_time() + seconds
            # After the ejection the target starts with one slot and warms up.
            state.ramp_started_at = state.ejected_until

    def note_probe(self, name: str, result: ProbeResult):
        """Record the result of a health check, made by this VM or another one."""
        state = self.states.get(name)
        if state is None:
            return
        now = trio.current_time()
        was_unhealthy = state.probe is not None and not state.probe.healthy
        if was_unhealthy and result.healthy:
            state.restart_ramp()
        state.probe, state.probe_at = result, now
        if result.draining:
            state.draining_at = now

    def note_service_time(self, pool: str, seconds: float):
        """Add a measured service time to the moving average of a pool."""
        average_s = self.service_time.get(pool, seconds)
        self.service_time[pool] = average_s + (seconds - average_s) * POOL_TIME_WEIGHT

    def capacity(self, pool: Pool, failure_domain: str) -> float:
        """Return the requests per second that a domain's usable targets can run."""
        seconds = self.service_time.get(pool.name, pool.service_time_s)
        slots = sum(
            pool.slots * state.ramp_fraction
            for state in self.usable(pool.name, failure_domain)
        )
        return slots / max(seconds, 0.001)
