"""The entry daemon as a process of its own, and the signals that it gets."""

import contextlib
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from plantainshed.demo.deployment import free_address
from plantainshed_coordination.signals import STOP_SIGNALS
from plantainshed_coordination.versioned import Change, DocumentStore
from plantainshed_entry.daemon import run_until_signalled
from plantainshed_entry.settings import parse_settings
from plantainshed_http.client import fetch
from plantainshed_http.errors import HttpError
from plantainshed_model.codec import to_segments
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer
from tests.entry.test_daemon import KEY, document_with
from tests.http_support import serving
from tests.support import on_real_clock

PROGRAM = ("-m", "plantainshed_entry")
# Runs the program, which gets a signal when it imports the module of a name.
SIGNALLED_AT_IMPORT = """
import runpy, signal, sys

class Signalling:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            signal.raise_signal(signal.SIGHUP)

sys.meta_path.insert(0, Signalling())
runpy.run_module("plantainshed_entry", run_name="__main__", alter_sys=True)
"""
SETTINGS = """
[vm]
name = a-1
failure_domain = a
listen = {listen}
peer = {peer}
control = {control}

[platform]
address = {platform}
"""
CALL_S = 1.0


def make_settings_text(platform: str) -> str:
    listen, peer, control = (free_address() for _ in range(3))
    return SETTINGS.format(listen=listen, peer=peer, control=control, platform=platform)


class Process:
    """A running daemon and its callers' address."""

    def __init__(self, process, address: str):
        self.process = process
        self.address = address
        self.output = b""

    async def read_output(self):
        async for data in self.process.stderr:
            self.output += data

    async def call(self, path="/prenota/1"):
        key = (b"authorization", b"Bearer " + KEY.text.encode())
        return await fetch(self.address, "POST", path, [key], timeout_s=10.0)

    async def until_served(self):
        with trio.fail_after(20):
            while True:
                if self.process.poll() is not None:
                    raise ChildProcessError(f"status {self.process.returncode}")
                with contextlib.suppress(HttpError):
                    if (await self.call("/prenota/ready"))[0].status == 200:
                        return
                await trio.sleep(0.05)

    async def until_said(self, text: bytes):
        with trio.fail_after(20):
            while text not in self.output:
                await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_process(program=PROGRAM):
    """Run the program with one target, whose calls take a second."""

    async def target(exchange):
        await trio.sleep(0.01 if "ready" in exchange.request.target else CALL_S)
        await exchange.reply(200, [], b"whole")

    memory = MemoryPlatform()
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        served = serving(PlatformServer(memory).handle)
        platform, _ = await stack.enter_async_context(served)
        target_address, _ = await stack.enter_async_context(serving(target))
        segments = to_segments(document_with(target_address, service_time_s=CALL_S))
        await DocumentStore(memory).commit(Change(0, segments, "c1", "t", "", ""))
        text = make_settings_text(platform)
        settings = folder / "a-1.ini"
        settings.write_text(text)
        process = await trio.lowlevel.open_process(
            [sys.executable, *program, str(settings)], stderr=subprocess.PIPE
        )
        running = Process(process, parse_settings(text).listen)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(running.read_output)
                await running.until_served()
                yield running
                nursery.cancel_scope.cancel()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


class TestSignals(unittest.TestCase):
    """The entry daemon gets a signal that is not the first request to stop.

    A hangup ended it at once, whenever it came, with status -1, and cut all
    requests that it served; a further request to stop did so while it drained.
    The daemon took SIGTERM and SIGINT only, and the second of these was to hurry.
    """

    @on_real_clock
    async def test_hangup_cuts_no_request(self):
        async with running_process() as running:
            await self.call_during(running, signal.SIGHUP)
            self.assertIsNone(running.process.poll())
            await running.until_said(b"settings are only read at startup")

    @on_real_clock
    async def test_signals_while_stopping_cut_no_request(self):
        async with running_process() as running:
            stop, hangup = signal.SIGTERM, signal.SIGHUP
            await self.call_during(running, stop, hangup, stop, signal.SIGINT)
            await running.until_said(b"stopped")
            self.assertEqual(await running.process.wait(), 0)

    @on_real_clock
    async def test_request_to_stop_repeated_until_the_end_is_no_failure(self):
        """A supervisor that asks until the process is gone sees a failed stop."""
        async with running_process() as running:
            with trio.fail_after(20):
                while running.process.poll() is None:
                    running.process.send_signal(signal.SIGTERM)
                    await trio.sleep(0.001)
            self.assertEqual(running.process.returncode, 0)

    @on_real_clock
    async def test_hangup_ends_no_start(self):
        async with running_process(("-c", SIGNALLED_AT_IMPORT)) as running:
            self.assertEqual((await running.call())[0].status, 200)

    async def call_during(self, running, *signals: int):
        answers = []

        async def call():
            answers.append(await running.call())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(CALL_S / 4)
            for number in signals:
                running.process.send_signal(number)
                await trio.sleep(0.05)
        self.assertEqual(answers[0][1], b"whole")


class TestStopThatBeganWithoutASignal(unittest.TestCase):
    @on_real_clock
    async def test_request_to_stop_does_not_end_it(self):
        """A VM that another run has replaced is told to stop, and cuts requests.

        It had begun to stop by itself when it heard of the other run. The first
        signal then counted as the second, which was to hurry: the daemon was
        cancelled in the middle of its stop.
        """
        ended = []

        async def stops_by_itself(settings, stop, ready):
            stop.set()
            await trio.sleep(0.05)
            signal.raise_signal(signal.SIGTERM)
            await trio.sleep(0.05)
            ended.append("as planned")

        for number in STOP_SIGNALS:
            # The run leaves them ignored, for its process is about to end.
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        text = make_settings_text(free_address()) + "[log]\nlevel = error\n"
        with mock.patch("plantainshed_entry.daemon.run_daemon", stops_by_itself):
            await run_until_signalled(parse_settings(text))
        self.assertEqual(ended, ["as planned"])
