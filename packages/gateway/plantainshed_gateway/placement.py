"""Which target of its pool a request goes to.

Load that it answers: requests for a limited number of objects, where a target
that handled an object lately needs about a third of the time. All VMs place an
object on the same targets, by weighted rendezvous hash, without asking each
other; a target that leaves or joins moves only its own objects.

Where regions are near each other, measured by what a route's callers wait for, an
object has two owners in the whole fleet. Its second is used when the first is busy,
and no third: a target remembers a limited number of objects, and copies on further
targets push out what those remember.

Where they are far, an object has one owner in each region, the region's best by the
same hash. A request goes to the one that is expected to answer first, mostly the
own region's; each is kept warm by its region's callers, so one that is busy hands
over to another that knows the object.
"""

import random
from collections.abc import Callable

import trio
from attrs import define, field, frozen

from plantainshed_coordination.digests import unit_hash, weighted_score

from .call import Call
from .cold import ColdTargets
from .connections import TargetConnections
from .model import Configuration, Route
from .queueing import QueueLimits
from .registry import Registry, TargetState
from .round_trips import RoundTrips

# Requests for each slot of an object's first target, running and waiting,
# above which its second target is used if that one has more room.
SPILL_OCCUPANCY = 1.5
# Owners of an object, not counting targets that are out or still cold.
OWNERS = 2
# Part of a route's objective that a round trip to another region takes, from which
# on regions are far from each other; below the second one they are near again.
FAR_PART = 0.12
NEAR_PART = 0.11
# Targets of the whole fleet that are kept in order for an object, so that owners
# are found also when some are out.
CONSIDERED = 6
CACHED_ORDERS = 20_000


@frozen
class _Cached:
    generation: int
    at: int
    order: tuple


@define
class _Choice:
    """Targets to try for a request: cold ones first, for the little they bear."""

    cold: list[TargetState] = field(factory=list)
    owners: list[TargetState] = field(factory=list)


class Placement:
    """Finds targets for requests.

    Parameters
    ----------
    region : str
        This VM's own.
    registry : Registry
    cold : ColdTargets
    queues : QueueLimits
    connections : TargetConnections
    round_trips : RoundTrips
    """

    def __init__(
        self,
        region: str,
        registry: Registry,
        cold: ColdTargets,
        queues: QueueLimits,
        connections: TargetConnections,
        round_trips: RoundTrips,
    ):
        self.region = region
        self.registry = registry
        self.cold = cold
        self.queues = queues
        self.connections = connections
        self.round_trips = round_trips
        self.random = random.Random()
        self._cache: dict[tuple, _Cached] = {}
        self._far_routes: set[str] = set()

    def choose(
        self,
        call: Call,
        configuration: Configuration,
        excluded: set[str],
        vms: list[str],
    ) -> TargetState | None:
        """Return a target that may take the request now, or None.

        Parameters
        ----------
        call : Call
        configuration : Configuration
        excluded : set of str
            Instances that it was sent to before.
        vms : list of str
            Names of the VMs that take callers.
        """
        pool = configuration.pools[call.pool]
        choice = self._choice(call)
        for state in [*choice.cold, *choice.owners]:
            if state.entry.instance in excluded or not self.queues.fits(call, state):
                continue
            if self.cold.admits(state, pool, vms):
                return state
        return None

    def _choice(self, call: Call) -> _Choice:
        usable = self.registry.usable(call.pool, call.home_regions)
        if not call.route.is_sticky or call.request.affinity is None:
            return _first_owners(self._by_load(usable), OWNERS)
        if self._is_far(call.route):
            return self._owners_of_regions(call, usable)
        choice = _first_owners(self._by_object(call, usable), OWNERS)
        if len(choice.owners) == OWNERS:
            first, second = choice.owners
            if first.occupancy > SPILL_OCCUPANCY > second.occupancy:
                choice.owners.reverse()
        return choice

    def _is_far(self, route: Route) -> bool:
        """Tell whether a round trip between regions takes much of a route's time."""
        part = self.round_trips.longest_s() / max(route.objective_s, 0.001)
        if part >= FAR_PART:
            self._far_routes.add(route.name)
        elif part < NEAR_PART:
            self._far_routes.discard(route.name)
        return route.name in self._far_routes

    def _owners_of_regions(self, call: Call, usable: list[TargetState]) -> _Choice:
        """Return each region's owner, the one that should answer first in front."""
        joined = _Choice()
        for region, states in self._by_region(call, usable):
            choice = _first_owners(states, 1)
            joined.owners += choice.owners
            if region == self.region:
                joined.cold = choice.cold
        joined.owners.sort(key=self._expected_s)
        return joined

    def _by_region(self, call: Call, usable: list[TargetState]) -> tuple:
        """Return the regions that own an object, each with its targets in order."""

        def make(object_key: str) -> tuple:
            by_region: dict[str, list[TargetState]] = {}
            for state in _scored(object_key, usable):
                region = self.registry.region_of.get(state.entry.failure_domain, "")
                by_region.setdefault(region, []).append(state)
            owning = _owning_regions(object_key, by_region) or by_region
            return tuple((region, by_region[region]) for region in owning)

        return self._cached(call, "regions", make)

    def _expected_s(self, state: TargetState) -> float:
        """Return the time until an answer, but for the run itself."""
        round_trip_s = self.round_trips.estimate_s(state.entry.failure_domain)
        if not self.connections.has_idle(state):
            round_trip_s *= 2
        return round_trip_s + self.queues.expected_wait_s(state)

    def _by_load(self, usable: list[TargetState]) -> list[TargetState]:
        shuffled = self.random.sample(usable, len(usable))
        return sorted(shuffled, key=lambda state: (state.is_cold, state.occupancy))

    def _by_object(self, call: Call, usable: list[TargetState]) -> tuple:
        """Return an object's targets in the whole fleet in order, the first few."""
        return self._cached(
            call, "fleet", lambda key: tuple(_scored(key, usable)[:CONSIDERED])
        )

    def _cached(self, call: Call, kind: str, make: Callable[[str], tuple]) -> tuple:
        """Return an object's order of one kind, made anew when targets changed."""
        object_key = f"{call.route.name}/{call.request.affinity}"
        cache_key = (object_key, kind, call.pool, call.home_regions)
        cached = self._cache.get(cache_key)
        # Weights of new targets grow in steps of a second; while none does, an
        # order holds until the targets change: making one takes 0.66 ms with 128.
        now = trio.current_time()
        at = int(now) if now < self.registry.ramps_until + 1.0 else 0
        generation = self.registry.generation
        if cached and cached.generation == generation and cached.at == at:
            return cached.order
        order = make(object_key)
        if len(self._cache) >= CACHED_ORDERS:
            self._cache.clear()
        self._cache[cache_key] = _Cached(generation, at, order)
        return order


def _scored(object_key: str, usable: list[TargetState]) -> list[TargetState]:
    return sorted(
        usable,
        key=lambda s: weighted_score(object_key, s.entry.instance, s.weight),
        reverse=True,
    )


def _owning_regions(
    object_key: str, by_region: dict[str, list[TargetState]]
) -> list[str]:
    """Return the regions that own an object.

    A region with few slots owns only as many objects as its callers' share of the
    work fits there; it would be overloaded while others have room.
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


def _first_owners(order: tuple | list, count: int) -> _Choice:
    """Return the first sound targets, and cold ones in front of the last of them."""
    sound = [state for state in order if not state.is_out]
    owners = [state for state in sound if not state.is_cold][:count]
    last = sound.index(owners[-1]) if len(owners) == count else len(sound)
    cold = [state for state in sound[:last] if state.is_cold]
    return _Choice(cold, owners)
