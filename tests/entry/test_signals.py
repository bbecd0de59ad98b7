"""Signal handling of the entry daemon, which runs in a separate process."""

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
# Runs the daemon and raises SIGHUP while it imports `trio`.
SIGHUP_DURING_IMPORT = """
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


class DaemonProcess:
    """A running daemon process and its address for callers."""

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

    async def wait_until_ready(self):
        with trio.fail_after(20):
            while True:
                if self.process.poll() is not None:
                    raise ChildProcessError(f"status {self.process.returncode}")
                with contextlib.suppress(HttpError):
                    if (await self.call("/prenota/ready"))[0].status == 200:
                        return
                await trio.sleep(0.05)

    async def wait_for_output(self, text: bytes):
        with trio.fail_after(20):
            while text not in self.output:
                await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_process(program=PROGRAM):
    """Run the daemon with one target that takes one second to answer."""

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
        running = DaemonProcess(process, parse_settings(text).listen)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(running.read_output)
                await running.wait_until_ready()
                yield running
                nursery.cancel_scope.cancel()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


class TestSignals(unittest.TestCase):
    """SIGHUP and repeated stop signals must not cut off requests.

    The daemon used to handle only SIGTERM and SIGINT. SIGHUP ended it at once
    with status -1 and cut off all requests. A second stop signal did the same
    during shutdown, because it was meant to speed up the shutdown.
    """

    @on_real_clock
    async def test_sighup_does_not_cut_off_requests(self):
        async with running_process() as running:
            await self.send_signals_during_call(running, signal.SIGHUP)
            self.assertIsNone(running.process.poll())
            await running.wait_for_output(b"settings are only read at startup")

    @on_real_clock
    async def test_signals_during_shutdown_do_not_cut_off_requests(self):
        async with running_process() as running:
            stop, hangup = signal.SIGTERM, signal.SIGHUP
            await self.send_signals_during_call(
                running, stop, hangup, stop, signal.SIGINT
            )
            await running.wait_for_output(b"stopped")
            self.assertEqual(await running.process.wait(), 0)

    @on_real_clock
    async def test_repeated_sigterm_until_the_exit_gives_status_0(self):
        """The exit status is 0 even if a supervisor repeats SIGTERM until the end."""
        async with running_process() as running:
            with trio.fail_after(20):
                while running.process.poll() is None:
                    running.process.send_signal(signal.SIGTERM)
                    await trio.sleep(0.001)
            self.assertEqual(running.process.returncode, 0)

    @on_real_clock
    async def test_sighup_during_import_is_ignored(self):
        async with running_process(("-c", SIGHUP_DURING_IMPORT)) as running:
            self.assertEqual((await running.call())[0].status, 200)

    async def send_signals_during_call(self, running, *signals: int):
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


class TestShutdownWithoutSignal(unittest.TestCase):
    @on_real_clock
    async def test_later_stop_signal_does_not_cancel_the_shutdown(self):
        """A signal must not cancel a shutdown that started without one.

        A superseded VM shuts down by itself. The first signal after that used
        to count as the second one, which was meant to speed up the shutdown:
        the daemon was cancelled in the middle of it and cut off requests.
        """
        completed = []

        async def shut_down_by_itself(settings, stop, ready):
            stop.set()
            await trio.sleep(0.05)
            signal.raise_signal(signal.SIGTERM)
            await trio.sleep(0.05)
            completed.append("as planned")

        for number in STOP_SIGNALS:
            # `run_until_signalled` leaves these signals ignored, because its
            # process normally ends afterwards.
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        text = make_settings_text(free_address()) + "[log]\nlevel = error\n"
        with mock.patch("plantainshed_entry.daemon.run_daemon", shut_down_by_itself):
            await run_until_signalled(parse_settings(text))
        self.assertEqual(completed, ["as planned"])
