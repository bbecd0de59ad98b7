"""What this VM knows of targets: health, load, leaving, warming up.

What real requests meet outranks what a probe says, and "leaving" outranks
"healthy". Ejection keeps a floor: a false alarm never empties a pool.
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
EJECT_S = 5.0
REFUSED_S = 2.0
EJECT_MAX_S = 60.0
SUCCESS_COUNTS_S = 5.0
NEWS_FRESH_S = 8.0
MOST_EJECTED = 0.5
RAMP_START = 0.1
SERVICE_TIME_WEIGHT = 0.05
TARGET_TIME_WEIGHT = 0.3
SLOW_FORGOTTEN_S = 20.0
SLOW_TIMES = 2.0


@frozen
class ProbeNews:
    """What a prober says of a target.

    Parameters
    ----------
    healthy, draining : bool
    load : float
        Requests that the target says it is running.
    """

    healthy: bool
    draining: bool
    load: float


@define
class TargetState:
    """One target as this VM sees it.

    Attributes
    ----------
    failures : int
        Requests in a row that found the target broken.
    ejected_until, ejections
        When it may be tried again, and how often it was ejected lately.
    warm_since : float
        When its ramp began.
    service_time_s : float
        Measured seconds of a request, newer ones count more; 0 if unknown.
    """

    target: Target
    pool: Pool
    part: CountPart | None = None
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    success_at: float = -SUCCESS_COUNTS_S
    probe: ProbeNews | None = None
    probe_at: float = 0.0
    draining_at: float = -NEWS_FRESH_S
    refused_until: float = 0.0
    warm_since: float = field(factory=trio.current_time)
    service_time_s: float = 0.0
    own_in_flight: int = 0
    marked_in_flight: int = 0

    @property
    def is_ejected(self) -> bool:
        """Whether it is out for a while."""
        return self.ejected_until > trio.current_time()

    @property
    def accepts_nothing(self) -> bool:
        """Whether it refused this VM's connection a moment ago."""
        return self.refused_until > trio.current_time()

    @property
    def is_leaving(self) -> bool:
        """Whether it said lately that it is draining."""
        return trio.current_time() - self.draining_at < NEWS_FRESH_S

    @property
    def runs_marked(self) -> bool:
        """Whether a request runs in it that a target has died of, perhaps."""
        lent_alone = self.part is not None and bool(self.part.exclusive_loans)
        return self.marked_in_flight > 0 or lent_alone

    @property
    def seems_healthy(self) -> bool:
        """Whether probes, or better evidence, speak for it."""
        now = trio.current_time()
        if now - self.success_at < SUCCESS_COUNTS_S:
            # Its health endpoint may mislead; requests that succeed do not.
            return True
        if self.probe is None or now - self.probe_at > NEWS_FRESH_S:
            return True
        return self.probe.healthy

    @property
    def warmth(self) -> float:
        """How much of its slots may be used while it warms up, up to 1."""
        if self.pool.ramp_s <= 0:
            return 1.0
        elapsed = trio.current_time() - self.warm_since
        return min(1.0, RAMP_START + elapsed / self.pool.ramp_s)

    @property
    def load(self) -> float:
        """Requests in it for each slot: own ones, or what it says, if more."""
        reported = 0.0
        if self.probe is not None:
            age = trio.current_time() - self.probe_at
            reported = self.probe.load * max(0.0, 1.0 - age / NEWS_FRESH_S)
        return max(float(self.own_in_flight), reported) / self.pool.slots

    @property
    def expected_s(self) -> float:
        """Seconds that a further request is expected to take.

        What was measured long ago counts less, so that a target that was slow
        is tried again.
        """
        age = trio.current_time() - self.success_at
        usual_s = self.pool.service_time_s
        measured_s = self.service_time_s or usual_s
        weight = max(0.0, 1.0 - age / SLOW_FORGOTTEN_S)
        seconds = usual_s + (measured_s - usual_s) * weight
        return seconds * (1.0 + self.load)

    def note_success(self, seconds: float):
        """Note that a request was answered, and how long it took."""
        known = self.service_time_s or seconds
        self.service_time_s = known + (seconds - known) * TARGET_TIME_WEIGHT
        self.failures = 0
        self.success_at = trio.current_time()
        if not self.is_ejected:
            self.ejections = 0

    def restart_ramp(self):
        """Begin to warm up; a target that comes back has a cold cache."""
        self.warm_since = trio.current_time()


class TargetOrder(Protocol):
    """Puts targets with room in the order in which to try them."""

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Return the candidates, best first."""


class FastestFirst:
    """Prefers the target where a request is expected to end first.

    A target that is slow, but not broken, answers all checks and still has
    free slots; only how long it takes gives it away.
    """

    def __init__(self):
        self.random = random.Random(1)

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Return the candidates by expected time; equal ones in random order."""
        shuffled = self.random.sample(candidates, len(candidates))
        return sorted(shuffled, key=lambda state: state.expected_s)


class TargetTable:
    """All targets of the document in force.

    Parameters
    ----------
    holdings : Holdings
        Where this VM's parts of slots are.
    order : TargetOrder, optional
        Which of several targets with room to prefer.

    Attributes
    ----------
    states : dict of str to TargetState
    service_time : dict of str to float
        Measured seconds in a slot, by pool.
    """

    def __init__(self, holdings: Holdings, order: "TargetOrder | None" = None):
        self.holdings = holdings
        self.order = order or FastestFirst()
        self.states: dict[str, TargetState] = {}
        self.service_time: dict[str, float] = {}
        self.drained: set[str] = set()
        self._by_pool: dict[str, list[TargetState]] = {}
        self._is_first = True

    def take_document(self, in_force: IndexedDocument):
        """Take over the targets of a document that came into force."""
        document = in_force.document
        states = {}
        for target in document.targets:
            pool = in_force.pools[target.pool]
            state = self.states.get(target.name)
            if state is None or state.target.address != target.address:
                state = TargetState(target, pool)
                if self._is_first:
                    # A VM that has just started knows nothing of how warm the
                    # targets are; it is the VM that is new, not all of them.
                    state.warm_since -= pool.ramp_s
            state.target, state.pool = target, pool
            state.part = self.holdings.parts.get(SLOTS_PREFIX + target.name)
            states[target.name] = state
        self.states = states
        self._is_first = False
        self._by_pool = {}
        for state in states.values():
            self._by_pool.setdefault(state.pool.name, []).append(state)
        self._take_drains(document.drains)

    def _take_drains(self, drains: tuple[Drain, ...]):
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
        """Return the targets that may get new work, in one failure domain.

        When more than half of those that are not leaving seem broken, the
        alarm is more likely false than all of them dead: all stay in use. One
        that accepts no connection is no alarm but a fact, and is left out.
        """
        staying = [
            state
            for state in self.of_pool(pool)
            if state.target.failure_domain == failure_domain
            and state.target.name not in self.drained
            and not state.is_leaving
            and not state.accepts_nothing
        ]
        sound = [s for s in staying if s.seems_healthy and not s.is_ejected]
        if len(sound) < len(staying) * MOST_EJECTED:
            return staying
        return sound

    def take_slot(
        self,
        pool: str,
        failure_domain: str,
        excluded=frozenset(),
        alone: bool = False,
        slow: bool = True,
    ) -> TargetState | None:
        """Take a slot of the least loaded target that has one, if any has.

        Parameters
        ----------
        pool, failure_domain : str
        excluded : set of str
            Targets not to use.
        alone : bool
            Whether the request is under suspicion of killing targets, and must
            not share one with another that is.
        slow : bool
            Whether a slow target will do.
        """
        candidates = [
            state
            for state in self.usable(pool, failure_domain)
            if state.part is not None
            and state.target.name not in excluded
            and not (alone and state.runs_marked)
            and (slow or not self.is_slow(state))
            and self._has_room(state)
        ]
        for state in self.order(candidates):
            if state.part.try_take():
                return state
        return None

    def is_slow(self, state: TargetState) -> bool:
        """Tell whether a target takes several times as long as its pool."""
        usual_s = self.service_time.get(state.pool.name, state.pool.service_time_s)
        return state.expected_s > SLOW_TIMES * usual_s * (1.0 + state.load)

    def _has_room(self, state: TargetState) -> bool:
        if state.part.free <= 0:
            state.part.denied.add(1)
            return False
        allowed = max(1.0, state.part.usable * state.warmth)
        return state.part.in_use + len(state.part.lent) < allowed

    def note_refused(self, name: str):
        """Note that a target accepted no connection."""
        state = self.states.get(name)
        if state is not None:
            state.refused_until = trio.current_time() + REFUSED_S

    def note_failure(self, name: str) -> bool:
        """Note that a request found a target broken; return whether it is out."""
        state = self.states.get(name)
        if state is None:
            return False
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or state.is_ejected:
            return False
        self.eject(name, min(EJECT_MAX_S, EJECT_S * 2**state.ejections))
        state.ejections += 1
        state.failures = 0
        return True

    def eject(self, name: str, seconds: float):
        """Keep new work from a target for a while."""
        state = self.states.get(name)
        if state is not None:
            state.ejected_until = trio.current_time() + seconds
            # It comes back with one slot at first and is warmed up.
            state.warm_since = state.ejected_until

    def note_probe(self, name: str, news: ProbeNews):
        """Take in what a prober found."""
        state = self.states.get(name)
        if state is None:
            return
        now = trio.current_time()
        came_back = state.probe is not None and not state.probe.healthy
        if came_back and news.healthy:
            state.restart_ramp()
        state.probe, state.probe_at = news, now
        if news.draining:
            state.draining_at = now

    def note_service_time(self, pool: str, seconds: float):
        """Take a measured time in a slot into the pool's average."""
        known = self.service_time.get(pool, seconds)
        self.service_time[pool] = known + (seconds - known) * SERVICE_TIME_WEIGHT

    def capacity(self, pool: Pool, failure_domain: str) -> float:
        """Return the requests a second that a domain's usable targets can run."""
        seconds = self.service_time.get(pool.name, pool.service_time_s)
        slots = sum(
            pool.slots * state.warmth
            for state in self.usable(pool.name, failure_domain)
        )
        return slots / max(seconds, 0.001)
