import unittest

import trio

from plantainshed_gateway.errors import StoreUnavailable
from plantainshed_gateway.ports import Collection
from plantainshed_platform.store import ObjectStore
from tests.http_support import serving
from tests.support import on_real_clock

IDLE_CONNECTIONS = 3


class SilencingStore:
    """A store that can stop answering on the connections that are open.

    The first answers wait until all connections are open, so that the client
    opens that many.
    """

    def __init__(self):
        self.open: set[object] = set()
        self.silent: set[object] = set()
        self.all_open = trio.Event()

    async def handle(self, exchange):
        connection = exchange._connection
        if connection in self.silent:
            await trio.sleep_forever()
        self.open.add(connection)
        if len(self.open) == IDLE_CONNECTIONS:
            self.all_open.set()
        await self.all_open.wait()
        await exchange.reply(200, [], b'{"items": [], "currentRev": 7}')


class TestSilentConnections(unittest.TestCase):
    @on_real_clock
    async def test_idle_connections_are_closed_together(self):
        """Guards against waiting for a separate timeout on each idle connection."""
        standin = SilencingStore()
        async with serving(standin.handle) as (address, _):
            store = ObjectStore(address)
            async with trio.open_nursery() as nursery:
                for _ in range(IDLE_CONNECTIONS):
                    nursery.start_soon(store.list, Collection.TARGETS)
            standin.silent = set(standin.open)
            with self.assertRaises(StoreUnavailable):
                await store.list(Collection.TARGETS)
            snapshot = await store.list(Collection.TARGETS)
            self.assertEqual(snapshot.revision, 7)
