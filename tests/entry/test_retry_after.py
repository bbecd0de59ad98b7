"""Tests of targets that turn requests away and say when to come back."""

import unittest

import trio

from plantainshed_entry.relay import NOT_RUN_HEADER, retry_after_s
from plantainshed_entry.targets import TargetState
from plantainshed_http.messages import ResponseHead
from plantainshed_model.document import Pool, Target
from tests.entry.test_daemon import running_daemon
from tests.support import on_mock_clock, on_real_clock

POOL = Pool("calendario", "/calendario", slots=9, connections=400, service_time_s=0.3)


class TestHeader(unittest.TestCase):
    def test_number_of_seconds(self):
        for text, seconds in (("3", 3.0), ("0.5", 0.5)):
            head = ResponseHead(503, [(b"retry-after", text.encode())])
            self.assertEqual(retry_after_s(head), seconds)

    def test_other_values_and_other_answers(self):
        for text in (
            "",
            "-1",
            "nan",
            "1e3",
            "Fri, 04 Dec 2026 10:00:00 GMT",
            "9" * 400,
        ):
            head = ResponseHead(503, [(b"retry-after", text.encode())])
            self.assertIsNone(retry_after_s(head), text[:30])
        self.assertIsNone(retry_after_s(ResponseHead(200, [(b"retry-after", b"3")])))
        self.assertIsNone(retry_after_s(ResponseHead(503, [])))


class TestTargetState(unittest.TestCase):
    @on_mock_clock
    async def test_later_and_shorter_time_does_not_end_the_first(self):
        state = TargetState(Target("t-1", POOL.name, "a", "10.0.0.1:80"), POOL)
        self.assertTrue(state.wants_requests)
        state.note_retry_after(3.0)
        state.note_retry_after(1.0)
        await trio.sleep(2.9)
        self.assertFalse(state.wants_requests)
        await trio.sleep(0.2)
        self.assertTrue(state.wants_requests)


class TestDaemon(unittest.TestCase):
    @on_real_clock
    async def test_target_gets_nothing_for_the_time(self):
        """Guards against requests and health checks at a target that wants none."""
        arrivals = []

        async def turn_away(exchange):
            if exchange.request.target == "/prenota/ready":
                await exchange.reply(200, [], b"")
                return
            arrivals.append(trio.current_time())
            headers = [(NOT_RUN_HEADER, b"1"), (b"retry-after", b"2")]
            await exchange.reply(503, headers, b"")

        async with running_daemon(turn_away) as running:
            statuses = []
            while not arrivals or trio.current_time() < arrivals[0] + 1.5:
                head, _ = await running.call()
                statuses.append(head.status)
                self.assertIsNotNone(head.header(b"retry-after"))
            self.assertEqual(set(statuses), {503})
            self.assertEqual(len(arrivals), 1)
            await trio.sleep_until(arrivals[0] + 2.1)
            await running.call()
            self.assertGreater(len(arrivals), 1)
