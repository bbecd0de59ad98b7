import unittest

from plantainshed_gateway.errors import BadItem
from plantainshed_gateway.model import RequestKind
from plantainshed_gateway.ports import Item
from plantainshed_platform.decoding import PlatformDecoder
from tests.platform.platform_support import HOST, configuration, route


def decode(value):
    return PlatformDecoder().configuration(Item("main", 1, value))


def without(value: dict, field: str) -> dict:
    return {name: v for name, v in value.items() if name != field}


class TestRoutes(unittest.TestCase):
    def test_invalid_value_of_one_route_rejects_the_whole_configuration(self):
        """Guards against a version of which only a part is in force."""
        good = route("bad", "/read/bad/")
        for field, path in (
            ("timeout", without(good, "timeout")),
            ("timeout", {**good, "timeout": {"total": "1s"}}),
            ("kind", without(good, "kind")),
            ("kind", {**good, "kind": 3}),
            ("kind", {**good, "kind": ""}),
            ("attempts", {**good, "attempts": -1}),
            ("priority", {**good, "priority": "high"}),
            ("homeRegions", {**good, "homeRegions": "lombardia"}),
            ("weight", {**good, "backends": [{"service": "calendario"}]}),
            ("public", {**good, "public": "yes"}),
            ("name", without(good, "name")),
            ("prefix", {**good, "prefix": "/bad"}),
            ("prefix", without(good, "prefix")),
            ("timeout", {**good, "timeout": 1, "kind": "stream", "shape": 1}),
            ("(whole object)", None),
            ("(whole object)", "/bad/"),
        ):
            for paths in ([route(), path], [path, route()]):
                with self.assertRaises(BadItem, msg=path) as caught:
                    decode(configuration(paths=paths))
                self.assertEqual(caught.exception.field, field, path)

    def test_unknown_kind_or_field_is_reported_and_the_route_served(self):
        paths = [route(kind="stream"), route("b", "/b/", kind="upload", shape={"a": 1})]
        found = decode(configuration(paths=paths))
        self.assertEqual([p.field for p in found.problems], ["kind", "shape"])
        kinds = [found.route_for(HOST, path).kind for path in ("/read/", "/b/")]
        self.assertEqual(kinds, [RequestKind.NON_IDEMPOTENT, RequestKind.UPLOAD])

    def test_of_two_routes_with_one_prefix_the_last_counts(self):
        found = decode(configuration(paths=[route("a"), route("b")]))
        self.assertEqual(found.route_for(HOST, "/read/1").name, "b")


class TestWholeConfiguration(unittest.TestCase):
    def test_invalid_as_a_whole(self):
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

    def test_empty_keys_are_ignored_and_reported(self):
        """Guards against keys that admit requests without a key."""
        for keys in ([""], ["", "a", ""]):
            found = decode(configuration(tenants=[{"name": "w", "apiKeys": keys}]))
            self.assertEqual(set(found.workspace_by_key), set(keys) - {""})
            self.assertTrue(found.requires_keys)
            places = [(problem.name, problem.field) for problem in found.problems]
            self.assertEqual(places, [("main/tenants[0]", "apiKeys")])

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
