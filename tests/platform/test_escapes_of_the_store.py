"""Tests that unexpected answers of the store do not end a VM."""

import math
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

    @on_real_clock
    async def test_deeply_nested_list(self):
        await self.check_raises_unavailable(200, b"[" * 3000 + b"]" * 3000)

    async def check_raises_unavailable(self, status: int, body: bytes):
        async def answer(exchange):
            await exchange.reply(status, [], body)

        async with serving(answer) as (address, _):
            with self.assertRaises(StoreUnavailable):
                await ObjectStore(address).list(Collection.VMS, allow_stale=True)


# Not valid: a lone surrogate, bytes that are no text, and numbers beyond 64 bits and
# beyond a double.
INVALID_VALUES = (
    b'{"a": "\\udcff"}',
    b'{"a": "\xff\xfe"}',
    b'{"a": [{"b": 1%s}]}' % (b"0" * 400),
    b'{"a": 1e400}',
)


class TestInvalidValues(unittest.TestCase):
    """Guards against one unreadable object that hides all changes of the others."""

    @staticmethod
    def encode(name: bytes, spec: bytes) -> bytes:
        return b'{"metadata": {"name": "%s", "rev": 7}, "spec": %s}' % (name, spec)

    @on_real_clock
    async def test_other_objects_of_a_list_and_a_watch_are_read(self):
        for invalid in INVALID_VALUES:
            objects = [
                self.encode(b"first", b'{"x": 1}'),
                self.encode(b"odd", invalid),
                self.encode(b"last", b'{"x": "\\u00e9"}'),
            ]
            events = [b'{"object": %s, "deleted": false}' % text for text in objects]
            end = b'], "currentRev": 9, "hasMore": false}'
            page = b'{"items": [' + b", ".join(objects) + end
            changes = b'{"events": [' + b", ".join(events) + end

            async def answer(exchange, page=page, changes=changes):
                is_watch = "watch=" in exchange.request.target
                await exchange.reply(200, [], changes if is_watch else page)

            async with serving(answer) as (address, _):
                store = ObjectStore(address)
                listed = (await store.list(Collection.TARGETS)).items
                watched = (await store.watch(Collection.TARGETS, 1, 0.0)).changes
            for items in (listed, [change.item for change in watched]):
                first, odd, last = items
                self.assertEqual((first.name, first.value), ("first", {"x": 1}))
                self.assertEqual((last.name, last.value), ("last", {"x": "\u00e9"}))
                self.assertIn(odd.value, (None, {"a": math.inf}))

    @on_real_clock
    async def test_next_page_starts_after_an_invalid_name(self):
        asked = []

        async def answer(exchange):
            asked.append(exchange.request.target)
            name = b"last" if "after=" in asked[-1] else b"a\\udcff"
            more = b"false" if "after=" in asked[-1] else b"true"
            end = b'], "currentRev": 9, "hasMore": %s}' % more
            await exchange.reply(
                200, [], b'{"items": [' + self.encode(name, b"4") + end
            )

        async with serving(answer) as (address, _):
            snapshot = await ObjectStore(address).list(Collection.TARGETS)
        names = [item.name for item in snapshot.items]
        self.assertEqual(names, ["a\\udcff", "last"])
        self.assertTrue(asked[1].endswith("after=a%ED%B3%BF"), asked[1])
