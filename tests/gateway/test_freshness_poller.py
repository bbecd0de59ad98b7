import contextlib
import unittest

import trio

from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.freshness_poller import FreshnessPoller, poll_interval_s
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.ports import Change, Changes, Collection, Item, Snapshot
from plantainshed_gateway.replication import MAX_RETRY_DELAY_S, Follower
from plantainshed_gateway.speakers import Speakers
from plantainshed_gateway.store_contact import StoreContact
from tests.gateway.gateway_support import RecordingLog, make_heartbeat, make_members
from tests.support import on_mock_clock

INTERVAL_S = 2.0
ANSWER_S = 0.03
CALL_TIMEOUT_S = 1.0
FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)


class RevisionedStore:
    """A store with one revision counter for all collections and settable faults.

    Calls that arrive while it is silent are lost.

    Attributes
    ----------
    is_silent : bool
        Whether new calls are never answered.
    is_rejecting : bool
        Whether new calls are rejected immediately.
    unanswered : set of Collection
        Collections whose pending watches are never answered.
    accepts_watches : bool
        Whether watches are accepted instead of rejected immediately.
    oldest : int
        Changes up to this revision are no longer available.
    lagging_at : dict of Collection to int
        Revision at which polls of a collection are answered, if not at the newest.
    """

    def __init__(self):
        self.revision = 10
        self.history: list[tuple[Collection, Change]] = []
        self.changed = trio.Event()
        self.is_silent = False
        self.is_rejecting = False
        self.unanswered: set[Collection] = set()
        self.accepts_watches = True
        self.watches = 0
        self.oldest = 0
        self.lagging_at: dict[Collection, int] = {}
        self.polls: list[Collection] = []
        self.lists: list[Collection] = []

    def put(self, collection: Collection, value, is_deleted=False):
        self.revision += 1
        change = Change(Item("main", self.revision, value), is_deleted)
        self.history.append((collection, change))
        self.changed.set()
        self.changed = trio.Event()

    async def list(self, collection):
        self.lists.append(collection)
        await self._answer()
        items: dict[str, Item] = {}
        for of, change in self.history:
            if of is collection and change.is_deleted:
                items.pop(change.item.name, None)
            elif of is collection:
                items[change.item.name] = change.item
        return Snapshot(tuple(items.values()), self.revision)

    async def watch(self, collection, revision, wait_s):
        if wait_s:
            self.watches += 1
        else:
            self.polls.append(collection)
        await self._answer(wait_s)
        if wait_s and not self.accepts_watches:
            raise StoreUnavailable("rejected")
        if wait_s and collection in self.unanswered:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        if revision < self.oldest:
            raise HistoryGone("gone")
        if not wait_s and collection in self.lagging_at:
            return self._changes_up_to(
                collection, revision, self.lagging_at[collection]
            )
        with trio.move_on_after(wait_s):
            while not self._since(collection, revision):
                await self.changed.wait()
        return Changes(self._since(collection, revision), self.revision)

    def _changes_up_to(self, collection, revision, newest):
        since = self._since(collection, revision)
        known = tuple(change for change in since if change.item.revision <= newest)
        return Changes(known, newest)

    def _since(self, collection, revision):
        return tuple(
            change
            for of, change in self.history
            if of is collection and change.item.revision > revision
        )

    async def _answer(self, wait_s=0.0):
        if self.is_rejecting:
            await trio.sleep(ANSWER_S)
            raise StoreUnavailable("rejected")
        if self.is_silent:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await trio.sleep(ANSWER_S)


class PollingVm:
    """A VM with followers of one store and a freshness poller."""

    def __init__(self, store: RevisionedStore):
        self.store = store
        self.log = RecordingLog()
        self.contact = StoreContact()
        self.followers = {
            collection: Follower(
                store, collection, lambda c: None, self.log, contact=self.contact
            )
            for collection in FOLLOWED
        }
        self.is_poller = True
        self.poller = FreshnessPoller(self.followers, lambda: self.is_poller, "vm-0")

    def value(self, collection: Collection):
        item = self.followers[collection].replica.items.get("main")
        return item and item.value

    async def fetch(self, peer, collection, after):
        await trio.sleep(ANSWER_S)
        return self.followers[collection].replica.changes_since(after)

    async def seconds_until(self, collection: Collection, value) -> float:
        began_at = trio.current_time()
        while self.value(collection) != value:
            await trio.sleep(0.01)
        return trio.current_time() - began_at


@contextlib.asynccontextmanager
async def running_vm(interval_s=INTERVAL_S):
    vm = PollingVm(RevisionedStore())
    async with trio.open_nursery() as nursery:
        for follower in vm.followers.values():
            nursery.start_soon(follower.run)
        nursery.start_soon(vm.poller.run, lambda: interval_s)
        await trio.sleep(10)
        yield vm
        nursery.cancel_scope.cancel()


class TestFreshness(unittest.TestCase):
    @on_mock_clock
    async def test_watches_lost_in_an_outage_do_not_hide_changes(self):
        """Watches sent during a store outage are never answered.

        Without polls, every VM would keep an old configuration until the watch times
        out.
        """
        for collection in FOLLOWED:
            async with running_vm() as vm:
                vm.store.put(collection, "first")
                await vm.seconds_until(collection, "first")
                vm.store.is_silent = True
                await trio.sleep(5)
                vm.store.put(collection, "second")
                vm.store.is_silent = False
                seconds = await vm.seconds_until(collection, "second")
                self.assertLess(seconds, CALL_TIMEOUT_S + 0.5, collection)

    @on_mock_clock
    async def test_watches_are_restarted_after_an_outage(self):
        """If lost watches are not restarted, each change waits for the next poll."""
        async with running_vm() as vm:
            vm.store.put(Collection.TARGETS, "first")
            vm.store.is_silent = True
            await trio.sleep(5)
            vm.store.is_silent = False
            await trio.sleep(INTERVAL_S)
            vm.store.put(Collection.TARGETS, "second")
            seconds = await vm.seconds_until(Collection.TARGETS, "second")
            self.assertLess(seconds, 3 * ANSWER_S)

    @on_mock_clock
    async def test_change_that_ends_an_outage_counts_as_after_reconnection(self):
        """Entries of live targets expire during a store outage.

        The end of the outage must be noted before the follower reports the change, or
        these targets are dropped without a grace period.
        """
        async with running_vm() as vm:
            follower, ages_s = vm.followers[Collection.TARGETS], []
            follower.listener = lambda collection: ages_s.append(
                vm.contact.outage_over_for_s
            )
            vm.store.put(Collection.CONFIGURATION, "last before")
            for collection in FOLLOWED:
                vm.followers[collection].restart_watch()
            vm.store.is_silent = True
            await trio.sleep(6)
            vm.store.put(Collection.TARGETS, "ran out", is_deleted=True)
            vm.store.is_silent = False
            await trio.sleep(CALL_TIMEOUT_S + 0.5)
            self.assertLess(ages_s[0], 3 * ANSWER_S)

    @on_mock_clock
    async def test_dead_watch_is_detected_by_the_revision_of_another_collection(self):
        """Only the watch of the targets is dead; the store answers all other calls.

        The VM must still learn in time that a target leaves.
        """
        async with running_vm() as vm:
            vm.store.unanswered = {Collection.TARGETS}
            vm.followers[Collection.TARGETS].restart_watch()
            await trio.sleep(1)
            vm.store.put(Collection.CONFIGURATION, "known")
            vm.store.put(Collection.TARGETS, "leaving")
            seconds = await vm.seconds_until(Collection.TARGETS, "leaving")
            self.assertLess(seconds, INTERVAL_S + 3 * ANSWER_S)

    @on_mock_clock
    async def test_outdated_poll_response_loses_no_change(self):
        """A lagging store answers a poll with an older revision.

        If the replica were marked complete beyond a change that it misses, it would
        never request that change again.
        """
        async with running_vm() as vm:
            vm.store.unanswered = {Collection.TARGETS}
            vm.followers[Collection.TARGETS].restart_watch()
            await trio.sleep(1)
            vm.store.lagging_at = {Collection.TARGETS: vm.store.revision}
            vm.store.put(Collection.TARGETS, "leaving")
            vm.store.put(Collection.CONFIGURATION, "known")
            await trio.sleep(INTERVAL_S + 3 * ANSWER_S)
            vm.store.lagging_at = {}
            with trio.fail_after(INTERVAL_S + 3 * ANSWER_S):
                await vm.seconds_until(Collection.TARGETS, "leaving")

    @on_mock_clock
    async def test_change_found_by_a_poll_reaches_other_vms_in_time(self):
        """VMs that fetch the change from the poller must also have it within 2 s."""
        in_force_within_s = 2.0
        configuration = Collection.CONFIGURATION
        async with running_vm(poll_interval_s(in_force_within_s)) as vm:
            other = Follower(vm.store, configuration, lambda c: None, RecordingLog())
            other.replica.revision = vm.followers[configuration].replica.revision
            vm.store.unanswered = set(FOLLOWED)
            for follower in vm.followers.values():
                follower.restart_watch()
            vm.store.polls.clear()
            while configuration not in vm.store.polls:
                await trio.sleep(0.01)
            await trio.sleep(ANSWER_S)
            began_at = trio.current_time()
            vm.store.put(configuration, "newer")
            await vm.seconds_until(configuration, "newer")
            await other.catch_up("vm-0", vm.store.revision, vm.fetch)
            self.assertEqual(other.replica.items["main"].value, "newer")
            self.assertLess(trio.current_time() - began_at, in_force_within_s)

    @on_mock_clock
    async def test_one_poll_per_interval_while_watches_deliver_all_changes(self):
        """Polling each collection would cost three times as many calls."""
        async with running_vm() as vm:
            vm.store.polls.clear()
            for number in range(20):
                vm.store.put(FOLLOWED[number % 3], number)
                await trio.sleep(1)
            self.assertLessEqual(len(vm.store.polls), 20 / INTERVAL_S + 1)
            self.assertEqual(set(vm.store.polls), {Collection.CONFIGURATION})

    @on_mock_clock
    async def test_expired_history_causes_a_new_list(self):
        """If history has expired, a poll must not continue from the old revision."""
        async with running_vm() as vm:
            vm.store.unanswered = set(FOLLOWED)
            for follower in vm.followers.values():
                follower.restart_watch()
            await trio.sleep(0.5)
            vm.store.put(Collection.CONFIGURATION, "newer")
            vm.store.oldest = vm.store.revision
            seconds = await vm.seconds_until(Collection.CONFIGURATION, "newer")
            self.assertLess(seconds, INTERVAL_S + 3 * ANSWER_S)

    @on_mock_clock
    async def test_unanswered_poll_marks_the_store_as_disconnected(self):
        """Other VMs must not rely on the watches of a disconnected VM."""
        async with running_vm() as vm:
            vm.store.is_silent = True
            await trio.sleep(INTERVAL_S + CALL_TIMEOUT_S + 0.1)
            self.assertFalse(vm.followers[Collection.CONFIGURATION].is_connected)
            vm.store.is_silent = False
            await trio.sleep(CALL_TIMEOUT_S + 0.5)
            self.assertTrue(vm.followers[Collection.CONFIGURATION].is_connected)

    @on_mock_clock
    async def test_rejected_polls_back_off(self):
        """Without backoff, polls would load an overloaded store ten times a second."""
        async with running_vm() as vm:
            vm.store.is_rejecting = True
            await trio.sleep(INTERVAL_S + 2 * MAX_RETRY_DELAY_S)
            vm.store.polls.clear()
            await trio.sleep(20)
            self.assertLessEqual(len(vm.store.polls), 20 / MAX_RETRY_DELAY_S)
            vm.store.is_rejecting = False
            await trio.sleep(MAX_RETRY_DELAY_S + 0.2)
            self.assertFalse(vm.poller.is_store_unreachable)

    @on_mock_clock
    async def test_rejected_watches_back_off_while_polls_are_answered(self):
        """An answered poll must not reset the backoff of rejected watches."""
        async with running_vm() as vm:
            vm.store.accepts_watches = False
            for follower in vm.followers.values():
                follower.restart_watch()
            await trio.sleep(INTERVAL_S)
            vm.store.watches = 0
            await trio.sleep(20)
            max_watches = 20 / MAX_RETRY_DELAY_S * len(FOLLOWED)
            self.assertLessEqual(vm.store.watches, max_watches)

    @on_mock_clock
    async def test_former_poller_restarts_its_watches_after_an_outage(self):
        """Another VM becomes the poller during a store outage.

        The former poller must restart its lost watches, or it counts as disconnected
        for 20 s more.
        """
        async with running_vm() as vm:
            vm.store.put(Collection.TARGETS, "first")
            vm.store.is_silent = True
            await trio.sleep(5)
            vm.is_poller = False
            await trio.sleep(2)
            vm.store.is_silent = False
            await trio.sleep(CALL_TIMEOUT_S + 0.5)
            self.assertTrue(vm.followers[Collection.TARGETS].is_connected)
            vm.store.put(Collection.TARGETS, "second")
            seconds = await vm.seconds_until(Collection.TARGETS, "second")
            self.assertLess(seconds, 3 * ANSWER_S)

    @on_mock_clock
    async def test_vm_that_is_not_the_poller_sends_no_polls(self):
        """If every VM polled, the number of polls would grow with the fleet."""
        async with running_vm() as vm:
            vm.is_poller = False
            await trio.sleep(INTERVAL_S)
            vm.store.polls.clear()
            await trio.sleep(20)
            self.assertEqual(vm.store.polls, [])


class TestPollerSelection(unittest.TestCase):
    @on_mock_clock
    async def test_next_speaker_polls_while_the_first_is_disconnected(self):
        """The next speaker must poll while the store rejects the domain's first one."""
        members = make_members("vm-0")
        beat = make_heartbeat("vm-1", is_store_reachable=True)
        members.record_heartbeat(beat, "10.0.0.1")
        speakers = Speakers(members)
        is_first = speakers.names()[0] == "vm-0"
        self.assertEqual(speakers.is_store_poller(), is_first)
        lost = make_heartbeat("vm-1", 2, is_store_reachable=False)
        members.record_heartbeat(lost, "10.0.0.1")
        self.assertTrue(speakers.is_store_poller())
        members.own = make_heartbeat("vm-0", 2, state=VmState.LEAVING)
        self.assertFalse(speakers.is_store_poller())
