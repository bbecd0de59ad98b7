"""Versioned documents in the platform's object store."""

import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainshed_coordination.errors import CommitUnconfirmed, StaleBase
from plantainshed_coordination.versioned import ROOT_KIND, Change, DocumentStore
from plantainshed_standins.memory_network import run_deterministically
from plantainshed_standins.memory_platform import MemoryPlatform
from tests.support import StoreAccess, on_mock_clock


def change(base, change_id, text=b"x"):
    return Change(base, {"s": text}, change_id, "ann", "why", "2026-12-03T00:00:00")


class TestDocumentStore(unittest.TestCase):
    @on_mock_clock
    async def test_history_contains_author_and_reason(self):
        store = DocumentStore(MemoryPlatform())
        await store.commit(change(0, "c1", b"one"))
        await store.commit(change(1, "c2", b"two"))
        newest, oldest = await store.history(10)
        self.assertEqual((newest.version, oldest.version), (2, 1))
        self.assertEqual((newest.author, newest.reason), ("ann", "why"))
        self.assertEqual(await store.segments(oldest), {"s": b"one"})

    @on_mock_clock
    async def test_stale_change_is_rejected(self):
        """Guards against silently losing an operator's change, such as a drain.

        Two operators edit version 1 and both save. The second text does not
        contain the change of the first operator.
        """
        store = DocumentStore(MemoryPlatform())
        await store.commit(change(0, "c1"))
        await store.commit(change(1, "c2"))
        with self.assertRaises(StaleBase):
            await store.commit(change(1, "c3"))
        self.assertEqual((await store.root()).revision.change_id, "c2")

    @on_mock_clock
    async def test_lost_answers_apply_a_change_once(self):
        """Guards against a conflict between a change and its own retry.

        The store applies the write and its answer is lost. The retry then finds
        a newer version than the one the change is based on.
        """
        platform = MemoryPlatform()
        store = DocumentStore(platform)
        await store.commit(change(0, "c1"))
        platform.faults.lose_answers = 3
        revision = await store.commit(change(1, "c2"))
        self.assertEqual(revision.version, 2)
        self.assertEqual((await store.root()).revision.version, 2)

    @on_mock_clock
    async def test_change_with_an_unknown_outcome_is_applied_once(self):
        """Guards against a second version if the root cannot be read for a while.

        After 1 s the change finds itself in the root. After 10 s its author is told
        that the outcome is unknown, and repeats it.
        """
        for unreadable_s in (1.0, 10.0):
            access = StoreAccess(MemoryPlatform(), (ROOT_KIND,))
            store = DocumentStore(access)
            await store.commit(change(0, "c1"))
            access.lose_answers, access.unreadable_s = 1, unreadable_s
            if unreadable_s > 5:
                with self.assertRaises(CommitUnconfirmed):
                    await store.commit(change(1, "c2"))
                await trio.sleep(unreadable_s)
            self.assertEqual((await store.commit(change(1, "c2"))).version, 2)
            self.assertEqual((await store.root()).revision.version, 2)

    @on_mock_clock
    async def test_change_can_be_repeated_after_an_outage(self):
        platform = MemoryPlatform()
        store = DocumentStore(platform)
        await store.commit(change(0, "c1"))
        await platform.set_down(True)
        with self.assertRaises(CommitUnconfirmed):
            await store.commit(change(1, "c2"))
        await platform.set_down(False)
        self.assertEqual((await store.commit(change(1, "c2"))).version, 2)

    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 3)), max_size=12))
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_races_and_lost_answers_apply_each_change_once(self, steps):
        """Two writers race while answers are lost; each change is applied once."""

        async def body():
            platform = MemoryPlatform()
            store = DocumentStore(platform)
            accepted = []

            async def write(name, count):
                for number in range(count):
                    base = (await store.root()).revision.version
                    change_id = f"{name}-{number}"
                    try:
                        await store.commit(change(base, change_id, change_id.encode()))
                    except StaleBase:
                        continue
                    accepted.append(change_id)

            for index, (lose, count) in enumerate(steps):
                platform.faults.lose_answers = int(lose)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(write, f"a{index}", count)
                    nursery.start_soon(write, f"b{index}", count)
            history = await store.history(100)
            self.assertEqual(sorted(r.change_id for r in history), sorted(accepted))
            versions = [revision.version for revision in history]
            self.assertEqual(versions, list(range(len(history), 0, -1)))

        run_deterministically(body)
