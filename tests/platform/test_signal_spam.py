"""Signals without a pause until the process has ended."""

import signal
import unittest

import trio

from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock


class TestSignalsToTheLastMoment(unittest.TestCase):
    @on_real_clock
    async def test_hangups(self):
        await self.ends_in_order(signal.SIGHUP)

    @on_real_clock
    async def test_requests_to_stop(self):
        """Failed with status -15 on 03c2463; 7c680fe mended it meanwhile."""
        await self.ends_in_order(signal.SIGTERM)

    async def ends_in_order(self, number: int):
        for _ in range(3):
            async with running_daemon() as daemon:
                daemon.process.send_signal(signal.SIGTERM)
                await daemon.until_line("no new connections")
                with trio.fail_after(10):
                    while daemon.process.poll() is None:
                        daemon.process.send_signal(number)
                        await trio.sleep(0.0005)
                self.assertEqual(daemon.process.returncode, 0)
