import contextlib
import unittest

import trio

from plantainshed_gateway.errors import HistoryGone, StoreUnavailable
from plantainshed_gateway.freshness import Freshness, poll_interval_s
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.ports import Change, Changes, Collection, Item, Snapshot
from plantainshed_gateway.replication import LONGEST_RETRY_S, Follower
from plantainshed_gateway.speakers import Speakers
from tests.gateway.gateway_support import NoLog, make_heartbeat, make_members
from tests.support import on_mock_clock

INTERVAL_S = 2.0
ANSWER_S = 0.03
CALL_TIMEOUT_S = 1.0
FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)


class RevisionedStore:
    """One revision for all collections; what is sent into its silence is lost.

    Attributes
    ----------
    is_silent : bool
        Whether calls that begin now are never answered.
    is_refusing : bool
        Whether calls that begin now are turned away at once.
    deaf : set of Collection
        Collections whose waiting watches are never answered.
    takes_watches : bool
        Whether waiting watches are not turned away at once.
    oldest : int
        Changes up to this revision are forgotten.
    lagging_at : dict of Collection to int
        Revision up to which polls of a collection are answered, if not to the newest.
    """

    def __init__(self):
        self.revision = 10
        self.history: list[tuple[Collection, Change]] = []
        self.changed = trio.Event()
        self.is_silent = False
        self.is_refusing = False
        self.deaf: set[Collection] = set()
        self.takes_watches = True
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
        if wait_s and not self.takes_watches:
            raise StoreUnavailable("turned away")
        if wait_s and collection in self.deaf:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        if revision < self.oldest:
            raise HistoryGone("gone")
        if not wait_s and collection in self.lagging_at:
            return self._as_of(collection, revision, self.lagging_at[collection])
        with trio.move_on_after(wait_s):
            while not self._since(collection, revision):
                await self.changed.wait()
        return Changes(self._since(collection, revision), self.revision)

    def _as_of(self, collection, revision, newest):
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
        if self.is_refusing:
            await trio.sleep(ANSWER_S)
            raise StoreUnavailable("turned away")
        if self.is_silent:
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await trio.sleep(ANSWER_S)


class FreshVm:
    """Followers of one store, and the polls beside them."""

    def __init__(self, store: RevisionedStore):
        self.store = store
        self.log = NoLog()
        self.followers = {
            collection: Follower(store, collection, lambda c: None, self.log)
            for collection in FOLLOWED
        }
        self.is_on_duty = True
        self.freshness = Freshness(self.followers, lambda: self.is_on_duty, "vm-0")

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
    vm = FreshVm(RevisionedStore())
    async with trio.open_nursery() as nursery:
        for follower in vm.followers.values():
            nursery.start_soon(follower.run)
        nursery.start_soon(vm.freshness.run, lambda: interval_s)
        await trio.sleep(10)
        yield vm
        nursery.cancel_scope.cancel()


class TestFreshness(unittest.TestCase):
    @on_mock_clock
    async def test_watches_sent_into_a_silence_do_not_hide_changes(self):
        """Every VM kept an old configuration for as long as a watch may wait."""
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
    async def test_watches_are_sent_again_after_a_silence(self):
        """After a silence each change took a poll's interval to arrive."""
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
    async def test_change_that_ends_a_silence_is_taken_as_one_after_it(self):
        """Targets whose entries ran out in a silence were dropped though they live."""
        async with running_vm() as vm:
            follower, ages_s = vm.followers[Collection.TARGETS], []
            follower.listener = lambda collection: ages_s.append(
                trio.current_time() - follower.regained_at
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
    async def test_one_silent_watch_is_noticed_by_the_revision_of_another(self):
        """A target's leaving was unknown though the store answered all else."""
        async with running_vm() as vm:
            vm.store.deaf = {Collection.TARGETS}
            vm.followers[Collection.TARGETS].restart_watch()
            await trio.sleep(1)
            vm.store.put(Collection.CONFIGURATION, "known")
            vm.store.put(Collection.TARGETS, "leaving")
            seconds = await vm.seconds_until(Collection.TARGETS, "leaving")
            self.assertLess(seconds, INTERVAL_S + 3 * ANSWER_S)

    @on_mock_clock
    async def test_poll_answered_late_by_the_store_loses_no_change(self):
        """A copy marked complete past a change never asked for it again."""
        async with running_vm() as vm:
            vm.store.deaf = {Collection.TARGETS}
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
    async def test_change_that_only_a_poll_brings_reaches_others_in_time(self):
        """Callers of VMs that are told of it met the old version after 2 s."""
        in_force_within_s = 2.0
        configuration = Collection.CONFIGURATION
        async with running_vm(poll_interval_s(in_force_within_s)) as vm:
            other = Follower(vm.store, configuration, lambda c: None, NoLog())
            other.replica.revision = vm.followers[configuration].replica.revision
            vm.store.deaf = set(FOLLOWED)
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
    async def test_polls_are_one_an_interval_while_watches_bring_all(self):
        """Polls of each collection would cost three times as many calls."""
        async with running_vm() as vm:
            vm.store.polls.clear()
            for number in range(20):
                vm.store.put(FOLLOWED[number % 3], number)
                await trio.sleep(1)
            self.assertLessEqual(len(vm.store.polls), 20 / INTERVAL_S + 1)
            self.assertEqual(set(vm.store.polls), {Collection.CONFIGURATION})

    @on_mock_clock
    async def test_forgotten_history_is_read_anew(self):
        """A poll met forgotten history and went on from the old revision."""
        async with running_vm() as vm:
            vm.store.deaf = set(FOLLOWED)
            for follower in vm.followers.values():
                follower.restart_watch()
            await trio.sleep(0.5)
            vm.store.put(Collection.CONFIGURATION, "newer")
            vm.store.oldest = vm.store.revision
            seconds = await vm.seconds_until(Collection.CONFIGURATION, "newer")
            self.assertLess(seconds, INTERVAL_S + 3 * ANSWER_S)

    @on_mock_clock
    async def test_unanswered_poll_counts_as_a_lost_store(self):
        """VMs left their watches to one that heard nothing."""
        async with running_vm() as vm:
            vm.store.is_silent = True
            await trio.sleep(INTERVAL_S + CALL_TIMEOUT_S + 0.1)
            self.assertFalse(vm.followers[Collection.CONFIGURATION].is_in_touch)
            vm.store.is_silent = False
            await trio.sleep(CALL_TIMEOUT_S + 0.5)
            self.assertTrue(vm.followers[Collection.CONFIGURATION].is_in_touch)

    @on_mock_clock
    async def test_polls_that_are_turned_away_become_rarer(self):
        """Polls kept a store that turns away what is too much busy, ten a second."""
        async with running_vm() as vm:
            vm.store.is_refusing = True
            await trio.sleep(INTERVAL_S + 2 * LONGEST_RETRY_S)
            vm.store.polls.clear()
            await trio.sleep(20)
            self.assertLessEqual(len(vm.store.polls), 20 / LONGEST_RETRY_S)
            vm.store.is_refusing = False
            await trio.sleep(LONGEST_RETRY_S + 0.2)
            self.assertFalse(vm.freshness.is_lost)

    @on_mock_clock
    async def test_watches_that_are_turned_away_stay_rare_while_polls_are_answered(
        self,
    ):
        """Each answered poll made the watches of a busy store frequent again."""
        async with running_vm() as vm:
            vm.store.takes_watches = False
            for follower in vm.followers.values():
                follower.restart_watch()
            await trio.sleep(INTERVAL_S)
            vm.store.watches = 0
            await trio.sleep(20)
            most = 20 / LONGEST_RETRY_S * len(FOLLOWED)
            self.assertLessEqual(vm.store.watches, most)

    @on_mock_clock
    async def test_vm_that_goes_off_duty_in_a_silence_sends_its_watches_again(self):
        """A VM whose watches went silent counted as cut off for 20 s more."""
        async with running_vm() as vm:
            vm.store.put(Collection.TARGETS, "first")
            vm.store.is_silent = True
            await trio.sleep(5)
            vm.is_on_duty = False
            await trio.sleep(2)
            vm.store.is_silent = False
            await trio.sleep(CALL_TIMEOUT_S + 0.5)
            self.assertTrue(vm.followers[Collection.TARGETS].is_in_touch)
            vm.store.put(Collection.TARGETS, "second")
            seconds = await vm.seconds_until(Collection.TARGETS, "second")
            self.assertLess(seconds, 3 * ANSWER_S)

    @on_mock_clock
    async def test_vm_off_duty_sends_no_polls(self):
        """Polls of every VM would grow with the fleet."""
        async with running_vm() as vm:
            vm.is_on_duty = False
            await trio.sleep(INTERVAL_S)
            vm.store.polls.clear()
            await trio.sleep(20)
            self.assertEqual(vm.store.polls, [])


class TestDuty(unittest.TestCase):
    @on_mock_clock
    async def test_next_speaker_polls_while_the_first_hears_nothing(self):
        """Nobody of a domain polled while the store turned its first speaker away."""
        members = make_members("vm-0")
        beat = make_heartbeat("vm-1", is_store_reachable=True)
        members.record_heartbeat(beat, "10.0.0.1")
        speakers = Speakers(members)
        is_first = speakers.names()[0] == "vm-0"
        self.assertEqual(speakers.is_first_to_reach_store(), is_first)
        lost = make_heartbeat("vm-1", 2, is_store_reachable=False)
        members.record_heartbeat(lost, "10.0.0.1")
        self.assertTrue(speakers.is_first_to_reach_store())
        members.own = make_heartbeat("vm-0", 2, state=VmState.LEAVING)
        self.assertFalse(speakers.is_first_to_reach_store())
