"""Factories with default values for tests of the gateway's components."""

import io

from plantainshed_gateway.call import Call
from plantainshed_gateway.heartbeats import Heartbeat, VmState
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.members import Members
from plantainshed_gateway.model import (
    CallerLimits,
    Configuration,
    Pool,
    RequestKind,
    Route,
    WeightedPool,
    Workspace,
)
from plantainshed_gateway.ports import CallerRequest, TargetEntry
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.selection.round_trips import RoundTrips
from plantainshed_gateway.selection.target_limits import TargetLimits
from plantainshed_gateway.settings import Bounds
from plantainshed_gateway.target_reach import TargetReach
from plantainshed_http.messages import RequestHead

BOUNDS = Bounds(
    stop_within_s=6.0,
    longest_ttl_s=5.0,
    in_force_within_s=2.0,
    retry_ratio=0.2,
    retry_slack=64.0,
    retry_window_s=10.0,
    quota_window_s=5.0,
    quota_over=0.1,
    quota_slack=20.0,
    cold_over=1.5,
    cold_slack=5.0,
)
POOL = Pool("calendario", warmup_s=3.0, warmup_per_s=15.0)


class RecordingLog:
    """A log that records events instead of writing them."""

    def __init__(self):
        self.events = []

    def event(self, event, **fields):
        self.events.append((event, fields))


def make_route(name="read", pools=(("calendario", 1.0),), **overrides) -> Route:
    return Route(
        **{
            "name": name,
            "host": "h",
            "prefix": f"/{name}/",
            "kind": RequestKind.IDEMPOTENT,
            "pools": tuple(WeightedPool(*pool) for pool in pools),
            "timeout_s": 1.2,
            "objective_s": 0.3,
            "attempts": 2,
            "is_sticky": True,
            **overrides,
        }
    )


def make_configuration(*routes: Route, version=1, pools=(POOL,)) -> Configuration:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return Configuration(
        version, by_host, {p.name: p for p in pools}, {}, False, CallerLimits()
    )


def make_call(route: Route, affinity="17", workspace: Workspace | None = None) -> Call:
    request = CallerRequest("id", "h", route.prefix, None, affinity, None)
    head = RequestHead("GET", route.prefix, [])
    return Call(
        head, request, route, workspace, b"", 10.0, 10.0, route.pools[0].pool, 0.0
    )


def make_entry(instance: str, **overrides) -> TargetEntry:
    return TargetEntry(
        **{
            "instance": instance,
            "pool": "calendario",
            "address": f"{instance}:80",
            "failure_domain": "mil-a",
            "slots": 9,
            "is_draining": False,
            "cold_for_s": 0.0,
            "started_ms": 1,
            **overrides,
        }
    )


def make_heartbeat(vm: str, number=1, **overrides) -> Heartbeat:
    return Heartbeat(
        **{
            "vm": vm,
            "failure_domain": "mil-a",
            "region": "lombardia",
            "incarnation": 1,
            "number": number,
            "state": VmState.READY,
            "caller_address": f"{vm}:1",
            "control_address": f"{vm}:2",
            **overrides,
        }
    )


def make_round_trips() -> RoundTrips:
    return RoundTrips({}, DecisionLog("vm-0", "mil-a", io.StringIO()))


def make_reach(registry: Registry | None = None) -> TargetReach:
    return TargetReach(registry or Registry({}), "lombardia", "mil-a")


def make_members(vm="vm-0") -> Members:
    return Members(make_heartbeat(vm))


def make_limits(registry: Registry | None = None, vm="vm-0") -> TargetLimits:
    """Return the limits of a VM that knows no other."""
    members = make_members(vm)
    members.mark_listed()
    return TargetLimits(registry or Registry({}), members, RecordingLog())
