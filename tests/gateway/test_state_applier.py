import unittest

import trio

from plantainshed_gateway.admission import Admission
from plantainshed_gateway.errors import BadItem
from plantainshed_gateway.ports import Collection, Item, Snapshot
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.replication import PEER_GRACE_S, Follower
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.state_applier import StateApplier
from plantainshed_gateway.store_contact import ContactReport, StoreContact
from plantainshed_http.server import ConnectionLimits
from tests.gateway.gateway_support import (
    BOUNDS,
    RecordingLog,
    make_configuration,
    make_entry,
    make_members,
    make_round_trips,
)
from tests.support import on_mock_clock

# Time for a watch response to a peer, the peer's heartbeat, and its fetch response.
PROPAGATION_S = 0.1


class VersionDecoder:
    """Decodes an object's value as the version of a configuration."""

    def configuration(self, item: Item):
        return make_configuration(version=item.value)


class NameDecoder:
    """Decodes an object's name as the instance of a target."""

    def target(self, item: Item):
        return make_entry(item.name)


def make_applier(decoder, follower: Follower, log, contact=None) -> StateApplier:
    quotas = Quotas(make_members(), BOUNDS, make_round_trips())
    followers = {follower.collection: follower}
    admission = Admission(None, quotas, None)
    registry = Registry({})
    return StateApplier(
        decoder,
        followers,
        admission,
        registry,
        ConnectionLimits(),
        contact or StoreContact(),
        log,
    )


def apply_targets(applier: StateApplier, revision: int, *names: str):
    items = tuple(Item(name, 5, None) for name in names)
    replica = applier.followers[Collection.TARGETS].replica
    replica.apply_snapshot(Snapshot(items, revision))
    applier.apply(Collection.TARGETS)


class TestStateApplier(unittest.TestCase):
    @on_mock_clock
    async def test_ignored_configuration_is_logged(self):
        """Without a log line, an ignored configuration looks like a missing one."""
        log = RecordingLog()
        follower = Follower(None, Collection.CONFIGURATION, lambda c: None, log)
        applier = make_applier(VersionDecoder(), follower, log)
        for revision, version in ((5, 9), (6, 8)):
            items = (Item("main", revision, version),)
            follower.replica.apply_snapshot(Snapshot(items, revision))
            applier.apply(Collection.CONFIGURATION)
        self.assertEqual(applier.admission.configuration.version, 9)
        name, fields = log.events[-1]
        self.assertEqual(name, "configuration not newer")
        self.assertEqual((fields["version"], fields["version_in_force"]), (8, 9))

    @on_mock_clock
    async def test_expired_entry_is_kept_if_a_peer_reconnects_to_the_store_first(self):
        """After a store outage, a peer may report expired entries of live targets.

        A VM that is still disconnected from the store must keep these targets for
        the grace period instead of dropping them.
        """
        log, contact = RecordingLog(), StoreContact()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        applier = make_applier(NameDecoder(), follower, log, contact)
        contact.note_answer()
        apply_targets(applier, 5, "i-0", "i-1")
        await trio.sleep(5)
        follower.mark_disconnected("no answer")
        delay_s = PEER_GRACE_S + PROPAGATION_S
        contact.merge(ContactReport(delay_s, delay_s))
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 2)
        await trio.sleep(2.0 - PEER_GRACE_S - PROPAGATION_S)
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)

    @on_mock_clock
    async def test_target_that_left_during_a_pause_is_dropped_after_it(self):
        """After a pause, a target that left must not be kept for the 1.8 s grace.

        A store call that times out during the pause looks like a store outage, which
        would start the grace period.
        """
        log = RecordingLog()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        applier = make_applier(NameDecoder(), follower, log)
        follower.mark_connected()
        apply_targets(applier, 5, "i-0", "i-1")
        follower.mark_disconnected("watch timed out without a response")
        applier.note_pause()
        follower.mark_connected()
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)

    @on_mock_clock
    async def test_vm_with_delegated_watch_drops_removed_targets_at_once(self):
        """A failed last watch must not make a VM keep targets that have left.

        A VM that relies on other VMs' watches applies their changes immediately.
        """
        follower = Follower(None, Collection.TARGETS, lambda c: None, RecordingLog())
        applier = make_applier(NameDecoder(), follower, RecordingLog())
        follower.mark_connected()
        apply_targets(applier, 5, "i-0", "i-1")
        follower.mark_disconnected("watch timed out without a response")
        follower.is_watch_delegated = True
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)

    @on_mock_clock
    async def test_many_targets_removed_at_once_get_no_requests(self):
        """Guards against taking a removal of many targets for an outage."""
        contact = StoreContact()
        follower = Follower(None, Collection.TARGETS, lambda c: None, RecordingLog())
        applier = make_applier(NameDecoder(), follower, RecordingLog(), contact)
        contact.note_answer()
        apply_targets(applier, 5, *(f"i-{n}" for n in range(8)))
        await trio.sleep(1.5)
        contact.note_answer()
        apply_targets(applier, 6, "i-6", "i-7")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 2)

    @on_mock_clock
    async def test_target_kept_by_mistake_is_dropped_when_others_report(self):
        """Guards against waiting for the grace period's end after the VM's own cut."""
        contact, log = StoreContact(), RecordingLog()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        applier = make_applier(NameDecoder(), follower, log, contact)
        contact.note_answer()
        apply_targets(applier, 5, "i-0", "i-1")
        await trio.sleep(5)
        contact.note_answer()
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 2)
        contact.merge(ContactReport(answered_s_ago=0.2, available_s=30.0))
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)
        self.assertEqual(log.events[-1][0], "missing targets dropped")


class CountingDecoder(NameDecoder):
    """Counts how often it decodes; objects without a value are invalid."""

    def __init__(self):
        self.decoded = []

    def target(self, item: Item):
        self.decoded.append((item.name, item.revision))
        if item.value is None:
            raise BadItem(item.name, "addr", "missing")
        return make_entry(item.name)


class TestDecoding(unittest.TestCase):
    def apply(self, applier: StateApplier, *items: Item):
        replica = applier.followers[Collection.TARGETS].replica
        replica.apply_snapshot(Snapshot(items, replica.revision + 1))
        applier.apply(Collection.TARGETS)

    @on_mock_clock
    async def test_only_changed_targets_are_decoded_again(self):
        """Guards against decoding hundreds of targets for a change of one."""
        log = RecordingLog()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        decoder = CountingDecoder()
        applier = make_applier(decoder, follower, log)
        items = [Item(f"i-{n}", n + 1, "") for n in range(200)]
        self.apply(applier, *items)
        decoder.decoded.clear()
        self.apply(applier, Item("i-0", 201, ""), *items[1:])
        self.assertEqual(decoder.decoded, [("i-0", 201)])
        self.assertEqual(len(applier.registry.states), 200)

    @on_mock_clock
    async def test_invalid_target_stays_unused_until_it_changes(self):
        """Guards against an invalid entry that counts as valid when it is reused."""
        log = RecordingLog()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        applier = make_applier(CountingDecoder(), follower, log)
        for _ in range(2):
            self.apply(applier, Item("i-0", 1, ""), Item("i-1", 2, None))
            self.assertEqual(set(applier.registry.states), {"i-0"})
        self.apply(applier, Item("i-0", 1, ""), Item("i-1", 3, ""))
        self.assertEqual(set(applier.registry.states), {"i-0", "i-1"})
