"""Which target of its pool a request goes to.

Load that it answers: requests for a limited number of objects, where a target
that handled an object lately needs about a third of the time. All VMs place an
object on the same target, by weighted rendezvous hash, without asking each
other; a target that leaves or joins moves only its own objects. Requests spill
to the object's second target late: a copy there is cold at first and its long
first runs fill slots.
"""

import random

import trio
from attrs import frozen

from plantainshed_coordination.digests import weighted_score

from .call import Call
from .cold import ColdTargets
from .model import Configuration
from .registry import Registry, TargetState

# Requests for each slot of an object's first target, running and waiting,
# above which its second target is used if that one has more room.
SPILL_OCCUPANCY = 1.5
# Targets of an object, best first, that are considered at all.
CONSIDERED = 4
CACHED_ORDERS = 20_000


@frozen
class _Cached:
    generation: int
    at: int
    order: tuple[TargetState, ...]


class Placement:
    """Finds targets for requests.

    Parameters
    ----------
    registry : Registry
    cold : ColdTargets
    """

    def __init__(self, registry: Registry, cold: ColdTargets):
        self.registry = registry
        self.cold = cold
        self.random = random.Random()
        self._cache: dict[tuple, _Cached] = {}

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
        candidates = [
            state
            for state in self._order(call)
            if state.entry.instance not in excluded and not state.is_out
        ]
        for state in self._spilled(candidates):
            if self.cold.admits(state, pool, vms):
                return state
        return None

    def _spilled(self, candidates: list[TargetState]) -> list[TargetState]:
        if len(candidates) < 2:
            return candidates
        first, second = candidates[0], candidates[1]
        if first.occupancy > SPILL_OCCUPANCY and second.occupancy < first.occupancy:
            return [second, first, *candidates[2:]]
        return candidates

    def _order(self, call: Call) -> list[TargetState]:
        usable = self.registry.usable(call.pool, call.home_regions)
        if not call.route.is_sticky or call.request.affinity is None:
            return self._by_load(usable)
        return list(self._by_object(call, usable))

    def _by_load(self, usable: list[TargetState]) -> list[TargetState]:
        shuffled = self.random.sample(usable, len(usable))
        return sorted(shuffled, key=lambda state: (state.is_cold, state.occupancy))

    def _by_object(self, call: Call, usable: list[TargetState]):
        object_key = f"{call.route.name}/{call.request.affinity}"
        cache_key = (object_key, call.pool, call.home_regions)
        cached = self._cache.get(cache_key)
        # Weights of new targets grow in steps of a second.
        at = int(trio.current_time())
        generation = self.registry.generation
        if cached and cached.generation == generation and cached.at == at:
            return cached.order
        scored = sorted(
            usable,
            key=lambda s: weighted_score(object_key, s.entry.instance, s.weight),
            reverse=True,
        )
        order = tuple(scored[:CONSIDERED])
        if len(self._cache) >= CACHED_ORDERS:
            self._cache.clear()
        self._cache[cache_key] = _Cached(generation, at, order)
        return order
