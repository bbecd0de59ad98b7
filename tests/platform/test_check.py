import contextlib
import io
import json
import tempfile
import tomllib
import unittest
from importlib.metadata import EntryPoint
from pathlib import Path
from unittest import mock

import fire

from plantainshed.cli.check_command import CHECKERS
from plantainshed.cli.commands import Plantainshed
from plantainshed.errors import BadUsage
from plantainshed_entry.status import ExitCode
from plantainshed_platform.check import check
from tests.platform.platform_support import KEY, configuration, route

PYPROJECT = Path(__file__).parents[2] / "platform" / "pyproject.toml"


def found_in(value, **options):
    result = check(json.dumps(value).encode(), **options)
    return [(f["category"], f["item"], f["field"]) for f in result["findings"]]


def tenant(name: str, *keys: str) -> dict:
    return {"name": name, "apiKeys": list(keys)}


class TestHiddenEntries(unittest.TestCase):
    def test_sound_configuration_has_no_findings(self):
        book = route("book", "/book/", kind="non_idempotent", attempts=1)
        self.assertEqual(found_in(configuration(paths=[route(), book])), [])

    def test_entries_that_others_hide(self):
        """Guards against entries that the decoder drops and no check can see."""
        good = configuration(paths=[route()])
        host, service = good["hosts"][0], good["services"][0]
        never, place = "never_matches", "main/hosts[0]"
        for changes, *found in (
            ({"paths": [route("a"), route("b")]}, (f"{place}/paths[0]", "prefix")),
            (
                {"paths": [route(), route("q", "/q?/")]},
                (f"{place}/paths[1]", "prefix"),
            ),
            ({"hosts": [{**host, "host": "CALENDAR.example"}, host]}, (place, "host")),
            ({"hosts": [{**host, "host": "h:80"}]}, (place, "host")),
            ({"services": [service, service]}, ("main/services[0]", "name")),
            ({"tenants": [tenant("a"), tenant("b", "k")]}, ("workspace a", "apiKeys")),
            (
                {"tenants": [tenant("a", "k", "l"), tenant("b", "k")]},
                ("workspace a", "apiKeys"),
            ),
            ({"tenants": [tenant("a", "k ")]}, ("workspace a", "apiKeys")),
        ):
            paths = changes.pop("paths", [route()])
            value = configuration(paths=paths, **changes)
            self.assertEqual(found_in(value), [(never, *f) for f in found], changes)
        found = found_in(configuration(paths=[route()], tenants=[tenant("a", "")]))
        expected = [("error", "main/tenants[0]", "apiKeys")]
        expected.append(("never_matches", "workspace a", "apiKeys"))
        self.assertEqual(found, expected)

    def test_fields_have_the_names_of_the_format(self):
        value = configuration(paths=[route(targetLatency="9s", service="x")])
        fields = {field for _, _, field in found_in(value)}
        self.assertEqual(fields, {"service", "targetLatency", "name"})


class TestCommand(unittest.TestCase):
    """The command, with the entry point that the adapter's project file declares."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        declared = tomllib.loads(PYPROJECT.read_text())["project"]["entry-points"]
        (found,) = declared[CHECKERS].items()
        self.installed = [EntryPoint(*found, CHECKERS)]
        self.enterContext(
            mock.patch(
                "plantainshed.cli.check_command.entry_points",
                lambda group: [e for e in self.installed if e.group == group],
            )
        )

    def write(self, name: str, value) -> str:
        path = self.folder / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)

    def run_command(self, *arguments):
        """Return the exit code and the output."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            try:
                fire.Fire(Plantainshed, command=["check", *arguments])
            except SystemExit as ended:
                return ended.code, output.getvalue()
        return ExitCode.OK, output.getvalue()

    def test_exit_codes_and_output(self):
        good = self.write("7", configuration(paths=[route()]))
        code, text = self.run_command(good)
        self.assertEqual((code, text), (0, f"{good}: version 7\nno findings\n"))
        stored = {"metadata": {"name": "main", "rev": 3}, "spec": configuration()}
        code, text = self.run_command(self.write("stored", stored))
        self.assertEqual(code, ExitCode.OK, text)
        self.assertIn("conflicting_limits", text)
        bad = configuration(paths=[route(kind="stream"), route("b", "/b/", shape=3)])
        code, text = self.run_command(self.write("bad", bad), "--json")
        fields = [found["field"] for found in json.loads(text)["findings"]]
        self.assertEqual((code, fields[:2]), (ExitCode.FAILED, ["kind", "shape"]))
        route_with_bad_timeout = configuration(paths=[route(), route(timeout=3)])
        for invalid, field in (
            ({**bad, "version": "x"}, "version"),
            (route_with_bad_timeout, "timeout"),
        ):
            code, text = self.run_command(self.write("invalid", invalid), "--json")
            result = json.loads(text)
            self.assertEqual((code, result["version"]), (ExitCode.FAILED, None))
            (found,) = result["findings"]
            self.assertEqual((found["category"], found["field"]), ("error", field))
            self.assertIn("all VMs reject this configuration", found["problem"])

    def test_home_regions_are_compared_with_the_given_ones(self):
        path = self.write("home", configuration(paths=[route(homeRegions=["7"])]))
        self.assertIn("no findings", self.run_command(path)[1])
        self.assertIn("no findings", self.run_command(path, "--regions=7")[1])
        _, text = self.run_command(path, "--regions=6, 8")
        self.assertIn("no target or failure domain is known in 7", text)

    def test_keys_are_never_printed(self):
        tenants = [tenant("a", KEY), tenant("b", KEY, "short"), tenant("c", "short")]
        in_force = self.write("in force", configuration(6, tenants=[tenant("a", "x")]))
        for value in (tenants, [tenant("a", KEY), {"apiKeys": [KEY]}]):
            path = self.write("keys", configuration(tenants=value))
            for option in ("--json", f"--against={in_force}"):
                text = self.run_command(path, option)[1]
                self.assertNotIn(KEY, text)
                self.assertNotIn("short", text)

    def test_difference_from_the_version_in_force(self):
        """Guards against a version that all VMs ignore."""
        old = self.write("7", configuration(7, [route()]))
        new = [route(timeout="2s")]
        for version, expected in ((8, ExitCode.OK), (7, ExitCode.FAILED)):
            path = self.write("new", configuration(version, new))
            code, text = self.run_command(path, f"--against={old}", "--json")
            result = json.loads(text)
            self.assertEqual(code, expected)
            self.assertEqual(
                [(c["field"], c["before"], c["after"]) for c in result["changes"]],
                [("timeout", "1.2", "2")],
            )
        code, text = self.run_command(old, f"--against={old}")
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("no changes", text)
        invalid = self.write("invalid", {"version": 6})
        with self.assertRaisesRegex(BadUsage, "in force is not valid"):
            self.run_command(old, f"--against={invalid}")

    def test_unreadable_file_or_missing_adapter(self):
        for path in (str(self.folder / "none"), self.write("cut", '{"version": 7, "h')):
            with self.assertRaises(BadUsage):
                self.run_command(path)
        self.installed.clear()
        with self.assertRaisesRegex(BadUsage, "platform/"):
            self.run_command(self.write("7", configuration()))
