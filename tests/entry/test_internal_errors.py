"""An internal error of the entry daemon must affect only one request."""

import contextlib
import unittest
from unittest import mock

import trio

from plantainshed_entry.admission import Admission
from plantainshed_entry.handlers import Handlers
from plantainshed_entry.relay import HttpRelay
from plantainshed_http.client import fetch
from plantainshed_http.errors import ConnectionBroken
from tests.entry.test_daemon import running_daemon
from tests.support import on_real_clock

LOGGER = "plantainshed.a-1"


class TestInternalErrors(unittest.TestCase):
    @on_real_clock
    async def test_error_before_the_answer(self):
        fault = mock.patch.object(
            Admission, "take_rate_token", side_effect=KeyError("x")
        )
        async with self.other_requests_unaffected(fault) as running:
            head, body = await running.call(path="/prenota/2")
        self.assertEqual((head.status, body), (502, b"internal error\n"))
        self.assertEqual(head.header(b"plantainshed-outcome"), "unknown")

    @on_real_clock
    async def test_error_on_a_path_of_the_daemon(self):
        fault = mock.patch.object(Handlers, "_set_gauges", side_effect=KeyError("x"))
        async with self.other_requests_unaffected(fault) as running:
            head, _ = await fetch(running.address, "GET", "/metrics")
        self.assertEqual(head.status, 502)

    @on_real_clock
    async def test_error_during_the_answer(self):
        async def send_half(relay, call, state, connection, head):
            await call.exchange.start(200, [(b"content-length", b"10")])
            await call.exchange.send(b"half")
            raise KeyError("x")

        fault = mock.patch.object(HttpRelay, "_relay_response", send_half)
        async with self.other_requests_unaffected(fault) as running:
            with self.assertRaises(ConnectionBroken):
                await running.call(path="/prenota/2")

    @contextlib.asynccontextmanager
    async def other_requests_unaffected(self, fault):
        """Check that another caller is served while the block causes an error."""
        arrived, error_raised, answers = trio.Event(), trio.Event(), []

        async def target(exchange):
            if exchange.request.target == "/prenota/1":
                arrived.set()
                await error_raised.wait()
            await exchange.reply(200, [], b"whole")

        async with running_daemon(target) as running:

            async def call():
                answers.append(await running.call())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await arrived.wait()
                with self.assertLogs(LOGGER, "ERROR") as logs, fault:
                    yield running
                error_raised.set()
            self.assertEqual(answers[0][1], b"whole")
            self.assertEqual((await running.call())[1], b"whole")
        self.assertEqual([r.getMessage() for r in logs.records], ["internal error"])
        self.assertIs(logs.records[0].exc_info[0], KeyError)
