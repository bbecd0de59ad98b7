"""Data model of the configuration: routes, pools, workspaces and limits.

All classes are immutable. Each new version is a new `Configuration`.
"""

from enum import StrEnum

from attrs import frozen


class RequestKind(StrEnum):
    """Whether a request with an unknown outcome may be sent again.

    An upload is a request with a large body. It is handled as non-idempotent.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@frozen
class Pool:
    """A group of interchangeable targets.

    Parameters
    ----------
    name : str
    warmup_s : float
        Seconds for which a newly started target counts as cold.
    warmup_per_s : float
        Maximum requests per second to a cold target; 0 for no limit.
    max_connections : int
        Maximum connections that one target accepts from all callers together.
    health_path : str
        Path of a target's health check; empty if it has none.
    """

    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    max_connections: int = 0
    health_path: str = ""


@frozen
class WeightedPool:
    """A pool and its weight in the distribution of a route's requests."""

    pool: str
    weight: float


@frozen
class Route:
    """Routing rule for requests to a host and a path prefix.

    Parameters
    ----------
    name, host, prefix : str
    kind : RequestKind
    pools : tuple of WeightedPool
        One pool, or several that share the requests by weight.
    timeout_s : float
        Maximum time until the caller gets a response.
    objective_s : float
        Desired response time; responses within it have the highest value.
    attempts : int
        Maximum number of targets to which one request may be sent.
    priority : int
        0 is the highest priority.
    is_public : bool
        Whether requests are accepted without a key.
    is_sticky : bool
        Whether a target that recently handled an object serves it faster.
    home_regions : frozenset of str
        Regions that may serve the route; empty for all.
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
        """Whether the request may safely run twice."""
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class Workspace:
    """A customer and its limits over all VMs together.

    Parameters
    ----------
    name : str
    priority : int or None
        Overrides the priority of a route.
    rate_per_s, burst : float
        0 for no limit.
    home_regions : frozenset of str
        Regions that may serve the workspace; empty for all.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@frozen
class CallerLimits:
    """Size limits and timeouts for callers' requests and connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class ItemProblem:
    """What is wrong with a part of a configuration that is otherwise in force.

    Parameters
    ----------
    name : str
        Where the item is, such as ``main/hosts[0]/paths[2]``.
    field, problem : str
        The field, and what is wrong with it.
    """

    name: str
    field: str
    problem: str


@frozen
class Configuration:
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
    routes : dict of str to dict of str to Route
        Routes by host, then by path prefix.
    pools : dict of str to Pool
    workspace_by_key : dict of str to Workspace
    requires_keys : bool
        Whether requests on routes that are not public need a key.
    limits : CallerLimits
    problems : tuple of ItemProblem
        Items that this VM does not know or ignores; the others are in force.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    pools: dict[str, Pool]
    workspace_by_key: dict[str, Workspace]
    requires_keys: bool
    limits: CallerLimits
    problems: tuple[ItemProblem, ...] = ()

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
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
