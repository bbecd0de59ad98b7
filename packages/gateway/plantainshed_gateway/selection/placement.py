"""Target selection: picks the target of a pool that gets a request.

Requests concern a limited number of objects, and a target that handled an object
recently runs the next request for it in about a third of the time. Every VM places
an object on the same targets by weighted rendezvous hashing, without coordination;
when a target joins or leaves, only the objects that it owns move.

If the regions are near each other, measured against the latency objective of the
route, each object has two owners in the whole fleet. The second owner is used when
the first is busy. There is no third owner: a target caches a limited number of
objects, and copies on more targets would evict other objects from those caches.

If the regions are far from each other, each object has one owner per region, which
is the region's highest-ranked target by the same hash. A request goes to the owner
that is expected to answer first, usually the one in the local region. The callers
of each region keep their own owner warm, so when one owner is busy, another one
that has the object cached can take over.
"""

import random
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import define, field, frozen

from plantainshed_coordination.digests import unit_hash, weighted_score

from ..call import Call
from ..model import Configuration, Pool, Route
from .choice import LoadAwareChoice
from .cold import ColdTargets
from .queueing import QueueLimits
from .registry import Registry, TargetState, usable_among
from .round_trips import RoundTrips
from .target_limits import TargetLimits

# Requests per slot, running and waiting, above which an object's first owner is
# busy. The second owner is then preferred if it is below this threshold.
SPILL_OCCUPANCY = 1.5
# Number of owners of an object, not counting targets that are ejected or still cold.
OWNERS_PER_OBJECT = 2
# Ratio of the longest inter-region round trip to the route's latency objective.
# Regions count as far at or above the first value, and as near again below the
# second; the gap between the two is hysteresis.
FAR_ROUND_TRIP_RATIO = 0.12
NEAR_ROUND_TRIP_RATIO = 0.11
# Number of targets of the whole fleet in an object's ranking. It is larger than the
# number of owners, so owners can be found when some targets are ejected.
MAX_RANKED_TARGETS = 6
# The same for the choice by load, in which popular objects have more owners.
MAX_RANKED_BY_LOAD = 24
MAX_CACHED_RANKINGS = 20_000


class IdleConnections(Protocol):
    """The part of the connections to targets that affects a choice."""

    def has_idle(self, state: TargetState) -> bool:
        """Return whether an idle connection to a target can be reused."""


@frozen
class _CachedRanking:
    generation: int
    ramp_second: int
    ranking: tuple


@define
class _Candidates:
    """Targets to try for a request.

    Cold targets and those that name a limit come first, because they accept only a few
    requests each second.
    """

    restricted: list[TargetState] = field(factory=list)
    owners: list[TargetState] = field(factory=list)


class Placement:
    """Selects targets for requests.

    Parameters
    ----------
    region : str
        Region of this VM.
    registry : Registry
    cold : ColdTargets
    limits : TargetLimits
    queues : QueueLimits
    connections : IdleConnections
    round_trips : RoundTrips
    load_choice : LoadAwareChoice, optional
        Used while other VMs report their load.
    """

    def __init__(
        self,
        region: str,
        registry: Registry,
        cold: ColdTargets,
        limits: TargetLimits,
        queues: QueueLimits,
        connections: IdleConnections,
        round_trips: RoundTrips,
        load_choice: LoadAwareChoice | None = None,
    ):
        self.region = region
        self.registry = registry
        self.cold = cold
        self.limits = limits
        self.queues = queues
        self.connections = connections
        self.round_trips = round_trips
        self.load_choice = load_choice
        self.random = random.Random()
        self._cache: dict[tuple, _CachedRanking] = {}
        self._far_routes: set[str] = set()

    def choose(
        self,
        call: Call,
        configuration: Configuration,
        excluded: set[str],
        vms: list[str],
    ) -> TargetState | None:
        """Return a target that can take the request now, or None.

        Parameters
        ----------
        call : Call
        configuration : Configuration
        excluded : set of str
            Instances that earlier attempts of this request used.
        vms : list of str
            Names of the VMs that accept callers' requests.
        """
        pool = configuration.pools[call.pool]
        call.owner_rank = call.expected_wait_s = call.expected_s = None
        if self.load_choice is not None and not call.attempts:
            self.load_choice.note_offered(call)
        if self._is_chosen_by_load(call):
            return self._choose_by_load(call, pool, excluded, vms)
        candidates = self._candidates(call)
        return self._first_admitting(
            [*candidates.restricted, *candidates.owners], call, pool, excluded, vms
        )

    def _first_admitting(
        self,
        states: list[TargetState],
        call: Call,
        pool: Pool,
        excluded: set[str],
        vms: list[str],
    ) -> TargetState | None:
        for state in states:
            if state.entry.instance in excluded or not self.queues.can_answer_in_time(
                call, state
            ):
                continue
            if self.cold.admits(state, pool, vms) and self.limits.admits(state):
                return state
        return None

    def _is_chosen_by_load(self, call: Call) -> bool:
        if self.load_choice is None or not self.load_choice.fleet_load.is_known:
            return False
        return call.object_key is None or not self._is_far(call.route)

    def _choose_by_load(
        self, call: Call, pool: Pool, excluded: set[str], vms: list[str]
    ) -> TargetState | None:
        """Choose by the load that all VMs report; see `choice` and `shedding`."""
        eligible = self.registry.eligible(call.pool, call.home_regions)
        usable = usable_among(eligible)
        room = self.load_choice.room_of(call, usable)
        call.is_shed = not self.load_choice.admits(call, room)
        if call.is_shed:
            return None
        untried = [s for s in usable if s.entry.instance not in excluded]
        candidates = self._owners_by_load(call, eligible, untried)
        restricted = self._first_admitting(
            candidates.restricted, call, pool, excluded, vms
        )
        if restricted is not None:
            return restricted
        chosen = self.load_choice.choose(call, candidates.owners, untried, room)
        if chosen is None:
            others = [state for state in untried if state.is_restricted]
            return self._first_admitting(others, call, pool, excluded, vms)
        call.owner_rank = chosen.rank
        call.expected_wait_s = round(chosen.expected.wait_s, 3)
        call.expected_s = round(chosen.expected.total_s, 3)
        return chosen.state

    def _owners_by_load(
        self, call: Call, eligible: list[TargetState], usable: list[TargetState]
    ) -> _Candidates:
        if call.object_key is None:
            restricted = [s for s in usable if s.is_restricted]
            return _Candidates(restricted if len(restricted) == len(usable) else [])
        slots = usable[0].entry.slots if usable else 1
        count = self.load_choice.owner_count(call, call.object_key, slots)
        among = set(usable)
        ranked = self._ranked_by_object(call, eligible, MAX_RANKED_BY_LOAD)
        ranking = [state for state in ranked if state in among]
        if not any(not state.is_restricted for state in ranking):
            unrestricted = [s for s in usable if not s.is_restricted]
            ranking += _ranked(call.object_key, unrestricted)
        return _select_candidates(ranking, count)

    def note_answer(
        self, call: Call, state: TargetState, seconds: float, is_success: bool = True
    ):
        """Record the duration of an attempt that a target answered."""
        self.queues.note_answer(state, seconds)
        # Errors are often answered without a run.
        if self.load_choice is not None and is_success:
            self.load_choice.note_answer(call, state, seconds)

    def retry_after_s(self, call: Call) -> float:
        """Return when the caller of a request without a target should come back.

        0 if this VM has no advice.
        """
        if not self._is_chosen_by_load(call):
            return 0.0
        return self.load_choice.shedding.retry_after_s(call.seconds_left)

    def limited(self, call: Call, excluded: set[str]) -> list[TargetState]:
        """Return targets that name a limit and could answer a request in time.

        `choose` does not return those for which this VM has no token.

        Parameters
        ----------
        call : Call
        excluded : set of str
            Instances that earlier attempts of this request used.
        """
        if call.is_shed:
            return []
        states = [
            state
            for state in self.registry.usable(call.pool, call.home_regions)
            if state.limit_per_s is not None
            and not state.is_cold
            and state.entry.instance not in excluded
            and self.queues.can_answer_in_time(call, state)
        ]
        return self.random.sample(states, len(states))

    def outdated(self, call: Call, excluded: set[str]) -> list[TargetState]:
        """Return the owners of an object whose limit no VM has seen for a while."""
        if not self.limits.has_outdated():
            return []
        return [
            state
            for state in self._candidates(call).restricted
            if self.limits.is_outdated(state)
            and not state.is_cold
            and state.entry.instance not in excluded
        ]

    def _candidates(self, call: Call) -> _Candidates:
        eligible = self.registry.eligible(call.pool, call.home_regions)
        usable = usable_among(eligible)
        if call.object_key is None:
            return _select_candidates(self._sorted_by_load(usable), OWNERS_PER_OBJECT)
        # Rankings are cached, so they contain all eligible targets. Ejections are too
        # short to move objects for longer than they last.
        if self._is_far(call.route):
            candidates = self._regional_owners(call, eligible, set(usable))
        else:
            candidates = self._fleet_owners(call, eligible, set(usable))
        if candidates.owners or candidates.restricted:
            return candidates
        return _select_candidates(_ranked(call.object_key, usable), OWNERS_PER_OBJECT)

    def _fleet_owners(
        self, call: Call, eligible: list[TargetState], usable: set[TargetState]
    ) -> _Candidates:
        """Return the owners in the whole fleet, the second one first if needed."""
        ranking = self._ranked_by_object(call, eligible)
        candidates = _select_candidates(
            [state for state in ranking if state in usable], OWNERS_PER_OBJECT
        )
        if len(candidates.owners) == OWNERS_PER_OBJECT:
            first, second = candidates.owners
            if first.occupancy > SPILL_OCCUPANCY > second.occupancy:
                candidates.owners.reverse()
        return candidates

    def _is_far(self, route: Route) -> bool:
        """Return whether inter-region round trips use up much of a route's objective.

        The result has hysteresis.
        """
        ratio = self.round_trips.longest_s() / max(route.objective_s, 0.001)
        if ratio >= FAR_ROUND_TRIP_RATIO:
            self._far_routes.add(route.name)
        elif ratio < NEAR_ROUND_TRIP_RATIO:
            self._far_routes.discard(route.name)
        return route.name in self._far_routes

    def _regional_owners(
        self, call: Call, eligible: list[TargetState], usable: set[TargetState]
    ) -> _Candidates:
        """Return each region's owner, ordered by expected response time.

        Restricted targets are included for the local region only.
        """
        candidates = _Candidates()
        for region, ranking in self._ranked_by_region(call, eligible):
            in_region = _select_candidates(
                [state for state in ranking if state in usable], 1
            )
            candidates.owners += in_region.owners
            if region == self.region:
                candidates.restricted = in_region.restricted
        candidates.owners.sort(key=self._expected_s)
        return candidates

    def _ranked_by_region(self, call: Call, eligible: list[TargetState]) -> tuple:
        """Return the regions that own an object, each with its ranked targets."""

        def rank(object_key: str) -> tuple:
            by_region: dict[str, list[TargetState]] = {}
            for state in _ranked(object_key, eligible):
                region = self.registry.region_of.get(state.entry.failure_domain, "")
                by_region.setdefault(region, []).append(state)
            owning = _owning_regions(object_key, by_region) or by_region
            return tuple((region, by_region[region]) for region in owning)

        return self._cached_ranking(call, "regions", rank)

    def _expected_s(self, state: TargetState) -> float:
        """Return the expected response time, not counting the run itself."""
        round_trip_s = self.round_trips.estimate_s(state.entry.failure_domain)
        if not self.connections.has_idle(state):
            round_trip_s *= 2
        return round_trip_s + self.queues.expected_wait_s(state)

    def _sorted_by_load(self, usable: list[TargetState]) -> list[TargetState]:
        shuffled = self.random.sample(usable, len(usable))
        return sorted(shuffled, key=lambda state: (state.is_cold, state.occupancy))

    def _ranked_by_object(
        self, call: Call, eligible: list[TargetState], count: int = MAX_RANKED_TARGETS
    ) -> tuple:
        """Return an object's highest-ranked targets in the whole fleet."""
        return self._cached_ranking(
            call,
            f"fleet {count}",
            lambda key: tuple(_ranked(key, eligible)[:count]),
        )

    def _cached_ranking(
        self, call: Call, kind: str, rank: Callable[[str], tuple]
    ) -> tuple:
        """Return an object's cached ranking, recomputed when targets have changed.

        Parameters
        ----------
        call : Call
        kind : str
            Kind of ranking; part of the cache key.
        rank : callable
            Computes the ranking from the object's key.
        """
        object_key = call.object_key
        cache_key = (object_key, kind, call.pool, call.home_regions)
        cached = self._cache.get(cache_key)
        # The weights of new targets ramp up in steps of one second. When no ramp is
        # in progress, a ranking is valid until the set of targets changes.
        # Computing a ranking of 128 targets takes 0.66 ms.
        now = trio.current_time()
        ramp_second = int(now) if now < self.registry.ramps_until + 1.0 else 0
        generation = self.registry.generation
        if (
            cached
            and cached.generation == generation
            and cached.ramp_second == ramp_second
        ):
            return cached.ranking
        ranking = rank(object_key)
        if len(self._cache) >= MAX_CACHED_RANKINGS:
            self._cache.clear()
        self._cache[cache_key] = _CachedRanking(generation, ramp_second, ranking)
        return ranking


def _ranked(object_key: str, states: list[TargetState]) -> list[TargetState]:
    return sorted(
        states,
        key=lambda s: weighted_score(object_key, s.entry.instance, s.weight),
        reverse=True,
    )


def _owning_regions(
    object_key: str, by_region: dict[str, list[TargetState]]
) -> list[str]:
    """Return the regions that own an object.

    A region with fewer slots than the mean owns proportionally fewer objects.
    Otherwise its callers' share of the load would exceed its capacity, and it would
    be overloaded while other regions have free slots.
    """
    slots = {
        region: sum(state.entry.slots for state in states)
        for region, states in by_region.items()
    }
    mean = sum(slots.values()) / max(1, len(slots))
    return [
        region
        for region, count in slots.items()
        if unit_hash(object_key, region) * mean < count
    ]


def _select_candidates(usable: list[TargetState], count: int) -> _Candidates:
    """Return the first `count` unrestricted targets of a ranking as owners.

    Restricted targets that rank before the last owner are returned too; if there are
    fewer than `count` owners, all restricted targets are returned.
    """
    owners = [state for state in usable if not state.is_restricted][:count]
    last = usable.index(owners[-1]) if len(owners) == count else len(usable)
    restricted = [state for state in usable[:last] if state.is_restricted]
    return _Candidates(restricted, owners)
