import io
import unittest

import trio

from plantainshed_gateway.connections import TargetConnections
from plantainshed_gateway.distance_prober import DistanceProber
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.selection.registry import Registry
from plantainshed_http.errors import ConnectFailed
from plantainshed_http.messages import ResponseHead
from tests.gateway.gateway_support import (
    make_configuration,
    make_entry,
    make_reach,
    make_round_trips,
    make_route,
)
from tests.support import on_mock_clock

CONNECT_S = 0.11
TEN_SECONDS_KEEP_ALIVE = ResponseHead(200, [(b"keep-alive", b"timeout=10")])


class FakeConnection:
    reusable = True
    stale = False

    def __init__(self):
        self.idle_s = 0.0

    def close(self):
        pass


class Targets:
    """Connections of one VM to targets that are a round trip away."""

    def __init__(self, count: int):
        self.opened = 0
        self.registry = Registry({"mil-a": "lombardia"})
        self.registry.update_configuration(make_configuration(make_route()))
        entries = [make_entry(f"i-{n}") for n in range(count)]
        self.registry.update_entries(entries, may_have_expired=False)
        self.states = list(self.registry.states.values())
        self.round_trips = make_round_trips()
        self.connections = TargetConnections(
            self.round_trips, make_reach(), self.connect
        )

    async def connect(self, address, timeout_s):
        self.opened += 1
        await trio.sleep(CONNECT_S)
        return FakeConnection()

    async def exchange(self, state, is_idempotent=False, run_time_s=0.2) -> bool:
        """Run one exchange; return whether it had to wait for a connection."""
        began_at = trio.current_time()
        connection = await self.connections.acquire(state, is_idempotent)
        waited = trio.current_time() > began_at
        await trio.sleep(run_time_s)
        self.connections.release(state, connection, TEN_SECONDS_KEEP_ALIVE)
        return waited


class TestConnectionReuse(unittest.TestCase):
    """Reuse of connections by non-idempotent requests, some seconds apart.

    Each request opened a new connection, which costs one more round trip, because a
    connection that was idle for a second might be closed as the request is sent.
    """

    @on_mock_clock
    async def test_connection_is_reused_within_the_idle_timeout(self):
        targets = Targets(1)
        await targets.exchange(targets.states[0])
        for _ in range(5):
            await trio.sleep(4)
            self.assertFalse(await targets.exchange(targets.states[0]))
        await trio.sleep(7)
        self.assertTrue(await targets.exchange(targets.states[0]))

    @on_mock_clock
    async def test_early_break_shortens_reuse_for_a_while(self):
        targets = Targets(1)
        state, connections = targets.states[0], targets.connections
        await targets.exchange(state)
        connections.note_broken(state, idle_s=0.4, after_s=0.1)
        await trio.sleep(0.3)
        self.assertTrue(await targets.exchange(state))
        await trio.sleep(0.1)
        self.assertFalse(await targets.exchange(state))
        await trio.sleep(9)
        await targets.exchange(state)
        await trio.sleep(3)
        self.assertFalse(await targets.exchange(state))

    @on_mock_clock
    async def test_break_during_a_run_does_not_shorten_reuse(self):
        targets = Targets(1)
        state, connections = targets.states[0], targets.connections
        await targets.exchange(state)
        connections.note_broken(state, idle_s=0.4, after_s=0.6)
        await trio.sleep(3)
        self.assertFalse(await targets.exchange(state))


class TestDistanceProber(unittest.TestCase):
    async def run_five_seconds(self, targets: Targets):
        log = DecisionLog("vm-0", "mil-a", io.StringIO())
        prober = DistanceProber(
            targets.registry, targets.connections, targets.round_trips, log
        )
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                prober.measure_unknown(nursery)
                await trio.sleep(0.25)

    @on_mock_clock
    async def test_each_domain_is_measured_once_before_any_request(self):
        """Guards against placing the first requests with an unknown round trip."""
        targets = Targets(5)
        await self.run_five_seconds(targets)
        self.assertEqual(targets.opened, 1)
        self.assertAlmostEqual(targets.round_trips.known_s("mil-a"), CONNECT_S)

    @on_mock_clock
    async def test_unresponsive_domain_is_measured_again(self):
        """Guards against a round trip that stays unknown after one lost packet."""
        targets = Targets(1)

        async def refuse(address, timeout_s):
            targets.opened += 1
            raise ConnectFailed("no answer")

        targets.connections.connect = refuse
        await self.run_five_seconds(targets)
        self.assertEqual(targets.opened, 5)
