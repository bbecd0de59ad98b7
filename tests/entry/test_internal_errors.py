"""A fault of the entry daemon's own costs one request, not all of them."""

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
    async def test_before_anything_was_sent(self):
        fault = mock.patch.object(Admission, "spend_rate", side_effect=KeyError("x"))
        async with self.cuts_no_other(fault) as running:
            head, body = await running.call(path="/prenota/2")
        self.assertEqual((head.status, body), (502, b"internal error\n"))
        self.assertEqual(head.header(b"plantainshed-outcome"), "unknown")

    @on_real_clock
    async def test_on_an_own_path(self):
        fault = mock.patch.object(Handlers, "_set_gauges", side_effect=KeyError("x"))
        async with self.cuts_no_other(fault) as running:
            head, _ = await fetch(running.address, "GET", "/metrics")
        self.assertEqual(head.status, 502)

    @on_real_clock
    async def test_in_the_middle_of_an_answer(self):
        async def answer_half(relay, call, state, connection, head):
            await call.exchange.start(200, [(b"content-length", b"10")])
            await call.exchange.send(b"half")
            raise KeyError("x")

        fault = mock.patch.object(HttpRelay, "_relay_response", answer_half)
        async with self.cuts_no_other(fault) as running:
            with self.assertRaises(ConnectionBroken):
                await running.call(path="/prenota/2")

    @contextlib.asynccontextmanager
    async def cuts_no_other(self, fault):
        """Serve another caller while the block meets a fault."""
        arrived, met, answers = trio.Event(), trio.Event(), []

        async def target(exchange):
            if exchange.request.target == "/prenota/1":
                arrived.set()
                await met.wait()
            await exchange.reply(200, [], b"whole")

        async with running_daemon(target) as running:

            async def call():
                answers.append(await running.call())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await arrived.wait()
                with self.assertLogs(LOGGER, "ERROR") as logs, fault:
                    yield running
                met.set()
            self.assertEqual(answers[0][1], b"whole")
            self.assertEqual((await running.call())[1], b"whole")
        self.assertEqual([r.getMessage() for r in logs.records], ["internal error"])
        self.assertIs(logs.records[0].exc_info[0], KeyError)
