import unittest

from attrs import evolve

from plantainshed_gateway.configuration_changes import find_changes
from plantainshed_gateway.configuration_checks import Category, check
from plantainshed_gateway.model import (
    CallerLimits,
    ItemProblem,
    Pool,
    RequestKind,
    Workspace,
)
from tests.gateway.gateway_support import POOL, make_configuration, make_route

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


def found_in(*routes, regions=frozenset(), pools=(POOL,), **overrides):
    configuration = evolve(make_configuration(*routes, pools=pools), **overrides)
    return [(f.category, f.field) for f in check(configuration, regions)]


class TestChecks(unittest.TestCase):
    def test_sound_configuration_has_no_findings(self):
        """Guards against findings that operators learn to ignore."""
        for route in (
            make_route(),
            make_route(attempts=1, kind=RequestKind.UPLOAD, home_regions=NORTH),
            # The objective is the timeout if the operator states none.
            make_route(timeout_s=1.0, objective_s=1.0),
            make_route(pools=(("calendario", 1.0), ("calendario", 2.0))),
        ):
            workspaces = {"k": Workspace("w", None, 5.0, 9.0, NORTH)}
            found = found_in(route, regions=NORTH, workspace_by_key=workspaces)
            self.assertEqual(found, [], route)

    def test_findings_of_routes(self):
        error, never, conflict = Category
        for changes, *found in (
            ({"timeout_s": 0.0, "objective_s": 0.0}, (error, "timeout_s")),
            ({"objective_s": 2.0}, (conflict, "objective_s")),
            ({"kind": RequestKind.UPLOAD}, (conflict, "attempts")),
            ({"kind": RequestKind.NON_IDEMPOTENT}, (conflict, "attempts")),
            ({"objective_s": 0.9}, (conflict, "attempts")),
            ({"home_regions": SOUTH}, (never, "home_regions")),
            (
                {"pools": (("other", 1.0), ("calendario", 0.0))},
                (error, "pool"),
                (never, "weight"),
            ),
            ({"pools": (("calendario", 0.0),)}, (conflict, "weight")),
        ):
            route = make_route(**changes)
            self.assertEqual(found_in(route, regions=NORTH), found, changes)

    def test_findings_of_other_items(self):
        error, never, conflict = Category
        upload = make_route(kind=RequestKind.UPLOAD, attempts=1, home_regions=SOUTH)
        found = found_in(
            upload,
            pools=(POOL, Pool("unused")),
            regions=NORTH | SOUTH,
            workspace_by_key={"k": Workspace("w", burst=2.0, home_regions=NORTH)},
            limits=CallerLimits(max_body_bytes=0, idle_timeout_s=0.0),
            problems=(ItemProblem("main", "timeout", "is missing"),),
        )
        expected = [
            (error, "timeout"),
            (error, "idle_timeout_s"),
            (never, "name"),
            (never, "home_regions"),
            (conflict, "max_body_bytes"),
            (conflict, "burst"),
        ]
        self.assertEqual(found, expected)


class TestChanges(unittest.TestCase):
    def test_added_removed_and_changed_items(self):
        """Guards against an item whose change is not shown."""
        routes = [make_route(name) for name in ("kept", "gone", "changed")]
        keys = {"0123456789abcdef": Workspace("w", rate_per_s=5.0), "x": Workspace("v")}
        before = evolve(make_configuration(*routes), workspace_by_key=keys)
        pools = (("calendario", 3.0), ("other", 1.0))
        changed = make_route("changed", pools, home_regions=NORTH | SOUTH)
        routes = [routes[0], changed, make_route("new")]
        keys = {"fedcba9876543210": Workspace("w", rate_per_s=7.5)}
        after = evolve(
            make_configuration(*routes, pools=(evolve(POOL, warmup_s=1.0),)),
            workspace_by_key=keys,
            limits=CallerLimits(max_body_bytes=9),
            requires_keys=True,
        )
        found = [
            (c.action, c.item, c.field, c.before, c.after)
            for c in find_changes(before, after)
        ]
        expected = [
            (
                ("changed", "route h/changed/", "pools")
                + ("calendario:1", "calendario:3, other:1")
            ),
            ("changed", "route h/changed/", "home_regions", "", "north, south"),
            ("added", "route h/new/", "", "", ""),
            ("removed", "route h/gone/", "", "", ""),
            ("changed", "pool calendario", "warmup_s", "3", "1"),
            ("changed", "workspace w", "rate_per_s", "5", "7.5"),
            (
                ("changed", "workspace w", "keys")
                + ("1 removed: 0123...", "1 added: fedc...")
            ),
            ("removed", "workspace v", "", "", ""),
            ("changed", "limits", "max_body_bytes", "67108864", "9"),
            ("changed", "configuration", "requires_keys", "False", "True"),
        ]
        self.assertEqual(found, expected)
        self.assertEqual(find_changes(after, after), [])
