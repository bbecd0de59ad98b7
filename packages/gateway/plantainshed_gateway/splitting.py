"""Which of a route's pools a request goes to, by weight.

Requests for one object go to the same pool, so that it stays warm there; over
few objects their shares would miss the weights, so what was sent lately moves
the borders a little, and only objects near a border change sides.
"""

from attrs import define, field

from plantainshed_coordination.digests import unit_hash

from .model import Route

# Requests over which shares are averaged. Shares are to be right over some
# 200 requests at all VMs, of which each sees a part.
AVERAGED_REQUESTS = 60.0
# How strongly a missed share moves the borders; at 1.5 a share that is off by
# 0.1 comes back within about as many requests as are averaged.
CORRECTION = 1.5


@define
class _Shares:
    sent: dict[str, float] = field(factory=dict)

    def note(self, pool: str):
        keep = 1.0 - 1.0 / AVERAGED_REQUESTS
        for name in self.sent:
            self.sent[name] *= keep
        self.sent[pool] = self.sent.get(pool, 0.0) + 1.0 - keep

    def of(self, pool: str, weight: float) -> float:
        total = sum(self.sent.values())
        # Before enough was sent, the weight stands in for what is missing.
        return self.sent.get(pool, 0.0) + (1.0 - total) * weight


class Splitter:
    """Chooses among the pools of routes that have several."""

    def __init__(self):
        self._shares: dict[tuple, _Shares] = {}

    def choose(self, route: Route, object_key: str) -> str:
        """Return the pool for a request that concerns an object."""
        if len(route.pools) == 1:
            return route.pools[0].pool
        shares = self._shares.setdefault((route.name, route.pools), _Shares())
        total = sum(part.weight for part in route.pools) or 1.0
        parts = []
        for part in route.pools:
            weight = part.weight / total
            missed = weight - shares.of(part.pool, weight)
            parts.append((part.pool, max(0.0, weight + CORRECTION * missed)))
        pool = _pick(parts, unit_hash(route.name, object_key, "split"))
        shares.note(pool)
        return pool

    def retain(self, routes: set[tuple]):
        """Forget routes that no configuration names any more."""
        self._shares = {key: s for key, s in self._shares.items() if key in routes}


def _pick(parts: list[tuple[str, float]], point: float) -> str:
    left = point * sum(size for _, size in parts)
    for pool, size in parts:
        left -= size
        if left < 0:
            return pool
    return parts[-1][0]
