import unittest

import trio

from plantainshed_gateway.errors import StoreUnavailable
from plantainshed_gateway.ports import Collection
from plantainshed_platform.store import ObjectStore
from tests.http_support import serving
from tests.support import on_real_clock

KEPT = 3


class SilencingStore:
    """Answers until it is told to forget the connections that are open."""

    def __init__(self):
        self.open: set[object] = set()
        self.silent: set[object] = set()
        self.together = trio.Event()

    async def handle(self, exchange):
        connection = exchange._connection
        if connection in self.silent:
            await trio.sleep_forever()
        self.open.add(connection)
        if len(self.open) == KEPT:
            self.together.set()
        await self.together.wait()
        await exchange.reply(200, [], b'{"items": [], "currentRev": 7}')


class TestSilentConnections(unittest.TestCase):
    @on_real_clock
    async def test_kept_connections_are_given_up_together(self):
        """Each connection that was kept cost a time-out of its own."""
        standin = SilencingStore()
        async with serving(standin.handle) as (address, _):
            store = ObjectStore(address)
            async with trio.open_nursery() as nursery:
                for _ in range(KEPT):
                    nursery.start_soon(store.list, Collection.TARGETS)
            standin.silent = set(standin.open)
            with self.assertRaises(StoreUnavailable):
                await store.list(Collection.TARGETS)
            snapshot = await store.list(Collection.TARGETS)
            self.assertEqual(snapshot.revision, 7)
