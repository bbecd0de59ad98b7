import unittest

from plantainshed_gateway.admission import Admission
from plantainshed_gateway.ports import Collection, Item, Snapshot
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.registry import Registry
from plantainshed_gateway.replication import Follower
from plantainshed_gateway.state_taker import StateTaker
from plantainshed_http.server import ConnectionLimits
from tests.gateway.gateway_support import (
    BOUNDS,
    NoLog,
    make_configuration,
    make_members,
    make_round_trips,
)
from tests.support import on_mock_clock


class VersionDecoder:
    """Takes an object's value for the version of a configuration."""

    def configuration(self, item: Item):
        return make_configuration(version=item.value)


class TestStateTaker(unittest.TestCase):
    @on_mock_clock
    async def test_configuration_that_is_not_put_in_force_has_a_line(self):
        """A refused configuration looked like one that never came."""
        log = NoLog()
        quotas = Quotas(make_members(), BOUNDS, make_round_trips())
        admission = Admission(None, quotas, None)
        follower = Follower(None, Collection.CONFIGURATION, lambda c: None, log)
        taker = StateTaker(
            VersionDecoder(),
            {Collection.CONFIGURATION: follower},
            admission,
            Registry({}),
            ConnectionLimits(),
            log,
        )
        for revision, version in ((5, 9), (6, 8)):
            items = (Item("main", revision, version),)
            follower.replica.take_snapshot(Snapshot(items, revision))
            taker.take(Collection.CONFIGURATION)
        self.assertEqual(admission.configuration.version, 9)
        name, fields = log.events[-1]
        self.assertEqual(name, "configuration not newer")
        self.assertEqual((fields["version"], fields["version_in_force"]), (8, 9))
