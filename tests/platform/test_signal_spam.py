"""Tests signals that are sent continuously until the process has exited."""

import signal
import unittest

import trio

from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock


class TestSignalsUntilExit(unittest.TestCase):
    @on_real_clock
    async def test_hangups(self):
        await self.check_exits_cleanly(signal.SIGHUP)

    @on_real_clock
    async def test_stop_signals(self):
        """The process exited with status -15 on 03c2463; 7c680fe fixed it."""
        await self.check_exits_cleanly(signal.SIGTERM)

    async def check_exits_cleanly(self, signal_number: int):
        for _ in range(3):
            async with running_daemon() as daemon:
                daemon.process.send_signal(signal.SIGTERM)
                await daemon.until_line("no new connections")
                with trio.fail_after(10):
                    while daemon.process.poll() is None:
                        daemon.process.send_signal(signal_number)
                        await trio.sleep(0.0005)
                self.assertEqual(daemon.process.returncode, 0)
