"""Tests new connections that are opened continuously while a VM stops."""

import unittest

import trio

from tests.platform.platform_support import HOST, KEY
from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock

WORKERS = 40


class TestConnectionsDuringStop(unittest.TestCase):
    @on_real_clock
    async def test_each_connection_that_opens_is_answered(self):
        """Guards against connection resets while a VM stops.

        Callers open a connection for each request. Connections that the system had
        accepted but the server had not were reset when the server closed its
        listening socket, after their request was sent.
        """
        counts = {"answered": 0, "refused to connect": 0, "reset after sending": 0}
        request = (
            f"GET /open/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: r-2\r\n"
            f"affinity-key: 7\r\nauthorization: Bearer {KEY}\r\n\r\n"
        ).encode()

        async def send_requests(daemon):
            host, _, port = daemon.callers.rpartition(":")
            while True:
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    counts["refused to connect"] += 1
                    return
                async with stream:
                    try:
                        await stream.send_all(request)
                        answer = await stream.receive_some(1000)
                    except trio.BrokenResourceError:
                        answer = b""
                    counts["answered" if answer else "reset after sending"] += 1

        async with running_daemon() as daemon:
            async with trio.open_nursery() as nursery:
                for _ in range(WORKERS):
                    nursery.start_soon(send_requests, daemon)
                await trio.sleep(0.2)
                daemon.process.terminate()
            await daemon.until_line("stop")
        self.assertEqual(counts["reset after sending"], 0, counts)
