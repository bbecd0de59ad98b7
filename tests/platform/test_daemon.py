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

from plantainshed_gateway.relay_messages import RelayedRequest
from plantainshed_http.errors import HttpError
from tests.platform.daemon_support import IP, filled_template, free_ports
from tests.platform.platform_support import (
    HOST,
    KEY,
    configuration,
    entry,
    route,
    send,
)
from tests.platform.store_standin import StoreStandin, running_store
from tests.platform.target_standin import TargetStandin, running_target
from tests.support import on_real_clock

PROGRAM = ("-m", "plantainshed_platform")
# Runs the program and sends it a signal when it imports a given module.
# Arguments: the module's name and the signal's number.
SIGNAL_AT_IMPORT_PROGRAM = """
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
    """The gateway in a separate process, with stand-ins of the store and a target."""

    def __init__(self, process, settings: Path, ports: list[int], store, targets):
        self.process = process
        self.settings = settings
        self.callers, self.ready, self.lookup = (f"{IP}:{p}" for p in ports[:3])
        self.control = f"{IP}:{ports[3]}"
        self.metrics = f"{IP}:{ports[5]}"
        self.store = store
        self.targets = targets
        self.lines: list[dict] = []

    async def read_lines(self):
        rest = b""
        async for data in self.process.stdout:
            *complete, rest = (rest + data).split(b"\n")
            self.lines.extend(orjson.loads(line) for line in complete)

    async def until_request_runs(self):
        """Wait until a target runs a request."""
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
async def running_daemon(
    reads_output=True,
    program=PROGRAM,
    settings_fields=None,
    first_configuration=None,
    **target_options,
):
    store = StoreStandin()
    target = TargetStandin("i-0", **target_options)
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store_address = await stack.enter_async_context(running_store(store))
        await stack.enter_async_context(running_target(target))
        store.put("servers", "i-0", entry(target))
        store.put("config", "main", first_configuration or configuration())
        ports = free_ports(6)
        settings = folder / "gateway.ini"
        settings.write_text(
            filled_template(store_address, ports, **(settings_fields or {}))
        )
        process = await trio.lowlevel.open_process(
            [sys.executable, *program],
            env={**os.environ, "PLANTAINSHED_NODE_FILE": str(settings)},
            stdout=subprocess.PIPE,
        )
        daemon = Daemon(process, settings, ports, store, [target])
        try:
            async with trio.open_nursery() as nursery:
                if reads_output:
                    nursery.start_soon(daemon.read_lines)
                await daemon.until_ready()
                yield daemon
                nursery.cancel_scope.cancel()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


class TestStopWhileForwarding(unittest.TestCase):
    @on_real_clock
    async def test_forwarded_request_is_answered(self):
        """Guards against stops that cut what a VM forwards for one that is cut off."""
        relayed = RelayedRequest("vm-1", 2.0, 2.0, 0, 7, "read", "calendario", "comune")
        headers = {
            "host": HOST,
            "request-id": "r-1",
            "authorization": f"Bearer {KEY}",
            "plantainshed-relay": relayed.encode().decode(),
        }
        answers = []

        async def ask(daemon):
            answers.append(await send(daemon.control, "GET", "/read/1", headers))

        async with running_daemon(run_time_s=0.8) as daemon:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, daemon)
                await daemon.until_request_runs()
                daemon.process.send_signal(signal.SIGTERM)
            with trio.fail_after(10):
                await daemon.process.wait()
        self.assertEqual(answers[0][0], 200)
        self.assertEqual(daemon.process.returncode, 0)


class TestStop(unittest.TestCase):
    @on_real_clock
    async def test_stop_completes_running_requests(self):
        """A VM is replaced while targets run its callers' requests.

        The VM reports itself as not ready and leaves look-ups at once. It answers
        the running requests, with `Connection: close` so that callers reconnect
        elsewhere, and then the process exits by itself.
        """
        async with running_daemon(run_time_s=0.6) as daemon:
            answers = []

            async def ask():
                answers.append(await daemon.ask("/book/1", "POST"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await daemon.until_request_runs()
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
    async def test_each_step_of_a_stop_is_logged(self):
        """Guards against a log that does not show how a stop ended.

        A program error, a stop that ended early and a kill from outside looked
        the same: no line after `stop requested`.
        """
        async with running_daemon() as daemon:
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.until_line("stop")
            steps = [line["message"] for line in daemon.lines]
            steps = steps[steps.index("stop requested") :]
            # A round-trip time may be logged at any moment, also during a stop.
            steps = [step for step in steps if step != "round trip"]
            expected = ["stop requested", "leaving announced", "no new connections"]
            self.assertEqual(steps, [*expected, "callers gone", "stop"])


class TestRequestsLateInStop(unittest.TestCase):
    @on_real_clock
    async def test_request_that_may_outlast_the_stop_is_refused(self):
        """Guards against late requests cut off while targets run them (LOST).

        With a stop time of 8 s, requests were accepted for 4 s and cut off after 7.4 s,
        whatever their time limit was.
        """
        paths = [
            route("long", "/long/", kind="non_idempotent", timeout="8000ms"),
            route("short", "/short/", kind="non_idempotent", timeout="2000ms"),
        ]
        async with running_daemon(
            settings_fields={"bounds.grace": "8s"},
            first_configuration=configuration(paths=paths),
            run_time_s=0.1,
        ) as daemon:
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.until_line("leaving announced")
            accepted, _, _ = await daemon.ask("/long/1", "POST")
            await trio.sleep(3.2)
            refused, headers, _ = await daemon.ask("/long/2", "POST")
            in_time, _, _ = await daemon.ask("/short/1", "POST")
            self.assertEqual(await daemon.process.wait(), 0)
        self.assertEqual((accepted, refused, in_time), (200, 503, 200))
        self.assertLess(float(headers["retry-after"]), 1.0)
        self.assertEqual(len(daemon.targets[0].runs), 2)


class TestSignalsWhileStopping(unittest.TestCase):
    """Guards against a further signal ending a VM that is draining.

    The VM closed its signal receiver at the first stop signal. From then on the
    system's default action applied, which ends the process: callers' connections
    closed without an answer while targets ran their requests, and the log ended
    there. The process exited with status -1 after SIGHUP and -15 after SIGTERM,
    each time, and logged neither an early stop nor an error.
    """

    @on_real_clock
    async def test_reload_does_not_interrupt_requests(self):
        async with running_daemon(run_time_s=1.0) as daemon:
            await self.check_stop_completes(daemon, signal.SIGHUP)
            self.assertTrue(await daemon.until_line("reload"))

    @on_real_clock
    async def test_repeated_stop_signal_does_not_interrupt_requests(self):
        async with running_daemon(run_time_s=1.0) as daemon:
            await self.check_stop_completes(daemon, signal.SIGTERM)
            self.assertTrue(await daemon.until_line("stop requested again"))

    @on_real_clock
    async def test_series_of_signals_does_not_interrupt_requests(self):
        async with running_daemon(run_time_s=1.0) as daemon:
            hangup, stop = signal.SIGHUP, signal.SIGTERM
            await self.check_stop_completes(
                daemon, hangup, hangup, stop, hangup, signal.SIGINT
            )

    @on_real_clock
    async def test_stop_signals_until_the_exit_leave_status_0(self):
        """Guards against a nonzero status when a supervisor repeats its stop signal.

        All requests were answered and the last line was logged. Then the system's
        default action applied again until the interpreter exited, and the status
        was -15.
        """
        async with running_daemon() as daemon:
            with trio.fail_after(20):
                while daemon.process.poll() is None:
                    daemon.process.send_signal(signal.SIGTERM)
                    daemon.process.send_signal(signal.SIGINT)
                    await trio.sleep(0.001)
            self.assertEqual(daemon.process.returncode, 0)

    async def check_stop_completes(self, daemon, *signals: int):
        answers = []

        async def ask():
            answers.append(await daemon.ask("/book/1", "POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await daemon.until_request_runs()
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.until_line("leaving announced")
            for number in signals:
                daemon.process.send_signal(number)
                await trio.sleep(0.05)
            # Make sure that the signals arrived while a request was running.
            self.assertEqual(daemon.targets[0].running, 1)
        self.assertEqual(answers[0][0], 200)
        await daemon.until_line("stop")
        self.assertEqual(await daemon.process.wait(), 0)


class TestSignalsWhileStarting(unittest.TestCase):
    """Guards against signals that end a VM wrongly while it restarts.

    A reload signal that arrived while the VM imported its modules ended it with
    status -1, so it was unavailable for one more start. A stop signal that arrived
    before its sockets were open ended it with an error. The program did not handle
    signals yet, so the system's default action applied, and the stop relied on
    components that were not running yet.
    """

    @on_real_clock
    async def test_reload_does_not_interrupt_the_start(self):
        for module in ("trio", "plantainshed_gateway.daemon"):
            program = ("-c", SIGNAL_AT_IMPORT_PROGRAM, module, str(int(signal.SIGHUP)))
            async with running_daemon(program=program) as daemon:
                self.assertEqual((await daemon.ask())[0], 200)
                await daemon.until_line("signalled")

    @on_real_clock
    async def test_stop_before_the_vm_serves(self):
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
    async def test_changed_file_is_applied_with_and_without_a_signal(self):
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
    async def test_invalid_file_is_logged_with_its_field_and_ignored(self):
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            daemon.settings.write_text(
                text.replace("stop_within = 2s", "stop_within = soon")
            )
            line = await daemon.until_line("reload failed")
            self.assertIn("[bounds] stop_within", line["problem"])
            self.assertEqual((await daemon.ask())[0], 200)


class TestUnreadableSettings(unittest.TestCase):
    """Guards against a half-written or invalid settings file ending the VM.

    The VM ended with an error and cut off all its callers' requests. The check for
    a changed file decoded arbitrary bytes as text, and a port of ``inf`` or ``nan``
    was accepted as a number until it was converted to an integer. The tracebacks
    showed both.
    """

    @on_real_clock
    async def test_bytes_that_are_not_text(self):
        await self.check_keeps_serving(lambda text: b"\xff\xfe" + text, "codec")

    @on_real_clock
    async def test_numbers_that_are_not_ports(self):
        for number in (b"inf", b"nan", b"1e400"):
            await self.check_keeps_serving(
                lambda text, number=number: re.sub(
                    rb"datagram_port = \d+", b"datagram_port = " + number, text
                ),
                "datagram_port",
            )

    async def check_keeps_serving(self, corrupt, expected: str):
        async with running_daemon() as daemon:
            original = daemon.settings.read_bytes()
            daemon.settings.write_bytes(corrupt(original))
            line = await daemon.until_line("reload failed")
            self.assertIn("gateway.ini", line["problem"])
            self.assertIn(expected, line["problem"])
            self.assertEqual((await daemon.ask())[0], 200)
            daemon.settings.write_bytes(original)
            await daemon.until_line("reload")
            self.assertEqual((await daemon.ask())[0], 200)


class TestUnreadOutput(unittest.TestCase):
    @on_real_clock
    async def test_unread_output_does_not_delay_requests(self):
        """Nobody reads standard output, and the pipe is full after about 200 lines.

        A write would then block, and every caller with it.
        """
        async with running_daemon(reads_output=False) as daemon:
            for _ in range(600):
                # Use a route without a quota: on a fast machine, a single caller
                # exceeds the rate of the workspace.
                self.assertEqual((await daemon.ask("/open/1"))[0], 200)
            status, _, body = await send(
                daemon.metrics, "GET", "/metrics", {"host": "x"}
            )
            self.assertEqual(status, 200)
            self.assertIn(b"plantainshed_request_seconds", body)


class TestStart(unittest.TestCase):
    def test_invalid_settings_are_reported_on_stderr(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            path.write_text("[vm]\nname = x\n")
            result = subprocess.run(
                [sys.executable, "-m", "plantainshed_platform"],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(path)},
                capture_output=True,
                text=True,
                timeout=30,
            )
        self.assertEqual(result.returncode, 2)
        self.assertIn("[failure_domains]", result.stderr)

    @on_real_clock
    async def test_fatal_error_is_logged(self):
        """A fatal error is logged, because operators read the log, not stderr."""
        ports = free_ports(6)
        with tempfile.TemporaryDirectory() as folder, socket.socket() as occupied:
            occupied.bind((IP, ports[0]))
            occupied.listen()
            path = Path(folder) / "gateway.ini"
            path.write_text(filled_template("127.0.0.1:9", ports))
            result = await trio.run_process(
                [sys.executable, "-m", "plantainshed_platform"],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(path)},
                capture_stdout=True,
                capture_stderr=True,
                check=False,
            )
        last = orjson.loads(result.stdout.splitlines()[-1])
        self.assertEqual(last["message"], "ended by error")
        self.assertIn("Address already in use", last["traceback"])
        self.assertEqual(result.returncode, 1)
