import unittest

import trio

from plantainshed_gateway.admission import Admission
from plantainshed_gateway.ports import Collection, Item, Snapshot
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.registry import Registry
from plantainshed_gateway.replication import PEER_GRACE_S, Follower
from plantainshed_gateway.state_taker import StateApplier
from plantainshed_http.server import ConnectionLimits
from tests.gateway.gateway_support import (
    BOUNDS,
    NoLog,
    make_configuration,
    make_entry,
    make_members,
    make_round_trips,
)
from tests.support import on_mock_clock

# A watch's answer to a peer, its word to others, and its answer to their question.
ANSWERS_S = 0.1


class VersionDecoder:
    """Takes an object's value for the version of a configuration."""

    def configuration(self, item: Item):
        return make_configuration(version=item.value)


class NameDecoder:
    """Takes an object's name for the instance of a target."""

    def target(self, item: Item):
        return make_entry(item.name)


def make_applier(decoder, follower: Follower, log) -> StateApplier:
    quotas = Quotas(make_members(), BOUNDS, make_round_trips())
    followers = {follower.collection: follower}
    admission = Admission(None, quotas, None)
    registry = Registry({})
    return StateApplier(
        decoder, followers, admission, registry, ConnectionLimits(), log
    )


def apply_targets(applier: StateApplier, revision: int, *names: str):
    items = tuple(Item(name, 5, None) for name in names)
    replica = applier.followers[Collection.TARGETS].replica
    replica.apply_snapshot(Snapshot(items, revision))
    applier.apply(Collection.TARGETS)


class TestStateTaker(unittest.TestCase):
    @on_mock_clock
    async def test_configuration_that_is_not_put_in_force_has_a_line(self):
        """A refused configuration looked like one that never came."""
        log = NoLog()
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
    async def test_entry_that_ran_out_is_kept_where_a_peer_hears_the_store_first(self):
        """A VM dropped living targets that a peer told it of before the store did."""
        log = NoLog()
        follower = Follower(None, Collection.TARGETS, lambda c: None, log)
        applier = make_applier(NameDecoder(), follower, log)
        follower.mark_connected()
        follower.mark_disconnected("no answer")
        apply_targets(applier, 5, "i-0", "i-1")
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 2)
        await trio.sleep(2.0 - PEER_GRACE_S - ANSWERS_S)
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)

    @on_mock_clock
    async def test_target_that_left_during_a_pause_gets_nothing_after_it(self):
        """A VM that woke sent requests to a target that had left for 1.8 s more."""
        log = NoLog()
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
    async def test_vm_that_leaves_watching_to_others_believes_them_at_once(self):
        """A VM whose last own watch went silent kept each target that had left."""
        follower = Follower(None, Collection.TARGETS, lambda c: None, NoLog())
        applier = make_applier(NameDecoder(), follower, NoLog())
        follower.mark_connected()
        apply_targets(applier, 5, "i-0", "i-1")
        follower.mark_disconnected("watch timed out without a response")
        follower.is_watch_delegated = True
        apply_targets(applier, 6, "i-1")
        self.assertEqual(len(applier.registry.usable("calendario", frozenset())), 1)
