import contextlib
import unittest
import zlib

import trio

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.lookup import LookupTable
from plantainshed_gateway.ports import (
    Change,
    Changes,
    Collection,
    Item,
    Lookup,
    Snapshot,
)
from plantainshed_gateway.replication import Follower, Replica
from tests.gateway.gateway_support import (
    NoLog,
    make_configuration,
    make_heartbeat,
    make_members,
    make_route,
)
from tests.support import on_mock_clock


class SilentStore:
    """A store that was read once and then says nothing to this VM."""

    def __init__(self):
        self.lists = 0

    async def list(self, collection):
        self.lists += 1
        if self.lists > 1:
            raise StoreUnavailable("turned away")
        return Snapshot((Item("a", 5, {}),), 7)

    async def watch(self, collection, revision, wait_s):
        await trio.sleep_forever()


class TestReplica(unittest.TestCase):
    @on_mock_clock
    async def test_never_goes_back(self):
        replica = Replica(Collection.TARGETS)
        replica.take_snapshot(Snapshot((Item("a", 5, "new"),), 9))
        self.assertFalse(replica.take_snapshot(Snapshot((Item("a", 3, "old"),), 4)))
        old = Changes((Change(Item("a", 3, "old"), False),), 10)
        replica.take_changes(old)
        self.assertEqual(replica.items["a"].value, "new")

    @on_mock_clock
    async def test_changes_overtaken_on_their_way_bring_nothing_back(self):
        """A target that had left came back with a peer's older changes."""
        replica = Replica(Collection.TARGETS)
        replica.take_snapshot(Snapshot((), 7))
        created = Change(Item("a", 8, 1), False)
        deleted = Change(Item("a", 9, 1), True)
        replica.take_changes(Changes((created, deleted), 9))
        self.assertFalse(replica.take_changes(Changes((created,), 8)))
        self.assertEqual(replica.items, {})

    @on_mock_clock
    async def test_change_told_twice_counts_once(self):
        """A poll beside a watch ended that watch and logged a change that was known."""
        replica = Replica(Collection.TARGETS)
        replica.take_snapshot(Snapshot((Item("a", 5, {}),), 7))
        told = Changes((Change(Item("a", 8, {}), True),), 8)
        self.assertTrue(replica.take_changes(told))
        self.assertFalse(replica.take_changes(told))
        self.assertEqual(len(replica.recent), 1)

    @on_mock_clock
    async def test_list_overtaken_by_a_poll_confirms_the_copy(self):
        """A VM that had been paused refused callers though its copy was complete."""
        replica = Replica(Collection.TARGETS, is_confirmed=False)
        replica.take_changes(Changes((Change(Item("a", 8, {}), False),), 8))
        replica.take_snapshot(Snapshot((), 7))
        self.assertTrue(replica.is_confirmed)
        self.assertEqual(set(replica.items), {"a"})

    @on_mock_clock
    async def test_tells_changes_since_a_revision_or_nothing(self):
        """A VM that asks for what it missed must get all of it or the whole.

        A gap would leave a target that has left, or an old route, in its copy
        for good.
        """
        replica = Replica(Collection.TARGETS)
        replica.take_snapshot(Snapshot((Item("a", 5, 1),), 7))
        self.assertIsNone(replica.changes_since(7))
        replica.take_changes(Changes((Change(Item("b", 9, 1), False),), 9))
        replica.take_changes(Changes((Change(Item("a", 12, 1), True),), 12))
        self.assertIsNone(replica.changes_since(6))
        other = Replica(Collection.TARGETS)
        other.take_snapshot(Snapshot((Item("a", 5, 1),), 8))
        other.take_changes(replica.changes_since(8))
        self.assertEqual(other.items, replica.items)
        self.assertEqual(other.revision, 12)
        self.assertEqual(len(replica.changes_since(9).changes), 1)

    @on_mock_clock
    async def test_deletion_in_a_list_counts_as_a_change(self):
        """A VM learns by a list that a target has left, others by no way yet.

        A list shows no deletion. Peers must still hear that this VM knows
        something newer, or they go on sending to the target.
        """
        replica = Replica(Collection.TARGETS)
        items = (Item("a", 5, 1), Item("b", 6, 1))
        replica.take_snapshot(Snapshot(items, 6))
        replica.take_snapshot(Snapshot(items[:1], 9))
        self.assertEqual(replica.changed_at_revision, 9)


class TestFollower(unittest.TestCase):
    @on_mock_clock
    async def test_takes_from_a_peer_what_the_store_keeps_from_it(self):
        """The store turns one VM away and serves the others.

        A key is withdrawn meanwhile. The VM that hears nothing would accept it
        for as long as that lasts; a peer's heartbeat names a newer revision.
        """
        changed = []
        follower = Follower(
            SilentStore(), Collection.CONFIGURATION, changed.append, NoLog()
        )

        async def fetch(peer, collection, after):
            return Snapshot((Item("a", 12, "newer"),), 12)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(1)
            began_at = trio.current_time()
            await follower.catch_up("peer", 12, fetch)
            self.assertEqual(follower.replica.items["a"].value, "newer")
            self.assertLess(trio.current_time() - began_at, 0.5)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(changed), 2)

    @on_mock_clock
    async def test_peer_that_does_not_answer_keeps_no_other_from_being_asked(self):
        """A change known to one peer came late while another peer was asked."""
        follower = Follower(SilentStore(), Collection.TARGETS, lambda c: None, NoLog())
        follower.replica.take_snapshot(Snapshot((), 7))
        told = Changes((Change(Item("b", 12, "newer"), False),), 12)

        async def fetch(peer, collection, after):
            if peer == "frozen":
                await trio.sleep(1.0)
                raise StoreUnavailable("no answer")
            return told

        async def hear(peer):
            while True:
                with contextlib.suppress(StoreUnavailable):
                    await follower.catch_up(peer, 12, fetch)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(hear, "frozen")
            await trio.sleep(0.01)
            nursery.start_soon(hear, "sound")
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual(follower.replica.revision, 12)

    @on_mock_clock
    async def test_list_sent_before_a_pause_is_read_again_after_it(self):
        """A VM that woke served with a list that it had asked for before."""

        class Slow(SilentStore):
            async def list(self, collection):
                self.lists += 1
                revision = 6 + self.lists
                await trio.sleep(0.2)
                return Snapshot((), revision)

        follower = Follower(Slow(), Collection.TARGETS, lambda c: None, NoLog())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(0.1)
            follower.list_again()
            await trio.sleep(0.15)
            self.assertFalse(follower.replica.is_confirmed)
            await trio.sleep(0.2)
            self.assertTrue(follower.replica.is_confirmed)
            self.assertEqual(follower.replica.revision, 8)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_forgotten_history_is_read_anew(self):
        class Forgetful(SilentStore):
            watches = 0

            async def list(self, collection):
                self.lists += 1
                return Snapshot((Item("a", 5, self.lists),), 7 + self.lists)

            async def watch(self, collection, revision, wait_s):
                self.watches += 1
                if self.watches == 1:
                    raise HistoryGone("gone")
                await trio.sleep_forever()

        follower = Follower(Forgetful(), Collection.TARGETS, lambda c: None, NoLog())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        self.assertEqual(follower.replica.items["a"].value, 2)

    @on_mock_clock
    async def test_watch_is_left_to_others_while_they_are_in_touch(self):
        """Every VM of a large fleet watches the store; each change costs a call.

        Two of a failure domain watch, the others take changes from them. When
        the store turns these two away, the others must watch again, or a
        withdrawn key goes on working in the whole domain.
        """

        class Counting(SilentStore):
            watches = 0

            async def watch(self, collection, revision, wait_s):
                self.watches += 1
                await trio.sleep(wait_s)
                return Changes((), revision)

        store, covered = Counting(), [True]
        follower = Follower(
            store, Collection.TARGETS, lambda c: None, NoLog(), lambda: covered[0]
        )
        changes = Changes((Change(Item("b", 12, "newer"), False),), 12)

        async def fetch(peer, collection, after):
            self.assertEqual(after, 7)
            return changes

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(60)
            self.assertEqual(store.watches, 0)
            began_at = trio.current_time()
            await follower.catch_up("peer", 12, fetch, is_near=True)
            self.assertEqual(trio.current_time(), began_at)
            self.assertEqual(follower.replica.items["b"].value, "newer")
            covered[0] = False
            await trio.sleep(0.5)
            self.assertEqual(store.watches, 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_silent_watch_is_given_up(self):
        store = SilentStore()
        log = NoLog()
        follower = Follower(store, Collection.TARGETS, lambda c: None, log)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(25)
            nursery.cancel_scope.cancel()
        self.assertIn("store lost", [event for event, _ in log.events])


class TestMembers(unittest.TestCase):
    @on_mock_clock
    async def test_silent_vm_is_left_out_of_lookups(self):
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        table = LookupTable(members, 5.0)
        lookup = Lookup("h", "lombardia", "mil-a")
        self.assertEqual(table.addresses(lookup), ["vm-0:1", "vm-1:1"])
        await trio.sleep(2.7)
        self.assertEqual(table.addresses(lookup), ["vm-0:1"])

    @on_mock_clock
    async def test_leaving_vm_is_left_out_at_once(self):
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        leaving = make_heartbeat("vm-1", 2, state=VmState.LEAVING)
        members.record_heartbeat(leaving, "10.0.0.1")
        table = LookupTable(members, 5.0)
        self.assertEqual(table.addresses(Lookup("h", "lombardia", "mil-a")), ["vm-0:1"])

    @on_mock_clock
    async def test_late_heartbeat_changes_nothing(self):
        members = make_members()
        members.record_heartbeat(
            make_heartbeat("vm-1", 5, state=VmState.LEAVING), "10.0.0.1"
        )
        self.assertFalse(
            members.record_heartbeat(make_heartbeat("vm-1", 4), "10.0.0.1")
        )
        self.assertEqual([b.vm for b in members.ready()], ["vm-0"])
        newer = make_heartbeat("vm-1", 1, incarnation=2)
        self.assertTrue(members.record_heartbeat(newer, "10.0.0.1"))

    @on_mock_clock
    async def test_callers_of_a_lost_region_are_sent_elsewhere(self):
        members = make_members()
        table = LookupTable(members, 5.0)
        self.assertEqual(table.addresses(Lookup("h", "veneto", "v")), ["vm-0:1"])

    @on_mock_clock
    async def test_heartbeat_survives_a_datagram(self):
        heartbeat = make_heartbeat("vm-1", deaths=(("mark", "i-1"),))
        self.assertEqual(decode(encode(heartbeat)), heartbeat)
        shapes = (b"", b"{}", b"[]", b'["h",[1]]', b'["x",[]]', b"\xff\x00")
        for bad in (*shapes, b'["r",[[]]]', b'["n",[0]]', b"\x78\x01no", b'["b",[7]]'):
            with self.assertRaises(ValueError, msg=bad):
                decode(bad)

    def test_compressed_datagram_cannot_fill_the_memory(self):
        """A few bytes that unpack to gigabytes would end the process."""
        bomb = zlib.compress(b" " * 50_000_000)
        self.assertLess(len(bomb), 60_000)
        with self.assertRaises(ValueError):
            decode(bomb)


class TestRoutes(unittest.TestCase):
    def test_longest_prefix_wins(self):
        routes = [
            make_route("a", prefix="/a/"),
            make_route("ab", prefix="/a/b/"),
            make_route("root", prefix="/"),
        ]
        configuration = make_configuration(*routes)
        for path, name in (
            ("/a/b/c", "ab"),
            ("/a/b/", "ab"),
            ("/a/b", "a"),
            ("/a/bc/d", "a"),
            ("/x", "root"),
        ):
            self.assertEqual(configuration.route_for("h", path).name, name, path)
        self.assertIsNone(configuration.route_for("other", "/a/"))
