"""What operators configure: routes, pools, workspaces and limits.

All of it is immutable. A new version is a new `Configuration`.
"""

from enum import StrEnum

from attrs import frozen


class RequestKind(StrEnum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@frozen
class Pool:
    """Targets that do the same work.

    Parameters
    ----------
    name : str
    warmup_s : float
        Seconds for which a target that has just started counts as cold.
    warmup_per_s : float
        Requests a second that a cold target bears; 0 for no bound.
    max_connections : int
        Connections that one target accepts from all callers together.
    """

    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    max_connections: int = 0


@frozen
class WeightedPool:
    """A pool and the weight of its part of a route's requests."""

    pool: str
    weight: float


@frozen
class Route:
    """Where requests to a host and a path prefix go.

    Parameters
    ----------
    name, host, prefix : str
    kind : RequestKind
    pools : tuple of WeightedPool
        One, or several that share the requests by weight.
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Time within which an answer is worth most.
    attempts : int
        Most targets that one request may be sent to.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests need no key.
    is_sticky : bool
        Whether a target that handled an object lately is faster.
    home_regions : frozenset of str
        The only regions that may serve it; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    pools: tuple[WeightedPool, ...]
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int = 0
    is_public: bool = False
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a second run does no harm."""
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class Workspace:
    """A customer and what it may use over all VMs together.

    Parameters
    ----------
    name : str
    priority : int or None
        Goes before the priority of a route.
    rate_per_s, burst : float
        0 for no limit.
    home_regions : frozenset of str
        The only regions that may serve it; empty for any.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Configuration:
    """One version of everything that operators configure.

    Parameters
    ----------
    version : int
    routes : dict of str to dict of str to Route
        By host, then by prefix.
    pools : dict of str to Pool
    workspace_by_key : dict of str to Workspace
    requires_keys : bool
        Whether requests on routes that are not public need a key.
    limits : CallerLimits
    """

    version: int
    routes: dict[str, dict[str, Route]]
    pools: dict[str, Pool]
    workspace_by_key: dict[str, Workspace]
    requires_keys: bool
    limits: CallerLimits

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        by_prefix = self.routes.get(host)
        if not by_prefix:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
