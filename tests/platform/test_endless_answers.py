"""Tests of targets whose answers never end."""

import contextlib
import unittest

import trio

from plantainshed_gateway.reasons import Reason
from plantainshed_gateway.response_progress import ResponseProgress
from plantainshed_gateway.selection.registry import FAILURES_TO_EJECT
from plantainshed_http.errors import ConnectionBroken
from tests.endless_server import (
    BEFORE_THE_BODY,
    CHUNKED,
    IN_THE_BODY,
    EndlessServer,
    running_endless,
)
from tests.platform.platform_support import LoopbackSystem, entry, running_system
from tests.support import on_mock_clock, on_real_clock

TURNED_AWAY = (
    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: request\r\n" + CHUNKED
)
SIGNED = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: request\r\n"
CHUNK = b"5\r\nbytes\r\n"
# The timeout of the route and the time that it may be exceeded by.
LONGEST_S = 1.2 + 0.5


@contextlib.asynccontextmanager
async def system_with(first: bytes, repeated: bytes, pause_s: float = 0.0):
    """Run a gateway with one endless and one sound target."""
    async with (
        running_system(1) as system,
        running_endless(first, repeated, pause_s) as server,
    ):
        fields = entry(system.targets[0], addr=server.address)
        system.store.put("servers", "i-endless", fields)
        await system.until(lambda: "i-endless" in system.gateway.registry.states)
        system.gateway.registry.states["i-endless"].cold_until = 0.0
        system.gateway.registry.states["i-endless"].ramp_from = float("-inf")
        system.gateway.registry.generation += 1
        yield system, server


async def ask_until_reached(system: LoopbackSystem, server: EndlessServer, **request):
    """Ask for objects until the endless target gets a request; return the status."""
    for number in range(100):
        with trio.fail_after(LONGEST_S):
            status, _, _ = await system.ask(affinity_key=str(number), **request)
        if server.requests:
            return status
    raise AssertionError("the endless target got no request")


async def until_closed(server: EndlessServer):
    with trio.fail_after(LONGEST_S):
        while server.open_connections:
            await trio.sleep(0.01)


class TestAnswersWithoutEnd(unittest.TestCase):
    """A target in trouble sends bytes until its connection is closed."""

    @on_real_clock
    async def test_another_target_answers(self):
        """Guards against callers that wait for their deadline beside sound targets."""
        kinds = BEFORE_THE_BODY | {"unsigned body": IN_THE_BODY["chunks"]}
        for name, (first, repeated) in kinds.items():
            with self.subTest(name):
                async with system_with(first, repeated) as (system, server):
                    self.assertEqual(await ask_until_reached(system, server), 200)
                    await until_closed(server)

    @on_real_clock
    async def test_request_that_was_turned_away_is_tried_elsewhere(self):
        """Guards against an outcome that is unknown though the head tells it."""
        for pause_s in (0.0, 0.2):
            with self.subTest(pause_s=pause_s):
                async with system_with(TURNED_AWAY, CHUNK, pause_s) as parts:
                    system, server = parts
                    status = await ask_until_reached(
                        system,
                        server,
                        path="/book/1",
                        method="POST",
                        body=b"seat",
                        request_id="request",
                    )
                    self.assertEqual(status, 200)
                    await until_closed(server)

    @on_real_clock
    async def test_signed_body_is_cut_at_the_deadline(self):
        """Guards against an answer that looks complete or never ends."""
        async with system_with(SIGNED + CHUNKED, CHUNK) as (system, server):
            status = 504
            with contextlib.suppress(ConnectionBroken):
                status = await ask_until_reached(system, server, request_id="request")
            self.assertEqual(status, 504)
            await until_closed(server)


class TestEjection(unittest.TestCase):
    """A target answers 200 at once and never ends its bodies."""

    @on_real_clock
    async def test_target_is_ejected_and_stays_on_trial(self):
        """Guards against a target that keeps its share of requests though none ends."""
        async with system_with(SIGNED + CHUNKED, CHUNK, 0.1) as (system, _):
            state = system.gateway.registry.states["i-endless"]
            for _ in range(FAILURES_TO_EJECT):
                self.assertFalse(state.is_ejected)
                await self.ask_endless(system)
            self.assertTrue(state.is_ejected)
            await system.until(lambda: not state.is_ejected)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask_endless, system)
                await system.until(lambda: call_has_begun(state))
                self.assertTrue(state.is_on_trial)
                self.assertFalse(state.is_usable_at(trio.current_time()))
            self.assertTrue(state.is_ejected)
            failed = system.lines("attempt failed")
            self.assertEqual({f["reason"] for f in failed}, {Reason.UNENDED_ANSWER})

    @on_real_clock
    async def test_caller_that_leaves_and_a_cut_do_not_count(self):
        """Guards against sound targets that are ejected for others' faults."""
        async with system_with(SIGNED + CHUNKED, CHUNK, 0.1) as (system, _):
            state = system.gateway.registry.states["i-endless"]
            with trio.move_on_after(0.8):
                await self.ask_endless(system)
            await system.until(lambda: system.lines("dropped"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask_endless, system)
                await system.until(lambda: call_has_begun(state))
                system.gateway.reach.is_cut_off = True
            self.assertEqual(state.failures, 0)

    async def ask_endless(self, system: LoopbackSystem):
        for other in system.gateway.registry.states.values():
            if other.entry.instance != "i-endless":
                other.ejected_until = trio.current_time() + 2
        with contextlib.suppress(ConnectionBroken):
            await system.ask(request_id="request")


def call_has_begun(state) -> bool:
    return bool(state.in_flight) and state.answered_at > trio.current_time() - 0.1


class TestProgress(unittest.TestCase):
    @on_mock_clock
    async def test_time_that_a_slow_caller_takes_is_not_the_targets(self):
        """Guards against callers that get targets ejected by reading slowly."""

        async def chunks():
            for _ in range(3):
                await trio.sleep(1)
                yield b"chunk"

        progress = ResponseProgress(has_begun=True)
        async for _ in progress.track(chunks()):
            await trio.sleep(10)
            self.assertLess(progress.target_s(0.0), 3.5)
        self.assertAlmostEqual(progress.target_s(0.0), 3.0)
        self.assertFalse(progress.has_begun)
