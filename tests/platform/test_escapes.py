"""What a caller, or a settings file, must not be able to end the gateway with."""

import re
import signal
import unittest

import trio

from tests.platform.platform_support import HOST, KEY
from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock


class TestRequestsThatEndTheProcess(unittest.TestCase):
    """One caller's odd request cuts the requests of all others.

    The server raises while it refuses, or the handler while it reads; the error
    leaves the connection's task, its nursery, and the process.
    """

    @on_real_clock
    async def test_head_with_a_target_that_is_refused(self):
        await self.cuts_no_other(b"HEAD * HTTP/1.1\r\nhost: x\r\n\r\n")

    @on_real_clock
    async def test_head_whose_caller_leaves_in_its_body(self):
        await self.cuts_no_other(
            b"HEAD /read/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n12"
        )

    @on_real_clock
    async def test_lookup_whose_target_looks_like_an_address(self):
        await self.cuts_no_other(b"GET //[ HTTP/1.1\r\nhost: x\r\n\r\n", "lookup")

    @on_real_clock
    async def test_revision_of_too_many_digits(self):
        path = b"/state/configuration?after=" + 5000 * b"9"
        await self.cuts_no_other(
            b"GET " + path + b" HTTP/1.1\r\nhost: x\r\n\r\n", "control"
        )

    async def cuts_no_other(self, data: bytes, where: str = "callers"):
        async with running_daemon(takes_s=0.6) as daemon:
            answers = []

            async def ask():
                answers.append(await daemon.ask("/book/1", "POST"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await daemon.until_running()
                host, _, port = self.address_of(daemon, where).rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(data)
                    await stream.send_eof()
                    with trio.move_on_after(2):
                        await stream.receive_some(1000)
            self.assertEqual(answers[0][0], 200)
            self.assertIsNone(daemon.process.poll())

    def address_of(self, daemon, where: str) -> str:
        if where != "control":
            return getattr(daemon, where)
        return re.search(r"(?m)^control = (.*)$", daemon.settings.read_text())[1]


class TestRequestThatIsReadLateInAStop(unittest.TestCase):
    @on_real_clock
    async def test_it_is_answered_or_refused(self):
        """A caller whose head arrives slowly loses its request in a stop.

        Its connection was taken in the first half; the rest of its head comes
        late in the second. The VM passes it on although what is left of the time
        to stop is less than targets take, and breaks it off.
        """
        async with running_daemon(takes_s=0.6) as daemon:
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


class TestEndWithAStuckReader(unittest.TestCase):
    @on_real_clock
    async def test_stop_ends_in_order_though_nobody_reads(self):
        async with running_daemon(reads_lines=False) as daemon:
            for _ in range(600):
                await daemon.ask("/open/1")
            daemon.process.send_signal(signal.SIGTERM)
            with trio.fail_after(6):
                self.assertEqual(await daemon.process.wait(), 0)
