"""The targets that registered themselves, and what this VM learned of them."""

from math import inf

import trio
from attrs import define

from plantainshed_coordination.digests import rendezvous_order

from .model import Configuration
from .ports import TargetEntry, TargetLoad

# How long an entry that lapsed with many others still names a target. After an
# outage of the store entries are written again within 2 s if the target lives;
# a target that did leave serves on for as long.
EXPIRY_GRACE_S = 1.8
# Entries of a pool, as a part and a number, that must vanish together without
# having said that they leave, to count as lapsed. Targets are replaced and
# crash one or a few at a time.
MASS_EXPIRY_FRACTION = 0.34
MASS_EXPIRY_MIN_TARGETS = 3
# Failures in a row after which a target gets nothing for a while, and for how
# long at first. One failure can be a single lost answer.
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# How long a target that refused a connection, or turned out to be another
# instance, gets nothing. Its entry is gone within a few heartbeats of 1.5 s.
UNREACHABLE_EJECTION_S = 1.5
# How long a target's own report of its load is used.
LOAD_MAX_AGE_S = 1.0
# Time in which the share of objects of a new target grows to its full size,
# so that under 15 % of a region's requests move to another region in 2 s.
RAMP_S = 10.0
RAMP_STEPS = 10
# Most of a pool that may be out because requests failed there; when more seem
# broken, the fault is more likely elsewhere.
MAX_EJECTED_FRACTION = 0.5


@define(eq=False)
class TargetState:
    """One target as this VM sees it.

    Attributes
    ----------
    entry : TargetEntry
    cold_until : float
        When its warm-up ends.
    ramp_from : float
        When its share of objects began to grow.
    in_flight : int
        Requests that this VM has there.
    load, load_at, in_flight_at_load
        What the target said of its load, when, and this VM's own part then.
    failures, ejections : int
        Failures in a row; how often it was ejected lately.
    ejected_until : float
        Until when it gets nothing.
    """

    entry: TargetEntry
    cold_until: float = 0.0
    ramp_from: float = float("-inf")
    in_flight: int = 0
    load: TargetLoad | None = None
    load_at: float = float("-inf")
    in_flight_at_load: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    expired_at: float | None = None

    @property
    def is_cold(self) -> bool:
        """Whether it is still warming up."""
        return self.cold_until > trio.current_time()

    @property
    def grace_ends_at(self) -> float:
        """When it gets nothing more, if its entry does not come back."""
        return inf if self.expired_at is None else self.expired_at + EXPIRY_GRACE_S

    @property
    def is_ejected(self) -> bool:
        """Whether it gets nothing for a while."""
        return self.ejected_until > trio.current_time()

    @property
    def weight(self) -> float:
        """Its share of objects beside other targets, from 0.1 to 1."""
        ramped = min(1.0, (trio.current_time() - self.ramp_from) / RAMP_S)
        return min(1.0, (1 + int(ramped * RAMP_STEPS)) / RAMP_STEPS)

    @property
    def occupancy(self) -> float:
        """Requests there, running or waiting, for each of its slots."""
        return self.expected_load / max(1, self.entry.slots)

    @property
    def expected_load(self) -> float:
        """Requests there: what it said last, and what changed here since."""
        if trio.current_time() - self.load_at > LOAD_MAX_AGE_S or self.load is None:
            return float(self.in_flight)
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, reported + self.in_flight - self.in_flight_at_load)

    def note_load(self, load: TargetLoad | None):
        """Take in what it says of its load."""
        if load is None:
            return
        self.load = load
        self.load_at = trio.current_time()
        self.in_flight_at_load = self.in_flight

    def note_cold(self, seconds: float):
        """Take in how long it says that it stays cold."""
        if seconds > 0:
            self.cold_until = max(self.cold_until, trio.current_time() + seconds)

    def note_success(self):
        """Note that it answered a request in full."""
        self.failures = 0
        self.ejections = 0

    def note_failure(self):
        """Note that a request found it broken."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        seconds = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejected_until = max(self.ejected_until, trio.current_time() + seconds)
        self.ejections += 1
        self.failures = 0

    def note_unreachable(self):
        """Note that it accepts no connection, or is another instance now."""
        self.ejected_until = max(
            self.ejected_until, trio.current_time() + UNREACHABLE_EJECTION_S
        )


class Registry:
    """All registered targets, by instance.

    Attributes
    ----------
    region_of : dict of str to str
        By failure domain.
    evacuated : set of str
        Failure domains whose targets get nothing.
    """

    def __init__(self, region_of: dict[str, str]):
        self.region_of = region_of
        self.states: dict[str, TargetState] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.configuration: Configuration | None = None
        self.generation = 0
        self._by_pool: dict[str, list[TargetState]] = {}
        self._is_first_update = True
        # Until when some target's share of objects grows.
        self.ramps_until = float("-inf")
        self._next_grace_end = inf

    def update_entries(
        self,
        entries: list[TargetEntry],
        may_have_expired: bool,
        notification_delay_s: float = 0.0,
    ):
        """Take over the registered targets.

        Parameters
        ----------
        entries : list of TargetEntry
        may_have_expired : bool
            Whether the store has just come back from an outage. Entries that
            ran out meanwhile are then missing though their targets live, and
            dropping them at once would leave pools empty for two seconds.
        notification_delay_s : float
            How much later than the store said so this VM may hear what vanished.
        """
        named = {entry.instance: entry for entry in entries}
        states = {
            instance: self._updated_state(self.states.get(instance), entry)
            for instance, entry in named.items()
        }
        vanished = [
            state
            for instance, state in self.states.items()
            if instance not in named and not state.entry.is_leaving
        ]
        for state in vanished:
            if (
                may_have_expired
                or state.expired_at
                or self._is_mass_expiry(state, vanished)
            ):
                heard_at = trio.current_time() - notification_delay_s
                state.expired_at = state.expired_at or heard_at
                states[state.entry.instance] = state
        self.states = states
        self._is_first_update = False
        self._rebuild_pools()

    def _is_mass_expiry(self, state: TargetState, vanished: list[TargetState]) -> bool:
        """Tell whether so much of a pool vanished that its entries lapsed."""
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
        state.expired_at = None
        state.note_cold(entry.cold_for_s)
        return state

    def _new_state(self, entry: TargetEntry) -> TargetState:
        state = TargetState(entry)
        if not self._is_first_update:
            # It joined while this VM was looking on, so it has just started.
            self._begin_ramp(state)
        return state

    def _begin_ramp(self, state: TargetState):
        state.note_cold(self._warmup_of(state.entry.pool))
        state.ramp_from = trio.current_time()
        self.ramps_until = state.ramp_from + RAMP_S

    def drop_expired(self):
        """Forget targets whose entry did not come back after an outage."""
        gone = [
            instance
            for instance, state in self.states.items()
            if state.grace_ends_at <= trio.current_time()
        ]
        for instance in gone:
            del self.states[instance]
        if gone:
            self._rebuild_pools()

    def update_configuration(self, configuration: Configuration):
        """Take over the pools of a new configuration."""
        self.configuration = configuration
        self._rebuild_pools()

    def update_evacuated(self, failure_domains: frozenset[str]):
        """Take over which failure domains get nothing.

        The targets of one that is taken back can have lost their caches and
        bear little at first.
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
            if entry.is_leaving or entry.failure_domain in self.evacuated:
                continue
            self._by_pool.setdefault(entry.pool, []).append(state)

    def eligible(self, pool: str, home_regions: frozenset[str]) -> list[TargetState]:
        """Return the targets of a pool that may get new work, sound or not."""
        if trio.current_time() >= self._next_grace_end:
            self.drop_expired()
        states = self._by_pool.get(pool, [])
        if not home_regions:
            return states
        return [
            state
            for state in states
            if self.region_of.get(state.entry.failure_domain) in home_regions
        ]

    def usable(self, pool: str, home_regions: frozenset[str]) -> list[TargetState]:
        """Return the targets of a pool to use now.

        A false alarm must not empty a pool: when over half of it is out, all
        of it is used.
        """
        eligible = self.eligible(pool, home_regions)
        healthy = [state for state in eligible if not state.is_ejected]
        if len(healthy) < len(eligible) * MAX_EJECTED_FRACTION:
            return eligible
        return healthy


def vms_for_cold_target(instance: str, vms: list[str], most: int) -> list[str]:
    """Return the VMs that may send to a cold target, the same on all of them.

    Its bound holds for all VMs together. Were each VM to use an even part, a
    part would be under one request a second on a large fleet.
    """
    return rendezvous_order(instance, vms)[: max(1, most)]


def _is_restart(known: TargetEntry, entry: TargetEntry) -> bool:
    """Tell whether a target has started again under the name that it had."""
    return (
        known.started_ms != entry.started_ms
        or known.address != entry.address
        or known.pool != entry.pool
    )
