"""Requests of one caller that must not end the entry daemon."""

import unittest

import trio

from tests.entry.test_daemon import KEY
from tests.entry.test_signals import CALL_S, running_process
from tests.support import on_real_clock


class TestMalformedRequests(unittest.TestCase):
    """A malformed request must not cut off other callers' requests.

    The requests of these tests used to end the process.
    """

    @on_real_clock
    async def test_head_with_an_invalid_target(self):
        await self.check_other_request_completes(b"HEAD * HTTP/1.1\r\nhost: x\r\n\r\n")

    @on_real_clock
    async def test_head_whose_caller_disconnects_during_the_body(self):
        await self.check_other_request_completes(
            b"HEAD /prenota/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n12"
        )

    @on_real_clock
    async def test_request_without_a_host_header(self):
        await self.check_other_request_completes(
            b"GET /prenota/1 HTTP/1.0\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n"
        )

    @on_real_clock
    async def test_timeout_header_with_a_superscript_digit(self):
        await self.check_other_request_completes(
            b"GET /prenota/1 HTTP/1.1\r\nhost: x\r\nrequest-timeout-ms: \xb2\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n"
        )

    @on_real_clock
    async def test_lookup_for_an_invalid_address(self):
        await self.check_other_request_completes(
            b"GET /plantainshed/lookup?client=x&pool=y HTTP/1.1\r\nhost: x\r\n\r\n"
        )

    async def check_other_request_completes(self, data: bytes):
        async with running_process() as running:
            answers = []

            async def call():
                answers.append(await running.call())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(CALL_S / 4)
                host, _, port = running.address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(data)
                    with trio.move_on_after(0.3):
                        await stream.receive_some(1000)
            self.assertEqual(answers[0][1], b"whole")
            self.assertIsNone(running.process.poll())
