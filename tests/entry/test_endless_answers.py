"""Tests of targets whose answers to the entry daemon never end."""

import unittest
from types import SimpleNamespace

import trio

from plantainshed_entry.http_probe import probe_over_http
from plantainshed_entry.relay import NOT_RUN_HEADER
from tests.endless_server import IN_THE_BODY, running_endless
from tests.entry.test_daemon import running_daemon
from tests.support import on_real_clock


class TestProbe(unittest.TestCase):
    @on_real_clock
    async def test_body_without_end_counts_as_unhealthy(self):
        """Guards against a health check that collects bytes until its timeout."""
        async with running_endless(*IN_THE_BODY["no length"]) as server:
            state = SimpleNamespace(
                target=SimpleNamespace(address=server.address),
                pool=SimpleNamespace(probe_path="/ready"),
            )
            with trio.fail_after(0.9):
                result = await probe_over_http(state)
            self.assertFalse(result.healthy)
            with trio.fail_after(1):
                while server.open_connections:
                    await trio.sleep(0.01)


class TestRelay(unittest.TestCase):
    @on_real_clock
    async def test_request_that_was_not_run_is_refused_at_once(self):
        """Guards against callers who wait for the end of an answer without one."""

        async def turn_away(exchange):
            if exchange.request.target == "/prenota/ready":
                await exchange.reply(200, [], b"")
                return
            await exchange.start(503, [(NOT_RUN_HEADER, b"1")])
            with trio.move_on_after(5):
                while True:
                    await exchange.send(b"bytes")
                    await trio.sleep(0.01)

        async with running_daemon(turn_away) as running:
            with trio.fail_after(2):
                head, _ = await running.call()
            self.assertEqual(head.status, 503)
