"""Finds contradictions in a configuration before operators send it.

`check` does not decide what a VM does with a configuration: all findings but those
about `Configuration.problems` concern items that are in force as they are written.
"""

from collections.abc import Iterator
from enum import StrEnum

from attrs import frozen

from .model import Configuration, RequestKind, Route, Workspace

# A failed attempt is repeated only if more than this fraction of the objective is left
# before the timeout; see `Serving._should_try_another`.
MIN_OBJECTIVES_FOR_RETRY = 0.5
# Keys are secret. Findings show the beginning of a key, at most a quarter of it.
SHOWN_KEY_LENGTH = 4


class Category(StrEnum):
    """What a finding means for requests."""

    ERROR = "error"
    NEVER_MATCHES = "never_matches"
    CONFLICT = "conflicting_limits"


@frozen
class Finding:
    """A contradiction in a configuration.

    Parameters
    ----------
    category : Category
    item : str
        Where it is, such as ``route calendar.example/read/``.
    field, problem : str
        The attribute, and what is wrong with it.
    """

    category: Category
    item: str
    field: str
    problem: str


def check(
    configuration: Configuration, regions: frozenset[str] = frozenset()
) -> list[Finding]:
    """Return all findings, errors first.

    Parameters
    ----------
    configuration : Configuration
    regions : frozenset of str
        Regions that have targets or failure domains; empty if they are not known.
    """
    findings = [
        *_check_problems(configuration),
        *_check_limits(configuration),
        *_check_pools(configuration),
    ]
    for route in all_routes(configuration):
        findings += _check_route(route, configuration, regions)
    for workspace in workspaces(configuration):
        findings += _check_workspace(workspace, regions)
    return in_order(findings)


def in_order(findings: list[Finding]) -> list[Finding]:
    """Return findings by category, errors first, otherwise in the same order."""
    categories = list(Category)
    return sorted(findings, key=lambda found: categories.index(found.category))


def all_routes(configuration: Configuration) -> list[Route]:
    """Return the routes of all hosts."""
    by_host = configuration.routes.values()
    return [route for by_prefix in by_host for route in by_prefix.values()]


def workspaces(configuration: Configuration) -> list[Workspace]:
    """Return each workspace that has a key once."""
    return list(dict.fromkeys(configuration.workspace_by_key.values()))


def route_item(host: str, prefix: str) -> str:
    """Return how findings name a route."""
    return f"route {host.lower()}{prefix}"


def masked(key: str) -> str:
    """Return the beginning of a key, which does not reveal it."""
    return key[: min(SHOWN_KEY_LENGTH, len(key) // 4)] + "..."


def _check_problems(configuration: Configuration) -> Iterator[Finding]:
    for found in configuration.problems:
        yield Finding(Category.ERROR, found.name, found.field, found.problem)


def _check_limits(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    for field in ("head_timeout_s", "idle_timeout_s"):
        if not getattr(limits, field):
            problem = "is 0, so connections are closed before a request is read"
            yield Finding(Category.ERROR, "limits", field, problem)
    if limits.max_body_bytes:
        return
    for route in all_routes(configuration):
        if route.kind is RequestKind.UPLOAD:
            item = route_item(route.host, route.prefix)
            problem = f"is 0, but {item} is for uploads: all are refused with 413"
            yield Finding(Category.CONFLICT, "limits", "max_body_bytes", problem)


def _check_pools(configuration: Configuration) -> Iterator[Finding]:
    used = {
        weighted.pool for route in all_routes(configuration) for weighted in route.pools
    }
    for pool in configuration.pools:
        if pool not in used:
            problem = "no route sends requests to it"
            yield Finding(Category.NEVER_MATCHES, f"pool {pool}", "name", problem)


def _check_route(
    route: Route, configuration: Configuration, regions: frozenset[str]
) -> Iterator[Finding]:
    item = route_item(route.host, route.prefix)
    for category, field, problem in (
        *_check_weights(route, configuration),
        *_check_times(route),
        *_check_home_regions(route.home_regions, regions),
        *_check_workspaces_of(route, configuration),
    ):
        yield Finding(category, item, field, problem)


def _check_weights(route: Route, configuration: Configuration):
    has_weight = any(weighted.weight for weighted in route.pools)
    for weighted in route.pools:
        pool = weighted.pool
        if pool not in configuration.pools:
            problem = f"{pool!r} is not a pool; its requests are refused with 503"
            yield Category.ERROR, "pool", problem
        if has_weight and not weighted.weight:
            problem = f"{pool!r} has the weight 0 and gets no requests"
            yield Category.NEVER_MATCHES, "weight", problem
    if not has_weight:
        problem = f"all weights are 0; {route.pools[-1].pool!r} gets all requests"
        yield Category.CONFLICT, "weight", problem


def _check_times(route: Route):
    timeout_s, objective_s = route.timeout_s, route.objective_s
    if not timeout_s:
        yield Category.ERROR, "timeout_s", "is 0, so no request is answered in time"
    elif objective_s > timeout_s:
        problem = f"{objective_s:g} s is above the timeout of {timeout_s:g} s"
        yield Category.CONFLICT, "objective_s", problem
    if route.attempts < 2:
        return
    if not route.is_idempotent:
        problem = (
            f"is {route.attempts}, but a request of the kind {route.kind} is sent "
            "again only if it certainly did not run"
        )
        yield Category.CONFLICT, "attempts", problem
    elif (
        objective_s < timeout_s
        # An attempt that takes as long as the objective leaves the rest.
        and timeout_s - objective_s <= objective_s * MIN_OBJECTIVES_FOR_RETRY
    ):
        problem = (
            f"is {route.attempts}, but after an attempt of {objective_s:g} s the "
            f"timeout of {timeout_s:g} s leaves no time for another"
        )
        yield Category.CONFLICT, "attempts", problem


def _check_home_regions(home_regions: frozenset[str], regions: frozenset[str]):
    unknown = sorted(home_regions - regions) if regions else []
    if not unknown:
        return
    problem = f"no target or failure domain is known in {', '.join(unknown)}"
    if len(unknown) == len(home_regions):
        problem += "; all requests are refused"
    yield Category.NEVER_MATCHES, "home_regions", problem


def _check_workspaces_of(route: Route, configuration: Configuration):
    if route.is_public or not route.home_regions:
        return
    disjoint = [
        workspace.name
        for workspace in workspaces(configuration)
        if workspace.home_regions and not workspace.home_regions & route.home_regions
    ]
    if disjoint:
        problem = f"none is a home region of the workspaces {', '.join(disjoint)}"
        yield Category.NEVER_MATCHES, "home_regions", problem


def _check_workspace(
    workspace: Workspace, regions: frozenset[str]
) -> Iterator[Finding]:
    item = f"workspace {workspace.name}"
    if workspace.burst and not workspace.rate_per_s:
        problem = f"{workspace.burst:g} has no effect without a rate"
        yield Finding(Category.CONFLICT, item, "burst", problem)
    found = _check_home_regions(workspace.home_regions, regions)
    for category, field, problem in found:
        yield Finding(category, item, field, problem)
