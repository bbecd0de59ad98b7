"""Tests of the platform client against the stand-in platform server."""

import unittest

import trio

from plantainshed_coordination.errors import (
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from plantainshed_coordination.platform import ABSENT, ListedVm
from plantainshed_http.platform_client import HttpPlatform
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer
from tests.http_support import serving
from tests.support import on_real_clock


class TestHttpPlatform(unittest.TestCase):
    @on_real_clock
    async def test_conditional_writes(self):
        async with serving(PlatformServer(MemoryPlatform()).handle) as (address, _):
            platform = HttpPlatform(address)
            version = await platform.put("k", "n", b"one", ABSENT)
            with self.assertRaises(VersionConflict):
                await platform.put("k", "n", b"two", ABSENT)
            newer = await platform.put("k", "n", b"two", version)
            self.assertGreater(newer, version)
            stored = await platform.get("k", "n")
            self.assertEqual((stored.value, stored.version), (b"two", newer))
            with self.assertRaises(ObjectMissing):
                await platform.get("k", "other")

    @on_real_clock
    async def test_watch_returns_the_next_version(self):
        async with serving(PlatformServer(MemoryPlatform()).handle) as (address, _):
            platform = HttpPlatform(address)
            version = await platform.put("k", "n", b"one", ABSENT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(platform.put, "k", "n", b"two", version)
                stored = await platform.wait_for_change("k", "n", version)
            self.assertEqual(stored.value, b"two")

    @on_real_clock
    async def test_lost_response_to_a_write_means_unknown_outcome(self):
        memory = MemoryPlatform()
        async with serving(PlatformServer(memory).handle) as (address, _):
            platform = HttpPlatform(address)
            memory.faults.lose_answers = 1
            with self.assertRaises(OutcomeUnknown):
                await platform.put("k", "n", b"one", ABSENT)
            self.assertEqual((await platform.get("k", "n")).value, b"one")

    @on_real_clock
    async def test_server_error_after_a_write_means_unknown_outcome(self):
        """Guards against undoing a write that was stored behind an error status."""
        memory = MemoryPlatform()

        async def answer_with_gateway_timeout(exchange):
            value = await exchange.read_body(100)
            await memory.put("k", "n", value, ABSENT)
            await exchange.reply(504, [])

        async with serving(answer_with_gateway_timeout) as (address, _):
            with self.assertRaises(OutcomeUnknown):
                await HttpPlatform(address).put("k", "n", b"one", ABSENT)

    @on_real_clock
    async def test_vm_list_and_outage(self):
        memory = MemoryPlatform()
        memory.vms["a-1"] = ListedVm("a-1", leaving=True)
        async with serving(PlatformServer(memory).handle) as (address, _):
            platform = HttpPlatform(address)
            self.assertEqual(await platform.list_vms(), [ListedVm("a-1", True)])
            await memory.set_down(True)
            with self.assertRaises(PlatformUnavailable):
                await platform.get("k", "n")
        with self.assertRaises(PlatformUnavailable):
            await HttpPlatform("127.0.0.1:1").get("k", "n")
