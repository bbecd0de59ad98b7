"""Which target of its pool a request goes to.

Load that it answers: requests for a limited number of objects, where a target
that handled an object lately needs about a third of the time. All VMs place an
object on the same target, by weighted rendezvous hash, without asking each
other; a target that leaves or joins moves only its own objects.

An object has two owners. Its second is used when the first is busy, and no
third: a target remembers a limited number of objects, and copies on further
targets push out what those remember. A day whose pool shrank to 12 targets
stayed at three times its usual times after a short overload, with four owners
and 84 objects, since each target saw more objects than the 19 it remembers.
"""

import random

import trio
from attrs import frozen

from plantainshed_coordination.digests import weighted_score

from .call import Call
from .cold import ColdTargets
from .model import Configuration
from .queueing import QueueLimits
from .registry import Registry, TargetState

# Requests for each slot of an object's first target, running and waiting,
# above which its second target is used if that one has more room.
SPILL_OCCUPANCY = 1.5
# Owners of an object, not counting targets that are out or still cold.
OWNERS = 2
# Targets that are kept in order for an object, so that owners are found also
# when some are out.
CONSIDERED = 6
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
    queues : QueueLimits
    """

    def __init__(self, registry: Registry, cold: ColdTargets, queues: QueueLimits):
        self.registry = registry
        self.cold = cold
        self.queues = queues
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
        for state in self._owners(call):
            if state.entry.instance in excluded or not self.queues.fits(call, state):
                continue
            if self.cold.admits(state, pool, vms):
                return state
        return None

    def _owners(self, call: Call) -> list[TargetState]:
        """Return the targets to try, best first."""
        sound = [state for state in self._order(call) if not state.is_out]
        warm = [state for state in sound if not state.is_cold][:OWNERS]
        if len(warm) == OWNERS:
            first, second = warm
            if first.occupancy > SPILL_OCCUPANCY > second.occupancy:
                warm = [second, first]
        # A cold target in front of them takes what it bears, so that it warms.
        last = sound.index(warm[-1]) if len(warm) == OWNERS else len(sound)
        cold = [state for state in sound[:last] if state.is_cold]
        return cold + warm

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
        # Weights of new targets grow in steps of a second; while none does, an
        # order holds until the targets change: making one takes 0.66 ms with 128.
        now = trio.current_time()
        at = int(now) if now < self.registry.ramps_until + 1.0 else 0
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
