import io
import unittest

import trio

from plantainshed_gateway.heartbeats import DomainSummary
from plantainshed_gateway.load_sharing import LoadSharing
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.peer_messages import PeerMessageHandler
from plantainshed_gateway.permits import Permits
from plantainshed_gateway.poison import PoisonTracker
from plantainshed_gateway.settings import ShareLoad
from plantainshed_gateway.speakers import Speakers
from plantainshed_gateway.store_contact import StoreContact
from tests.gateway.gateway_support import make_heartbeat, make_limits, make_members
from tests.support import on_mock_clock


class FakePeers:
    ip = "10.0.0.0"

    def __init__(self):
        self.announced = 0
        self.relayed = 0

    async def send_now(self, to_far=True):
        self.announced += 1

    def relay_summaries(self):
        self.relayed += 1

    async def send(self, message, ip):
        pass


def make_summary(domain: str, number: int) -> DomainSummary:
    return DomainSummary(domain, "veneto", f"{domain}-1", 1, number, "c:1", 0.1)


class TestAnnouncements(unittest.TestCase):
    """All VMs start at once after an outage, and none knows another.

    VMs announced themselves only with their next heartbeat, up to a second and a half
    later between domains. Until then, a workspace's tokens could not move between VMs:
    260 requests were refused in the first two seconds.
    """

    def make_vm(self):
        members, peers = make_members(), FakePeers()
        log = DecisionLog("vm-0", "mil-a", io.StringIO())
        speakers = Speakers(members)
        permits = Permits(make_limits(), None, None)
        load = LoadSharing(ShareLoad.AUTO, members, permits.limits.registry, log)
        messages = PeerMessageHandler(
            peers,
            members,
            speakers,
            None,
            permits,
            load,
            PoisonTracker(),
            {},
            StoreContact(),
            log,
        )
        return messages, peers

    @on_mock_clock
    async def test_vm_heard_for_the_first_time_triggers_an_announcement(self):
        messages, peers = self.make_vm()
        await messages.handle(make_heartbeat("vm-1"), "10.0.0.1")
        self.assertEqual(peers.announced, 1)
        await trio.sleep(0.5)
        await messages.handle(make_heartbeat("vm-1", 2), "10.0.0.1")
        self.assertEqual(peers.announced, 1)
        await trio.sleep(5)
        await messages.handle(make_heartbeat("vm-1", 3), "10.0.0.1")
        self.assertEqual(peers.announced, 2)

    @on_mock_clock
    async def test_domain_heard_for_the_first_time_is_relayed_and_announced_to(self):
        messages, peers = self.make_vm()
        await messages.handle(make_summary("ven-a", 1), "10.0.1.1")
        self.assertEqual((peers.announced, peers.relayed), (1, 1))
        await trio.sleep(1)
        await messages.handle(make_summary("ven-a", 2), "10.0.1.1")
        self.assertEqual((peers.announced, peers.relayed), (1, 1))

    @on_mock_clock
    async def test_many_vms_that_start_at_once_cause_one_announcement(self):
        messages, peers = self.make_vm()
        for n in range(1, 40):
            await messages.handle(make_heartbeat(f"vm-{n}"), f"10.0.0.{n}")
        self.assertEqual(peers.announced, 1)
