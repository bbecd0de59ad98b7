"""Tests that unexpected answers of the store do not end a VM."""

import unittest

from plantainshed_gateway.errors import StoreUnavailable
from plantainshed_gateway.ports import Collection
from plantainshed_platform.store import ObjectStore
from tests.http_support import serving
from tests.support import on_real_clock


class TestUnexpectedAnswers(unittest.TestCase):
    """`Follower.run` and `_sync_vms` await these calls and catch `StoreUnavailable`.

    Any other exception leaves their task and the nursery and ends the process.
    """

    @on_real_clock
    async def test_success_without_a_body(self):
        await self.check_raises_unavailable(200, b"")

    @on_real_clock
    async def test_success_with_an_unexpected_body(self):
        await self.check_raises_unavailable(200, b"[]")

    @on_real_clock
    async def test_conflict_for_a_read(self):
        await self.check_raises_unavailable(409, b"{}")

    @on_real_clock
    async def test_gone_for_a_list(self):
        await self.check_raises_unavailable(410, b"{}")

    async def check_raises_unavailable(self, status: int, body: bytes):
        async def answer(exchange):
            await exchange.reply(status, [], body)

        async with serving(answer) as (address, _):
            with self.assertRaises(StoreUnavailable):
                await ObjectStore(address).list(Collection.VMS, allow_stale=True)
