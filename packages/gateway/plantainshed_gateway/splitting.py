"""Traffic splitting: chooses among the pools of a route by weight.

Requests for one object go to the same pool, so that the object stays warm there.
With few objects, hashing alone would miss the configured weights. The shares of
recent requests therefore shift the hash boundaries between pools slightly, and only
objects near a boundary move to another pool.
"""

from attrs import define, field

from plantainshed_coordination.digests import unit_hash

from .model import Route

# Number of requests over which shares are averaged. Shares must match the weights
# over about 200 requests at all VMs together, and each VM gets only some of these.
AVERAGING_WINDOW = 60.0
# Gain of the correction of the boundaries. At 1.5, a share that is off by 0.1
# recovers within about as many requests as the averaging window has.
CORRECTION_GAIN = 1.5


@define
class _Shares:
    averages: dict[str, float] = field(factory=dict)

    def note(self, pool: str):
        decay = 1.0 - 1.0 / AVERAGING_WINDOW
        for name in self.averages:
            self.averages[name] *= decay
        self.averages[pool] = self.averages.get(pool, 0.0) + 1.0 - decay

    def current(self, pool: str, weight: float) -> float:
        total = sum(self.averages.values())
        # Until enough requests were sent, the weight fills in the missing part.
        return self.averages.get(pool, 0.0) + (1.0 - total) * weight


class Splitter:
    """Chooses a pool for each request on routes with several pools."""

    def __init__(self):
        self._shares: dict[tuple, _Shares] = {}

    def choose(self, route: Route, object_key: str) -> str:
        """Return the pool that gets a request for an object."""
        if len(route.pools) == 1:
            return route.pools[0].pool
        shares = self._shares.setdefault((route.name, route.pools), _Shares())
        total = sum(weighted_pool.weight for weighted_pool in route.pools) or 1.0
        adjusted_weights = []
        for weighted_pool in route.pools:
            weight = weighted_pool.weight / total
            deficit = weight - shares.current(weighted_pool.pool, weight)
            adjusted_weights.append(
                (weighted_pool.pool, max(0.0, weight + CORRECTION_GAIN * deficit))
            )
        pool = _pick_by_weight(
            adjusted_weights, unit_hash(route.name, object_key, "split")
        )
        shares.note(pool)
        return pool

    def retain(self, routes: set[tuple]):
        """Discard the shares of all routes except the given ones."""
        self._shares = {key: s for key, s in self._shares.items() if key in routes}


def _pick_by_weight(weights: list[tuple[str, float]], position: float) -> str:
    remaining = position * sum(weight for _, weight in weights)
    for pool, weight in weights:
        remaining -= weight
        if remaining < 0:
            return pool
    return weights[-1][0]
