import contextlib
import unittest
import zlib

import trio

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.lookup import MAX_PREPARED, PREPARED_S, LookupTable
from plantainshed_gateway.members import HEARTBEAT_TIMEOUT_S
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
    RecordingLog,
    make_configuration,
    make_heartbeat,
    make_members,
    make_route,
)
from tests.support import on_mock_clock


class UnresponsiveStore:
    """A store that answers one list and then stops responding to this VM."""

    def __init__(self):
        self.lists = 0

    async def list(self, collection):
        self.lists += 1
        if self.lists > 1:
            raise StoreUnavailable("rejected")
        return Snapshot((Item("a", 5, {}),), 7)

    async def watch(self, collection, revision, wait_s):
        await trio.sleep_forever()


class TestReplica(unittest.TestCase):
    @on_mock_clock
    async def test_never_returns_to_an_older_revision(self):
        replica = Replica(Collection.TARGETS)
        replica.apply_snapshot(Snapshot((Item("a", 5, "new"),), 9))
        self.assertFalse(replica.apply_snapshot(Snapshot((Item("a", 3, "old"),), 4)))
        old = Changes((Change(Item("a", 3, "old"), False),), 10)
        replica.apply_changes(old)
        self.assertEqual(replica.items["a"].value, "new")

    @on_mock_clock
    async def test_outdated_changes_restore_no_deleted_object(self):
        """Older changes from a peer must not restore a target that has left."""
        replica = Replica(Collection.TARGETS)
        replica.apply_snapshot(Snapshot((), 7))
        created = Change(Item("a", 8, 1), False)
        deleted = Change(Item("a", 9, 1), True)
        replica.apply_changes(Changes((created, deleted), 9))
        self.assertFalse(replica.apply_changes(Changes((created,), 8)))
        self.assertEqual(replica.items, {})

    @on_mock_clock
    async def test_duplicate_change_is_applied_once(self):
        """A poll and a watch can deliver the same change.

        The poll must not restart the watch or log the change a second time.
        """
        replica = Replica(Collection.TARGETS)
        replica.apply_snapshot(Snapshot((Item("a", 5, {}),), 7))
        changes = Changes((Change(Item("a", 8, {}), True),), 8)
        self.assertTrue(replica.apply_changes(changes))
        self.assertFalse(replica.apply_changes(changes))
        self.assertEqual(len(replica.recent), 1)

    @on_mock_clock
    async def test_list_older_than_a_poll_confirms_the_replica(self):
        """After a pause, a poll can return newer changes than the pending list.

        The replica is then complete, and the VM must not refuse callers.
        """
        replica = Replica(Collection.TARGETS, is_confirmed=False)
        replica.apply_changes(Changes((Change(Item("a", 8, {}), False),), 8))
        replica.apply_snapshot(Snapshot((), 7))
        self.assertTrue(replica.is_confirmed)
        self.assertEqual(set(replica.items), {"a"})

    @on_mock_clock
    async def test_returns_all_changes_since_a_revision_or_none(self):
        """A VM that requests missed changes must get all of them or a snapshot.

        A gap would permanently leave a removed target or an old route in its
        replica.
        """
        replica = Replica(Collection.TARGETS)
        replica.apply_snapshot(Snapshot((Item("a", 5, 1),), 7))
        self.assertIsNone(replica.changes_since(7))
        replica.apply_changes(Changes((Change(Item("b", 9, 1), False),), 9))
        replica.apply_changes(Changes((Change(Item("a", 12, 1), True),), 12))
        self.assertIsNone(replica.changes_since(6))
        other = Replica(Collection.TARGETS)
        other.apply_snapshot(Snapshot((Item("a", 5, 1),), 8))
        other.apply_changes(replica.changes_since(8))
        self.assertEqual(other.items, replica.items)
        self.assertEqual(other.revision, 12)
        self.assertEqual(len(replica.changes_since(9).changes), 1)

    @on_mock_clock
    async def test_deletion_in_a_list_counts_as_a_change(self):
        """One VM detects by a list that a target has left; other VMs do not know yet.

        A list does not contain deletions. The VM must still announce a newer
        revision, or its peers keep sending requests to the target.
        """
        replica = Replica(Collection.TARGETS)
        items = (Item("a", 5, 1), Item("b", 6, 1))
        replica.apply_snapshot(Snapshot(items, 6))
        replica.apply_snapshot(Snapshot(items[:1], 9))
        self.assertEqual(replica.changed_at_revision, 9)


class TestFollower(unittest.TestCase):
    @on_mock_clock
    async def test_fetches_from_a_peer_while_the_store_rejects_this_vm(self):
        """The store rejects one VM and serves the others while a key is withdrawn.

        The rejected VM must fetch the newer revision from a peer's heartbeat, or it
        accepts the withdrawn key until the store serves it again.
        """
        changed = []
        follower = Follower(
            UnresponsiveStore(),
            Collection.CONFIGURATION,
            changed.append,
            RecordingLog(),
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
    async def test_unresponsive_peer_does_not_block_a_fetch_from_another(self):
        """A pending fetch from a frozen peer must not delay a change from another."""
        follower = Follower(
            UnresponsiveStore(), Collection.TARGETS, lambda c: None, RecordingLog()
        )
        follower.replica.apply_snapshot(Snapshot((), 7))
        changes = Changes((Change(Item("b", 12, "newer"), False),), 12)

        async def fetch(peer, collection, after):
            if peer == "frozen":
                await trio.sleep(1.0)
                raise StoreUnavailable("no answer")
            return changes

        async def poll_peer(peer):
            while True:
                with contextlib.suppress(StoreUnavailable):
                    await follower.catch_up(peer, 12, fetch)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll_peer, "frozen")
            await trio.sleep(0.01)
            nursery.start_soon(poll_peer, "responsive")
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual(follower.replica.revision, 12)

    @on_mock_clock
    async def test_list_sent_before_a_pause_is_repeated_after_it(self):
        """After a pause, a list requested before it must not confirm the replica."""

        class SlowStore(UnresponsiveStore):
            async def list(self, collection):
                self.lists += 1
                revision = 6 + self.lists
                await trio.sleep(0.2)
                return Snapshot((), revision)

        follower = Follower(
            SlowStore(), Collection.TARGETS, lambda c: None, RecordingLog()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(0.1)
            follower.relist()
            await trio.sleep(0.15)
            self.assertFalse(follower.replica.is_confirmed)
            await trio.sleep(0.2)
            self.assertTrue(follower.replica.is_confirmed)
            self.assertEqual(follower.replica.revision, 8)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_expired_history_causes_a_new_list(self):
        class ExpiringStore(UnresponsiveStore):
            watches = 0

            async def list(self, collection):
                self.lists += 1
                return Snapshot((Item("a", 5, self.lists),), 7 + self.lists)

            async def watch(self, collection, revision, wait_s):
                self.watches += 1
                if self.watches == 1:
                    raise HistoryGone("gone")
                await trio.sleep_forever()

        follower = Follower(
            ExpiringStore(), Collection.TARGETS, lambda c: None, RecordingLog()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        self.assertEqual(follower.replica.items["a"].value, 2)

    @on_mock_clock
    async def test_vm_watches_only_while_no_other_vm_watches_for_it(self):
        """If every VM of a large fleet watched, each change would cost a call per VM.

        Two VMs of a failure domain watch and the others fetch changes from them.
        When the store rejects these two, the others must watch again, or a withdrawn
        key stays valid in the whole domain.
        """

        class CountingStore(UnresponsiveStore):
            watches = 0

            async def watch(self, collection, revision, wait_s):
                self.watches += 1
                await trio.sleep(wait_s)
                return Changes((), revision)

        store, watched_by_others = CountingStore(), [True]
        follower = Follower(
            store,
            Collection.TARGETS,
            lambda c: None,
            RecordingLog(),
            lambda: watched_by_others[0],
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
            await follower.catch_up("peer", 12, fetch, is_same_domain=True)
            self.assertEqual(trio.current_time(), began_at)
            self.assertEqual(follower.replica.items["b"].value, "newer")
            watched_by_others[0] = False
            await trio.sleep(0.5)
            self.assertEqual(store.watches, 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_unanswered_watch_times_out(self):
        store = UnresponsiveStore()
        log = RecordingLog()
        follower = Follower(store, Collection.TARGETS, lambda c: None, log)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await trio.sleep(25)
            nursery.cancel_scope.cancel()
        self.assertIn("store lost", [event for event, _ in log.events])


class TestPreparedLookups(unittest.TestCase):
    def setUp(self):
        self.encoded = 0

    def encode(self, addresses, ttl_s):
        self.encoded += 1
        return ",".join(sorted(addresses)).encode()

    @on_mock_clock
    async def test_answer_is_prepared_once_for_callers_of_a_region(self):
        table = LookupTable(make_members(), 5.0)
        lookup = Lookup("h", "lombardia", "mil-a")
        for _ in range(10):
            self.assertEqual(table.answer(lookup, self.encode), b"vm-0:1")
        self.assertEqual(self.encoded, 1)

    @on_mock_clock
    async def test_vm_that_leaves_is_excluded_at_once(self):
        """Guards against sending callers to a VM that is about to stop."""
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        table = LookupTable(members, 5.0)
        lookup = Lookup("h", "lombardia", "mil-a")
        self.assertEqual(table.answer(lookup, self.encode), b"vm-0:1,vm-1:1")
        leaving = make_heartbeat("vm-1", 2, state=VmState.LEAVING)
        members.record_heartbeat(leaving, "10.0.0.1")
        self.assertEqual(table.answer(lookup, self.encode), b"vm-0:1")
        members.own = make_heartbeat("vm-0", 9, state=VmState.LEAVING)
        self.assertIsNone(table.answer(lookup, self.encode))

    @on_mock_clock
    async def test_vm_that_became_silent_is_excluded_soon(self):
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        table = LookupTable(members, 5.0)
        lookup = Lookup("h", "lombardia", "mil-a")
        await trio.sleep(HEARTBEAT_TIMEOUT_S - 0.05)
        self.assertEqual(table.answer(lookup, self.encode), b"vm-0:1,vm-1:1")
        await trio.sleep(PREPARED_S + 0.01)
        self.assertEqual(table.answer(lookup, self.encode), b"vm-0:1")

    @on_mock_clock
    async def test_regions_that_callers_invent_take_no_memory(self):
        table = LookupTable(make_members(), 5.0)
        for number in range(5 * MAX_PREPARED):
            table.answer(Lookup("h", f"region-{number}", "z"), self.encode)
        self.assertLessEqual(len(table._prepared), MAX_PREPARED)


class TestMembers(unittest.TestCase):
    @on_mock_clock
    async def test_vm_without_heartbeats_is_excluded_from_lookups(self):
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        table = LookupTable(members, 5.0)
        lookup = Lookup("h", "lombardia", "mil-a")
        self.assertEqual(table.addresses(lookup), ["vm-0:1", "vm-1:1"])
        await trio.sleep(2.7)
        self.assertEqual(table.addresses(lookup), ["vm-0:1"])

    @on_mock_clock
    async def test_leaving_vm_is_excluded_from_lookups_at_once(self):
        members = make_members()
        members.record_heartbeat(make_heartbeat("vm-1"), "10.0.0.1")
        leaving = make_heartbeat("vm-1", 2, state=VmState.LEAVING)
        members.record_heartbeat(leaving, "10.0.0.1")
        table = LookupTable(members, 5.0)
        self.assertEqual(table.addresses(Lookup("h", "lombardia", "mil-a")), ["vm-0:1"])

    @on_mock_clock
    async def test_outdated_heartbeat_is_ignored(self):
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
    async def test_callers_of_a_lost_region_get_vms_of_another(self):
        members = make_members()
        table = LookupTable(members, 5.0)
        self.assertEqual(table.addresses(Lookup("h", "veneto", "v")), ["vm-0:1"])

    @on_mock_clock
    async def test_heartbeat_is_unchanged_by_encoding_and_decoding(self):
        heartbeat = make_heartbeat("vm-1", crashes=(("mark", "i-1"),))
        self.assertEqual(decode(encode(heartbeat)), heartbeat)
        shapes = (b"", b"{}", b"[]", b'["h",[1]]', b'["x",[]]', b"\xff\x00")
        for bad in (*shapes, b'["r",[[]]]', b'["n",[0]]', b"\x78\x01no", b'["b",[7]]'):
            with self.assertRaises(ValueError, msg=bad):
                decode(bad)

    def test_compressed_datagram_cannot_exhaust_memory(self):
        """A small datagram that decompresses to gigabytes would crash the process."""
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
