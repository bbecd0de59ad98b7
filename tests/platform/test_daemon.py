import contextlib
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import orjson
import trio

from plantainshed_gateway.daemon import accept_period_s
from plantainshed_http.errors import HttpError
from plantainshed_http.server import STOP_GRACE_S
from tests.platform.daemon_support import IP, filled_template, free_ports
from tests.platform.platform_support import HOST, KEY, configuration, entry, send
from tests.platform.store_standin import StoreStandin, running_store
from tests.platform.target_standin import TargetStandin, running_target
from tests.support import on_real_clock

PROGRAM = ("-m", "plantainshed_platform")
# Runs the program, which gets a signal when it imports the module of a name.
SIGNALLED_AT_IMPORT = """
import runpy, signal, sys

class Signalling:
    def find_spec(self, name, path=None, target=None):
        if name == sys.argv[1]:
            print('{"message":"signalled"}', flush=True)
            signal.raise_signal(int(sys.argv[2]))

sys.meta_path.insert(0, Signalling())
runpy.run_module("plantainshed_platform", run_name="__main__")
"""


class Daemon:
    """The program as a process of its own, against stand-ins."""

    def __init__(self, process, settings: Path, ports: list[int], store, targets):
        self.process = process
        self.settings = settings
        self.callers, self.ready, self.lookup = (f"{IP}:{p}" for p in ports[:3])
        self.metrics = f"{IP}:{ports[5]}"
        self.store = store
        self.targets = targets
        self.lines: list[dict] = []

    async def read_lines(self):
        rest = b""
        async for data in self.process.stdout:
            *whole, rest = (rest + data).split(b"\n")
            self.lines.extend(orjson.loads(line) for line in whole)

    async def until_running(self):
        """Wait until a target works on a request."""
        while not self.targets[0].running:
            await trio.sleep(0.01)

    async def ask(self, path="/read/1", method="GET"):
        headers = {"host": HOST, "request-id": "r-1", "affinity-key": "7"}
        headers["authorization"] = f"Bearer {KEY}"
        return await send(self.callers, method, path, headers)

    async def until_ready(self):
        with trio.fail_after(20):
            while True:
                if self.process.poll() is not None:
                    raise ChildProcessError(f"status {self.process.returncode}")
                with contextlib.suppress(HttpError):
                    status, _, _ = await send(
                        self.ready, "GET", "/plantainshed/ready", {"host": "x"}
                    )
                    if status == 200:
                        return
                await trio.sleep(0.05)

    async def until_line(self, message: str) -> dict:
        with trio.fail_after(20):
            while True:
                for line in self.lines:
                    if line["message"] == message:
                        return line
                await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_daemon(reads_lines=True, program=PROGRAM, **target_more):
    store = StoreStandin()
    target = TargetStandin("i-0", **target_more)
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store_address = await stack.enter_async_context(running_store(store))
        await stack.enter_async_context(running_target(target))
        store.put("servers", "i-0", entry(target))
        store.put("config", "main", configuration())
        ports = free_ports(6)
        settings = folder / "gateway.ini"
        settings.write_text(filled_template(store_address, ports))
        process = await trio.lowlevel.open_process(
            [sys.executable, *program],
            env={**os.environ, "PLANTAINSHED_NODE_FILE": str(settings)},
            stdout=subprocess.PIPE,
        )
        daemon = Daemon(process, settings, ports, store, [target])
        try:
            async with trio.open_nursery() as nursery:
                if reads_lines:
                    nursery.start_soon(daemon.read_lines)
                await daemon.until_ready()
                yield daemon
                nursery.cancel_scope.cancel()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


class TestStopTimes(unittest.TestCase):
    def test_no_request_is_taken_in_the_second_half(self):
        """A caller's read is cut without an answer while a VM stops as planned.

        A kept connection brings it 3.38 s after the signal, of 6 s; it waits in
        its target's queue for 2.2 s and has just begun to run when the VM breaks
        off what is left. The moment that kept connections have for a last
        request came on top of the half in which new ones are taken.
        """
        for within_s in (0.5, 2.0, 6.0, 30.0):
            last_s = accept_period_s(within_s) + STOP_GRACE_S
            self.assertLessEqual(last_s, max(STOP_GRACE_S, within_s / 2))
        self.assertGreater(accept_period_s(6.0), 2.0)


class TestStop(unittest.TestCase):
    @on_real_clock
    async def test_stop_cuts_no_request(self):
        """A VM is replaced while targets work on its callers' requests.

        Readiness and look-ups leave it out at once; what runs is answered,
        with a hint to go elsewhere; then the process ends by itself.
        """
        async with running_daemon(takes_s=0.6) as daemon:
            answers = []

            async def ask():
                answers.append(await daemon.ask("/book/1", "POST"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await daemon.until_running()
                daemon.process.send_signal(signal.SIGTERM)
                await daemon.until_line("stop requested")
                status, _, _ = await send(
                    daemon.ready, "GET", "/plantainshed/ready", {"host": "x"}
                )
                self.assertEqual(status, 503)
                late = await daemon.ask()
                self.assertEqual((late[0], late[1]["connection"]), (200, "close"))
            self.assertEqual(answers[0][0], 200)
            self.assertEqual(await daemon.process.wait(), 0)

    @on_real_clock
    async def test_lines_tell_in_which_step_a_process_ended(self):
        """Lines that end in the middle of a stop do not say what ended it.

        A fault of the program, a stop that was over early and an end from
        outside looked the same: no line after `stop requested`.
        """
        async with running_daemon() as daemon:
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.until_line("stop")
            steps = [line["message"] for line in daemon.lines]
            steps = steps[steps.index("stop requested") :]
            # A distance may be measured at any moment, also in a stop.
            steps = [step for step in steps if step != "round trip"]
            expected = ["stop requested", "leaving announced", "no new connections"]
            self.assertEqual(steps, [*expected, "callers gone", "stop"])


class TestSignalsWhileStopping(unittest.TestCase):
    """A VM that drains gets a further signal.

    Its callers' connections closed in that instant, with no answer, though their
    requests ran at targets; the process wrote no line more. The receiver of
    signals was closed at the first one that asked for a stop, and from then on
    the system's default held, which ends the process. Evidence: it ended with
    status -1 after SIGHUP and -15 after SIGTERM, each time, and with none of the
    lines of an early stop or of an error.
    """

    @on_real_clock
    async def test_settings_that_change_cut_no_request(self):
        async with running_daemon(takes_s=1.0) as daemon:
            await self.stop_with(daemon, signal.SIGHUP)
            self.assertTrue(await daemon.until_line("reload"))

    @on_real_clock
    async def test_request_to_stop_that_is_repeated_cuts_no_request(self):
        async with running_daemon(takes_s=1.0) as daemon:
            await self.stop_with(daemon, signal.SIGTERM)
            self.assertTrue(await daemon.until_line("stop requested again"))

    @on_real_clock
    async def test_signals_in_series_cut_no_request(self):
        async with running_daemon(takes_s=1.0) as daemon:
            hangup, stop = signal.SIGHUP, signal.SIGTERM
            await self.stop_with(daemon, hangup, hangup, stop, hangup, signal.SIGINT)

    @on_real_clock
    async def test_request_to_stop_repeated_until_the_end_is_no_failure(self):
        """A supervisor that asks until the process is gone sees a failed stop.

        All was answered and the last line written; then the system's default
        held again until the interpreter was gone, and the status was -15.
        """
        async with running_daemon() as daemon:
            with trio.fail_after(20):
                while daemon.process.poll() is None:
                    daemon.process.send_signal(signal.SIGTERM)
                    daemon.process.send_signal(signal.SIGINT)
                    await trio.sleep(0.001)
            self.assertEqual(daemon.process.returncode, 0)

    async def stop_with(self, daemon, *further: int):
        answers = []

        async def ask():
            answers.append(await daemon.ask("/book/1", "POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await daemon.until_running()
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.until_line("leaving announced")
            for number in further:
                daemon.process.send_signal(number)
                await trio.sleep(0.05)
            # Otherwise the signals met no request.
            self.assertEqual(daemon.targets[0].running, 1)
        self.assertEqual(answers[0][0], 200)
        await daemon.until_line("stop")
        self.assertEqual(await daemon.process.wait(), 0)


class TestSignalsWhileStarting(unittest.TestCase):
    """A VM that has just been started anew gets a signal.

    It was told that its settings changed while it loaded its modules, and ended
    with status -1: it was away for one more start. Told to stop before its
    sockets were open, it ended with an error. Both came before the program was
    ready for any signal: the system's default held, and the stop counted on
    parts that were not running yet.
    """

    @on_real_clock
    async def test_settings_that_change_end_no_start(self):
        for module in ("trio", "plantainshed_gateway.daemon"):
            program = ("-c", SIGNALLED_AT_IMPORT, module, str(int(signal.SIGHUP)))
            async with running_daemon(program=program) as daemon:
                self.assertEqual((await daemon.ask())[0], 200)
                await daemon.until_line("signalled")

    @on_real_clock
    async def test_told_to_stop_before_it_serves(self):
        ports = free_ports(6)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            seeds = f"127.0.0.2:{ports[3]}"
            path.write_text(filled_template("127.0.0.1:9", ports, seeds=seeds))
            process = await trio.lowlevel.open_process(
                [sys.executable, *PROGRAM],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(path)},
                stdout=subprocess.PIPE,
            )
            try:
                first = await process.stdout.receive_some()
                self.assertIn(b'"message":"start"', first)
                process.send_signal(signal.SIGTERM)
                with trio.fail_after(20):
                    rest = first + b"".join([data async for data in process.stdout])
                    self.assertEqual(await process.wait(), 0, rest)
            finally:
                process.kill()
        self.assertIn(b'"message":"stop"', rest)


class TestReload(unittest.TestCase):
    @on_real_clock
    async def test_taken_over_with_and_without_a_signal(self):
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            daemon.settings.write_text(text.replace("ttl = 5s", "ttl = 4s"))
            line = await daemon.until_line("reload")
            self.assertTrue(line["changed"])
            daemon.lines.clear()
            daemon.process.send_signal(signal.SIGHUP)
            line = await daemon.until_line("reload")
            self.assertFalse(line["changed"])

    @on_real_clock
    async def test_unusable_file_names_its_field_and_changes_nothing(self):
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            daemon.settings.write_text(
                text.replace("stop_within = 2s", "stop_within = soon")
            )
            line = await daemon.until_line("reload failed")
            self.assertIn("[bounds] stop_within", line["problem"])
            self.assertEqual((await daemon.ask())[0], 200)


class TestSettingsThatCannotBeRead(unittest.TestCase):
    """A settings file is seen while it is written, or holds what is no setting.

    The VM ended with an error and cut all its callers' requests: the look for a
    changed file read bytes as text, and a port of ``inf`` or ``nan`` passed for a
    number until it was made a whole one. Evidence: the tracebacks.
    """

    @on_real_clock
    async def test_bytes_that_are_no_text(self):
        await self.serves_on(lambda text: b"\xff\xfe" + text, "codec")

    @on_real_clock
    async def test_numbers_that_are_no_ports(self):
        for number in (b"inf", b"nan", b"1e400"):
            await self.serves_on(
                lambda text, number=number: re.sub(
                    rb"datagram_port = \d+", b"datagram_port = " + number, text
                ),
                "datagram_port",
            )

    async def serves_on(self, spoil, named: str):
        async with running_daemon() as daemon:
            whole = daemon.settings.read_bytes()
            daemon.settings.write_bytes(spoil(whole))
            line = await daemon.until_line("reload failed")
            self.assertIn("gateway.ini", line["problem"])
            self.assertIn(named, line["problem"])
            self.assertEqual((await daemon.ask())[0], 200)
            daemon.settings.write_bytes(whole)
            await daemon.until_line("reload")
            self.assertEqual((await daemon.ask())[0], 200)


class TestStuckReader(unittest.TestCase):
    @on_real_clock
    async def test_unread_output_delays_no_request(self):
        """Nobody reads standard output; the pipe fills after some 200 lines.

        A write would then wait, and with it every caller.
        """
        async with running_daemon(reads_lines=False) as daemon:
            for _ in range(600):
                # A route without a quota: one caller alone asks for more than the
                # rate of the workspace where the machine is fast enough.
                self.assertEqual((await daemon.ask("/open/1"))[0], 200)
            status, _, body = await send(
                daemon.metrics, "GET", "/metrics", {"host": "x"}
            )
            self.assertEqual(status, 200)
            self.assertIn(b"plantainshed_request_seconds", body)


class TestStart(unittest.TestCase):
    def test_unusable_settings_are_named_at_the_terminal(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            path.write_text("[vm]\nname = x\n")
            ended = subprocess.run(
                [sys.executable, "-m", "plantainshed_platform"],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(path)},
                capture_output=True,
                text=True,
                timeout=30,
            )
        self.assertEqual(ended.returncode, 2)
        self.assertIn("[failure_domains]", ended.stderr)

    @on_real_clock
    async def test_end_by_an_error_is_a_line_too(self):
        """A traceback on standard error is not where the lines are looked for."""
        ports = free_ports(6)
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind((IP, ports[0]))
            taken.listen()
            path = Path(folder) / "gateway.ini"
            path.write_text(filled_template("127.0.0.1:9", ports))
            ended = await trio.run_process(
                [sys.executable, "-m", "plantainshed_platform"],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(path)},
                capture_stdout=True,
                capture_stderr=True,
                check=False,
            )
        last = orjson.loads(ended.stdout.splitlines()[-1])
        self.assertEqual(last["message"], "ended by error")
        self.assertIn("Address already in use", last["traceback"])
        self.assertEqual(ended.returncode, 1)
