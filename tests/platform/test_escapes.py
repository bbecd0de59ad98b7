"""Requests that must not end the gateway or the requests of other callers."""

import re
import signal
import unittest

import trio

from tests.platform.platform_support import HOST, KEY
from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock


class TestMalformedRequests(unittest.TestCase):
    """Guards against one caller's malformed request ending all other requests.

    The server raised an exception while it refused the request, or the handler did
    while it read it. The exception left the connection's task and its nursery and
    ended the process.
    """

    @on_real_clock
    async def test_head_with_an_invalid_target(self):
        await self.check_other_request_completes(b"HEAD * HTTP/1.1\r\nhost: x\r\n\r\n")

    @on_real_clock
    async def test_head_whose_caller_disconnects_in_the_body(self):
        await self.check_other_request_completes(
            b"HEAD /read/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n12"
        )

    @on_real_clock
    async def test_lookup_whose_request_target_looks_like_an_address(self):
        await self.check_other_request_completes(
            b"GET //[ HTTP/1.1\r\nhost: x\r\n\r\n", "lookup"
        )

    @on_real_clock
    async def test_revision_with_too_many_digits(self):
        path = b"/state/configuration?after=" + 5000 * b"9"
        await self.check_other_request_completes(
            b"GET " + path + b" HTTP/1.1\r\nhost: x\r\n\r\n", "control"
        )

    async def check_other_request_completes(
        self, data: bytes, listener: str = "callers"
    ):
        async with running_daemon(run_time_s=0.6) as daemon:
            answers = []

            async def ask():
                answers.append(await daemon.ask("/book/1", "POST"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await daemon.until_request_runs()
                host, _, port = self.address_of(daemon, listener).rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(data)
                    await stream.send_eof()
                    with trio.move_on_after(2):
                        await stream.receive_some(1000)
            self.assertEqual(answers[0][0], 200)
            self.assertIsNone(daemon.process.poll())

    def address_of(self, daemon, listener: str) -> str:
        if listener != "control":
            return getattr(daemon, listener)
        return re.search(r"(?m)^control = (.*)$", daemon.settings.read_text())[1]


class TestRequestReceivedLateInAStop(unittest.TestCase):
    @on_real_clock
    async def test_it_is_answered_or_refused(self):
        """Guards against losing a request whose head arrives slowly during a stop.

        The VM accepts the connection in the first half of the stop, and the rest
        of the head arrives late in the second half. The VM forwarded the request
        although targets need longer than the remaining time, and then canceled it
        without an answer.
        """
        async with running_daemon(run_time_s=0.6) as daemon:
            host, _, port = daemon.callers.rpartition(":")
            head = (
                f"POST /book/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: r-2\r\n"
                f"affinity-key: 7\r\nauthorization: Bearer {KEY}\r\n"
                "content-length: 0\r\n\r\n"
            ).encode()
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(head[:40])
                await trio.sleep(0.1)
                daemon.process.send_signal(signal.SIGTERM)
                await daemon.until_line("no new connections")
                await trio.sleep(0.9)
                await stream.send_all(head[40:])
                try:
                    answer = await stream.receive_some(1000)
                except trio.BrokenResourceError as error:
                    answer = repr(error).encode()
            await daemon.until_line("stop")
            messages = [line["message"] for line in daemon.lines]
            self.assertRegex(answer, rb"^HTTP/1\.1 \d{3} ", messages[-6:])


class TestStopWithUnreadOutput(unittest.TestCase):
    @on_real_clock
    async def test_process_exits_cleanly(self):
        async with running_daemon(reads_output=False) as daemon:
            for _ in range(600):
                await daemon.ask("/open/1")
            daemon.process.send_signal(signal.SIGTERM)
            with trio.fail_after(6):
                self.assertEqual(await daemon.process.wait(), 0)
