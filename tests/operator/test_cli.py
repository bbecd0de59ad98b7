"""Tests of the command line, with a real platform server."""

import contextlib
import io
import json
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import fire
import trio

from plantainshed.cli import EXIT_CODES, main
from plantainshed.cli.commands import Plantainshed
from plantainshed.errors import BadUsage, EditConflict, Unreachable
from plantainshed_entry.status import ExitCode
from plantainshed_http.server import Stopping, serve_http
from plantainshed_model.errors import InvalidDocument, UnknownName
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer

EXAMPLES = Path(__file__).parents[2] / "examples"
DOCUMENT = str(EXAMPLES / "cerimonia" / "document.json")


class PlatformThread:
    """A platform server in a separate thread, as each command calls `trio.run`."""

    def __init__(self):
        self.address = ""
        self._token = None
        self._stopping = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,))

    async def _serve(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self._token = trio.lowlevel.current_trio_token()
        self._stopping = Stopping()
        self._ready.set()
        server = PlatformServer(MemoryPlatform())
        await serve_http(server.handle, listeners, self._stopping)

    def __enter__(self):
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *exc_info):
        self._token.run_sync_soon(self._stopping.set)
        self._thread.join()


class TestCommands(unittest.TestCase):
    def setUp(self):
        self.platform = self.enterContext(PlatformThread())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.settings = self.folder / "operator.ini"
        self.settings.write_text(
            f"[platform]\naddress = {self.platform.address}\n"
            "[fleet]\ncontrols = 127.0.0.1:1\n[operator]\nname = ann\n"
        )

    def run_command(self, *arguments):
        output = io.StringIO()
        command = [*arguments, f"--settings={self.settings}"]
        with contextlib.redirect_stdout(output):
            fire.Fire(Plantainshed, command=command)
        return output.getvalue()

    def test_apply_show_history_and_rollback(self):
        self.run_command("document", "apply", DOCUMENT, "--reason=first")
        shown = json.loads(self.run_command("document", "show"))
        self.assertEqual(len(shown["workspaces"]), 8)
        self.run_command("drain", "start", "target", "prenota-01")
        self.assertIn("prenota-01", self.run_command("drain", "list"))
        self.run_command("document", "back", "1", "--reason=not_now")
        self.assertIn("(none)", self.run_command("drain", "list"))
        rows = json.loads(self.run_command("document", "history", "--json"))
        self.assertEqual([row["version"] for row in rows], [3, 2, 1])
        self.assertEqual(rows[0]["author"], "ann")

    def test_shift_states(self):
        self.run_command("document", "apply", DOCUMENT, "--reason=first")
        start = ("shift", "start", "m", "calendario", "veneto", "lombardia", "20")
        self.run_command(*start)
        for verb, state in (
            ("stop", "stopped"),
            ("resume", "running"),
            ("reverse", "reversed"),
        ):
            self.run_command("shift", verb, "m")
            self.assertIn(state, self.run_command("shift", "list"))
        self.run_command("shift", "remove", "m")
        self.assertIn("(none)", self.run_command("shift", "list"))

    def test_key_is_printed_once(self):
        self.run_command("document", "apply", DOCUMENT, "--reason=first")
        issued = json.loads(self.run_command("key", "issue", "milano", "--json"))
        listed = self.run_command("key", "list")
        self.assertIn(issued["key_id"], listed)
        self.assertNotIn(issued["key"], listed)
        output = self.run_command("key", "withdraw", issued["key_id"])
        self.assertIn("no VM could be reached", output)
        self.assertIn("withdrawn", self.run_command("key", "list"))

    def test_numeric_names_are_parsed_as_text(self):
        """Arguments that consist of digits must not be converted to integers.

        Withdrawing a key whose id happened to consist of digits failed with "object
        of type 'int' has no len()".
        """
        self.run_command("document", "apply", DOCUMENT, "--reason=2026")
        start = ("shift", "start", "007", "calendario", "veneto", "lombardia", "20")
        self.run_command(*start)
        self.run_command("shift", "stop", "007")
        self.assertIn("007", self.run_command("shift", "list"))
        with self.assertRaises(UnknownName):
            self.run_command("key", "withdraw", "012345678901")

    def test_invalid_input_raises_the_matching_error(self):
        with self.assertRaises(BadUsage):
            self.run_command("document", "check", str(self.folder / "none.json"))
        bad = self.folder / "bad.json"
        bad.write_text('{"workspaces": [{"name": "a", "rate": -1, "burst": 0}]}')
        with self.assertRaises(InvalidDocument):
            self.run_command("document", "check", str(bad))
        self.run_command("document", "apply", DOCUMENT, "--reason=first")
        with self.assertRaises(UnknownName):
            self.run_command("shift", "stop", "nothing")
        with self.assertRaises(BadUsage):
            self.run_command("drain", "start", "planet", "x")
        with self.assertRaises(BadUsage):
            self.run_command("report", "--format=poem")
        with self.assertRaises(EditConflict):
            self.run_command("drain", "start", "target", "prenota-01")
            apply = ("document", "apply", DOCUMENT, "--reason=old", "--base=1")
            self.run_command(*apply)

    def test_report_lists_unreachable_sources(self):
        self.run_command("document", "apply", DOCUMENT, "--reason=first")
        facts = json.loads(self.run_command("report", "--format=json"))
        self.assertIn("all VMs", facts["unknown"][0])
        self.assertEqual(facts["changes"][0]["reason"], "first")
        page = self.run_command("report", "--format=html")
        self.assertIn("Unknown:", page)

    def test_status_fails_if_no_vm_is_reachable(self):
        with self.assertRaises(Unreachable):
            self.run_command("status")


class TestMain(unittest.TestCase):
    def test_exit_codes_differ(self):
        codes = list(EXIT_CODES.values())
        self.assertEqual(len(codes), len(set(codes)))
        self.assertNotIn(ExitCode.OK, codes)

    def test_prints_the_error_and_sets_the_exit_code(self):
        stderr = io.StringIO()
        arguments = ["plantainshed", "status", "--settings=/nowhere.ini"]
        with (
            mock.patch.object(sys, "argv", arguments),
            contextlib.redirect_stderr(stderr),
            self.assertRaises(SystemExit) as caught,
        ):
            main()
        self.assertEqual(caught.exception.code, ExitCode.USAGE)
        self.assertIn("/nowhere.ini", stderr.getvalue())
