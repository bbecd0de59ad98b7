"""What one caller must not be able to end the entry daemon with."""

import unittest

import trio

from tests.entry.test_daemon import KEY
from tests.entry.test_signals import CALL_S, running_process
from tests.support import on_real_clock


class TestRequestsThatEndTheProcess(unittest.TestCase):
    """One caller's odd request cuts the requests of all others."""

    @on_real_clock
    async def test_head_with_a_target_that_is_refused(self):
        await self.cuts_no_other(b"HEAD * HTTP/1.1\r\nhost: x\r\n\r\n")

    @on_real_clock
    async def test_head_whose_caller_leaves_in_its_body(self):
        await self.cuts_no_other(
            b"HEAD /prenota/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n12"
        )

    @on_real_clock
    async def test_request_without_a_host(self):
        await self.cuts_no_other(
            b"GET /prenota/1 HTTP/1.0\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n"
        )

    @on_real_clock
    async def test_deadline_that_is_a_digit_and_no_number(self):
        await self.cuts_no_other(
            b"GET /prenota/1 HTTP/1.1\r\nhost: x\r\nrequest-timeout-ms: \xb2\r\n"
            b"authorization: Bearer " + KEY.text.encode() + b"\r\n\r\n"
        )

    @on_real_clock
    async def test_lookup_for_what_is_no_address(self):
        await self.cuts_no_other(
            b"GET /plantainshed/lookup?client=x&pool=y HTTP/1.1\r\nhost: x\r\n\r\n"
        )

    async def cuts_no_other(self, data: bytes):
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
