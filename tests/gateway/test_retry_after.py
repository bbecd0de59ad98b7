"""Tests of targets that want no requests of this VM for a while."""

import unittest

import trio

from plantainshed_gateway.errors import AttemptFailed
from plantainshed_gateway.forwarding import Forwarder
from plantainshed_gateway.metrics import Metrics
from plantainshed_gateway.selection.registry import usable_among
from tests.gateway.gateway_support import RecordingLog, make_call, make_limits
from tests.gateway.selection.test_placement import ROUTE, make_registry
from tests.support import on_mock_clock


class SlowConnections:
    """Connections that take a second to open; the target asks for a pause meanwhile."""

    def __init__(self):
        self.kept = []

    async def acquire(self, state, is_idempotent):
        await trio.sleep(0.5)
        state.note_retry_after(3.0)
        await trio.sleep(0.5)
        return object()

    def keep(self, state, connection):
        self.kept.append(connection)


class TestUsableTargets(unittest.TestCase):
    @on_mock_clock
    async def test_target_is_left_out_until_the_time_is_over(self):
        states = list(make_registry(4).states.values())
        states[0].note_retry_after(3.0)
        states[0].note_retry_after(1.0)
        await trio.sleep(2.9)
        self.assertNotIn(states[0], usable_among(states))
        await trio.sleep(0.2)
        self.assertIn(states[0], usable_among(states))

    @on_mock_clock
    async def test_no_target_is_usable_if_none_wants_requests(self):
        """Guards against the rule that keeps a pool from becoming empty."""
        states = list(make_registry(4).states.values())
        for state in states:
            state.note_retry_after(3.0)
        self.assertEqual(usable_among(states), [])

    @on_mock_clock
    async def test_most_targets_are_ejected_and_others_want_no_requests(self):
        states = list(make_registry(4).states.values())
        states[0].note_retry_after(3.0)
        for state in states[1:]:
            state.note_unreachable()
        self.assertEqual(usable_among(states), states[1:])

    @on_mock_clock
    async def test_one_request_at_a_time_until_one_has_run(self):
        """Guards against a burst at the end of the time that is turned away again."""
        states = list(make_registry(4).states.values())
        state = states[0]
        state.note_retry_after(1.0)
        await trio.sleep(1.1)
        state.in_flight = 1
        self.assertNotIn(state, usable_among(states))
        state.note_success()
        self.assertIn(state, usable_among(states))

    @on_mock_clock
    async def test_answer_of_an_earlier_request_does_not_end_the_time(self):
        states = list(make_registry(4).states.values())
        states[0].note_retry_after(1.0)
        states[0].note_success()
        self.assertNotIn(states[0], usable_among(states))

    @on_mock_clock
    async def test_callers_are_told_when_the_first_target_wants_requests_again(self):
        registry = make_registry(3)
        for seconds, state in enumerate(registry.states.values(), 2):
            state.note_retry_after(float(seconds))
        wait_s = registry.wanted_after_s("calendario", frozenset())
        self.assertAlmostEqual(wait_s, 2.0)


class TestConnecting(unittest.TestCase):
    @on_mock_clock
    async def test_target_asks_for_a_pause_while_a_connection_opens(self):
        """Guards against requests that were placed before the target asked."""
        state = next(iter(make_registry(1).states.values()))
        connections = SlowConnections()
        forwarder = Forwarder(
            None, connections, make_limits(), Metrics(), RecordingLog()
        )
        with self.assertRaises(AttemptFailed) as caught:
            async with forwarder.forward(make_call(ROUTE), state):
                pass
        self.assertFalse(caught.exception.may_have_run)
        self.assertEqual(len(connections.kept), 1)
