import unittest

from plantainshed_gateway.errors import BadItem
from plantainshed_gateway.model import RequestKind, Route, UnusableRoute
from plantainshed_gateway.ports import Item
from plantainshed_platform.decoding import PlatformDecoder
from tests.platform.platform_support import HOST, configuration, route


def decode(value):
    return PlatformDecoder().configuration(Item("main", 1, value))


def without(value: dict, field: str) -> dict:
    return {name: v for name, v in value.items() if name != field}


class TestRoutes(unittest.TestCase):
    def test_only_the_invalid_route_is_unusable(self):
        """Guards against one route that makes the whole configuration invalid."""
        bad = route("bad", "/read/bad/")
        for field, path in (
            ("timeout", without(bad, "timeout")),
            ("timeout", {**bad, "timeout": {"total": "1s"}}),
            ("kind", without(bad, "kind")),
            ("kind", {**bad, "kind": 3}),
            ("attempts", {**bad, "attempts": -1}),
            ("homeRegions", {**bad, "homeRegions": "lombardia"}),
            ("weight", {**bad, "backends": [{"service": "calendario"}]}),
            ("public", {**bad, "public": "yes"}),
            ("name", without(bad, "name")),
        ):
            found = decode(configuration(paths=[route(), path]))
            self.assertEqual([p.field for p in found.problems], [field], path)
            self.assertIsInstance(found.route_for(HOST, "/read/1"), Route)
            self.assertIsInstance(found.route_for(HOST, "/read/bad/1"), UnusableRoute)
            self.assertIsNone(found.route_for(HOST, "/other/"))

    def test_route_without_a_readable_prefix_gets_what_no_other_route_serves(self):
        """Its requests must not get 404, after which callers do not retry."""
        for path in (route(prefix="/bad"), without(route(), "prefix"), None, "/bad/"):
            found = decode(configuration(paths=[route(), path]))
            self.assertEqual(len(found.problems), 1)
            self.assertIsInstance(found.route_for(HOST, "/bad/1"), UnusableRoute)
            self.assertIsInstance(found.route_for(HOST, "/read/1"), Route)
            root = decode(configuration(paths=[route("root", "/"), path]))
            self.assertEqual(root.route_for(HOST, "/bad/1").name, "root")

    def test_unknown_kind_or_field_is_reported_and_the_route_served(self):
        paths = [route(kind="stream"), route("b", "/b/", kind="upload", shape={"a": 1})]
        found = decode(configuration(paths=paths))
        self.assertEqual([p.field for p in found.problems], ["kind", "shape"])
        kinds = [found.route_for(HOST, path).kind for path in ("/read/", "/b/")]
        self.assertEqual(kinds, [RequestKind.NON_IDEMPOTENT, RequestKind.UPLOAD])

    def test_of_two_routes_with_one_prefix_the_last_counts(self):
        usable, bad = route("usable"), route("bad", timeout=1)
        for paths, name in (([usable, bad], "bad"), ([bad, usable], "usable")):
            found = decode(configuration(paths=paths))
            self.assertEqual(found.route_for(HOST, "/read/1").name, name)


class TestWholeConfiguration(unittest.TestCase):
    def test_invalid_as_a_whole(self):
        """What concerns more than one route keeps the previous version in force."""
        good = configuration()
        service, tenant, host = (good[k][0] for k in ("services", "tenants", "hosts"))
        for bad in (
            None,
            "{",
            without(good, "version"),
            configuration(version=-1),
            without(good, "hosts"),
            configuration(hosts="x"),
            configuration(hosts=[without(host, "host")]),
            configuration(hosts=[without(host, "paths")]),
            configuration(services=[without(service, "name")]),
            configuration(services=[{**service, "maxConns": -1}]),
            configuration(tenants=[{**tenant, "ratePerS": -1}]),
            configuration(limits={"maxBodyBytes": "1 MB"}),
        ):
            with self.assertRaises(BadItem, msg=bad):
                decode(bad)

    def test_keys_are_not_part_of_the_error(self):
        """Guards against keys in the log line about an invalid workspace."""
        with self.assertRaises(BadItem) as caught:
            decode(configuration(tenants=[{"name": "a", "apiKeys": ["secret", 5]}]))
        self.assertNotIn("secret", str(caught.exception))

    def test_odd_values_are_handled_as_before(self):
        odd = route(attempts=0, targetLatency="9s", service="unknown")
        found = decode(configuration(paths=[odd]))
        self.assertEqual(found.problems, ())
        decoded = found.route_for(HOST, "/read/1")
        self.assertEqual((decoded.attempts, decoded.objective_s), (1, 9.0))
        self.assertEqual(decoded.pools[0].pool, "unknown")
