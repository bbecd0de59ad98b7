"""Copies of several VMs under random faults of the store and of peers."""

import random
import unittest

import trio

from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.freshness import FreshnessPoller
from plantainshed_gateway.ports import Change, Changes, Collection, Item, Snapshot
from plantainshed_gateway.replication import Follower, Replica
from tests.gateway.gateway_support import NoLog
from tests.support import on_mock_clock

FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)
CALL_TIMEOUT_S = 1.0
POLL_S = 1.5
TROUBLE_S = 40.0
# Until a VM that is not on duty has been told by another.
CALM_S = 12.0
LOOK_S = 0.02


class FaultyStore:
    """One revision for all collections; loses, refuses, lags and forgets.

    Attributes
    ----------
    answers : str
        ``yes``, ``silent`` or ``refusing``.
    deaf : list of Collection
        Collections whose waiting watches are never answered.
    lag : int
        Most revisions by which an answer to a watch or a poll can be old.
    oldest : int
        Changes up to this revision are forgotten.
    """

    def __init__(self, chance: random.Random):
        self.chance = chance
        self.revision = 10
        self.history: list[tuple[Collection, Change]] = []
        self.changed = trio.Event()
        self.heal()
        self.oldest = 0

    def heal(self):
        self.answers, self.deaf, self.lag = "yes", [], 0

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
        await self._way_there()
        items = self.items(collection, self.revision)
        snapshot = Snapshot(tuple(items.values()), self.revision)
        await self._way()
        return snapshot

    async def watch(self, collection, revision, wait_s):
        await self._way_there(wait_s)
        if wait_s and collection in self.deaf:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        if revision < self.oldest:
            raise HistoryGone("gone")
        with trio.move_on_after(wait_s):
            while not self.changes(collection, revision, self.revision):
                await self.changed.wait()
        newest = max(revision, self.revision - self.chance.randint(0, self.lag))
        answer = Changes(self.changes(collection, revision, newest), newest)
        await self._way()
        return answer

    async def _way_there(self, wait_s=0.0):
        if self.answers == "silent":
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await self._way()
        if self.answers == "refusing":
            raise StoreUnavailable("turned away")

    async def _way(self):
        await trio.sleep(self.chance.uniform(0.001, 0.1))


class Trial:
    """Three VMs that follow one store and tell each other what they know."""

    def __init__(self, seed: int):
        self.chance = random.Random(seed)
        self.store = FaultyStore(self.chance)
        self.vms = [
            {
                collection: Follower(self.store, collection, lambda c: None, NoLog())
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
            freshness = FreshnessPoller(
                followers, self._duty_of(number), f"vm-{number}"
            )
            nursery.start_soon(freshness.run, lambda: POLL_S)
            nursery.start_soon(self._hear, followers)

    def _duty_of(self, number: int):
        return lambda: number == 0 or self.chance.random() < 0.2

    async def make_trouble(self):
        while True:
            await trio.sleep(self.chance.expovariate(4.0))
            collection = self.chance.choice(FOLLOWED)
            self.store.put(
                collection, self.chance.choice("abc"), self.chance.random() < 0.4
            )
            if self.chance.random() < 0.15:
                self._change_faults()

    def _change_faults(self):
        store, chance = self.store, self.chance
        store.answers = chance.choice(["yes", "yes", "silent", "refusing"])
        store.deaf = chance.sample(FOLLOWED, chance.randint(0, 3))
        store.lag = chance.choice([0, 3])
        if chance.random() < 0.2:
            store.oldest = store.revision - chance.randint(0, 4)
        if chance.random() < 0.2:
            chance.choice(list(chance.choice(self.vms).values())).relist()

    async def _hear(self, followers: dict[Collection, Follower]):
        while True:
            await trio.sleep(self.chance.uniform(0.05, 0.5))
            other = self.chance.choice([vm for vm in self.vms if vm is not followers])
            for collection, follower in followers.items():
                replica = other[collection].replica
                if replica.changed_at_revision > follower.replica.revision:
                    self.nursery.start_soon(self._catch_up, follower, replica)

    async def _catch_up(self, follower: Follower, replica: Replica):
        async def fetch(peer, collection, after):
            await trio.sleep(self.chance.uniform(0.001, 0.3))
            told = replica.changes_since(after)
            if told is None:
                told = Snapshot(tuple(replica.items.values()), replica.revision)
            await trio.sleep(self.chance.uniform(0.001, 0.3))
            return told

        await follower.catch_up(str(id(replica)), replica.changed_at_revision, fetch)

    def replicas(self):
        return [follower.replica for vm in self.vms for follower in vm.values()]


class TestCopies(unittest.TestCase):
    @on_mock_clock
    async def test_copies_hold_what_their_revision_says_under_any_fault(self):
        """A copy whose revision ran ahead of its content never got what it lacked."""
        for seed in range(4):
            trial = Trial(seed)
            async with trio.open_nursery() as nursery:
                trial.start(nursery)
                nursery.start_soon(self._look, trial, seed)
                with trio.move_on_after(TROUBLE_S):
                    await trial.make_trouble()
                trial.store.heal()
                await trio.sleep(CALM_S)
                for replica in trial.replicas():
                    expected = trial.store.items(
                        replica.collection, trial.store.revision
                    )
                    self.assertEqual(replica.items, expected, seed)
                nursery.cancel_scope.cancel()

    async def _look(self, trial: Trial, seed: int):
        while True:
            await trio.sleep(LOOK_S)
            for replica in trial.replicas():
                if replica.is_initialized:
                    expected = trial.store.items(replica.collection, replica.revision)
                    self.assertEqual(replica.items, expected, seed)
