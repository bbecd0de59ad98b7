"""Replicas of several VMs under random faults of the store and of peers."""

import random
import unittest

import trio

from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.freshness_poller import FreshnessPoller
from plantainshed_gateway.ports import Change, Changes, Collection, Item, Snapshot
from plantainshed_gateway.replication import Follower, Replica
from tests.gateway.gateway_support import RecordingLog
from tests.support import on_mock_clock

FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)
CALL_TIMEOUT_S = 1.0
POLL_S = 1.5
FAULT_PERIOD_S = 40.0
# Time until a VM that does not poll has received all changes from its peers.
RECOVERY_S = 12.0
CHECK_INTERVAL_S = 0.02


class FaultyStore:
    """A store that loses or rejects calls, lags, and expires its history.

    All collections share one revision counter, as in the real store.

    Attributes
    ----------
    mode : str
        ``normal``, ``silent`` or ``rejecting``.
    unanswered : list of Collection
        Collections whose pending watches are never answered.
    lag : int
        Maximum number of revisions by which a response to a watch or poll may be
        outdated.
    oldest : int
        Changes up to this revision are no longer available.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.revision = 10
        self.history: list[tuple[Collection, Change]] = []
        self.changed = trio.Event()
        self.heal()
        self.oldest = 0

    def heal(self):
        self.mode, self.unanswered, self.lag = "normal", [], 0

    def put(self, collection: Collection, name: str, is_deleted: bool):
        self.revision += 1
        item = Item(name, self.revision, self.revision)
        self.history.append((collection, Change(item, is_deleted)))
        self.changed.set()
        self.changed = trio.Event()

    def items(self, collection: Collection, revision: int) -> dict[str, Item]:
        items: dict[str, Item] = {}
        for change in self.changes(collection, 0, revision):
            items.pop(change.item.name, None)
            if not change.is_deleted:
                items[change.item.name] = change.item
        return items

    def changes(self, collection, after, up_to) -> tuple[Change, ...]:
        return tuple(
            change
            for of, change in self.history
            if of is collection and after < change.item.revision <= up_to
        )

    async def list(self, collection):
        await self._receive_request()
        items = self.items(collection, self.revision)
        snapshot = Snapshot(tuple(items.values()), self.revision)
        await self._delay()
        return snapshot

    async def watch(self, collection, revision, wait_s):
        await self._receive_request(wait_s)
        if wait_s and collection in self.unanswered:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        if revision < self.oldest:
            raise HistoryGone("gone")
        with trio.move_on_after(wait_s):
            while not self.changes(collection, revision, self.revision):
                await self.changed.wait()
        newest = max(revision, self.revision - self.rng.randint(0, self.lag))
        answer = Changes(self.changes(collection, revision, newest), newest)
        await self._delay()
        return answer

    async def _receive_request(self, wait_s=0.0):
        if self.mode == "silent":
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await self._delay()
        if self.mode == "rejecting":
            raise StoreUnavailable("rejected")

    async def _delay(self):
        await trio.sleep(self.rng.uniform(0.001, 0.1))


class FaultSimulation:
    """Three VMs that follow one store and fetch changes from each other."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.store = FaultyStore(self.rng)
        self.vms = [
            {
                collection: Follower(
                    self.store, collection, lambda c: None, RecordingLog()
                )
                for collection in FOLLOWED
            }
            for _ in range(3)
        ]
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery):
        self.nursery = nursery
        for number, followers in enumerate(self.vms):
            for follower in followers.values():
                nursery.start_soon(follower.run)
            poller = FreshnessPoller(followers, self._is_poller(number), f"vm-{number}")
            nursery.start_soon(poller.run, lambda: POLL_S)
            nursery.start_soon(self._fetch_from_peers, followers)

    def _is_poller(self, number: int):
        return lambda: number == 0 or self.rng.random() < 0.2

    async def inject_faults(self):
        while True:
            await trio.sleep(self.rng.expovariate(4.0))
            collection = self.rng.choice(FOLLOWED)
            self.store.put(collection, self.rng.choice("abc"), self.rng.random() < 0.4)
            if self.rng.random() < 0.15:
                self._change_faults()

    def _change_faults(self):
        store, rng = self.store, self.rng
        store.mode = rng.choice(["normal", "normal", "silent", "rejecting"])
        store.unanswered = rng.sample(FOLLOWED, rng.randint(0, 3))
        store.lag = rng.choice([0, 3])
        if rng.random() < 0.2:
            store.oldest = store.revision - rng.randint(0, 4)
        if rng.random() < 0.2:
            rng.choice(list(rng.choice(self.vms).values())).relist()

    async def _fetch_from_peers(self, followers: dict[Collection, Follower]):
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.5))
            other = self.rng.choice([vm for vm in self.vms if vm is not followers])
            for collection, follower in followers.items():
                replica = other[collection].replica
                if replica.changed_at_revision > follower.replica.revision:
                    self.nursery.start_soon(self._catch_up, follower, replica)

    async def _catch_up(self, follower: Follower, replica: Replica):
        async def fetch(peer, collection, after):
            await trio.sleep(self.rng.uniform(0.001, 0.3))
            fetched = replica.changes_since(after)
            if fetched is None:
                fetched = Snapshot(tuple(replica.items.values()), replica.revision)
            await trio.sleep(self.rng.uniform(0.001, 0.3))
            return fetched

        await follower.catch_up(str(id(replica)), replica.changed_at_revision, fetch)

    def replicas(self):
        return [follower.replica for vm in self.vms for follower in vm.values()]


class TestCopies(unittest.TestCase):
    @on_mock_clock
    async def test_replicas_match_the_store_at_their_revision_under_faults(self):
        """A replica's content must always match the store at the replica's revision.

        If its revision were ahead of its content, it would never request the missing
        changes.
        """
        for seed in range(4):
            simulation = FaultSimulation(seed)
            async with trio.open_nursery() as nursery:
                simulation.start(nursery)
                nursery.start_soon(self._check_replicas, simulation, seed)
                with trio.move_on_after(FAULT_PERIOD_S):
                    await simulation.inject_faults()
                simulation.store.heal()
                await trio.sleep(RECOVERY_S)
                for replica in simulation.replicas():
                    expected = simulation.store.items(
                        replica.collection, simulation.store.revision
                    )
                    self.assertEqual(replica.items, expected, seed)
                nursery.cancel_scope.cancel()

    async def _check_replicas(self, simulation: FaultSimulation, seed: int):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for replica in simulation.replicas():
                if replica.is_initialized:
                    expected = simulation.store.items(
                        replica.collection, replica.revision
                    )
                    self.assertEqual(replica.items, expected, seed)
