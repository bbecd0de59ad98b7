import random
import unittest

import trio

from plantainshed_gateway.store_contact import (
    MIN_OUTAGE_S,
    ContactReport,
    StoreContact,
)
from tests.support import on_mock_clock

POLL_S = 1.5
REPORT_S = 0.5
# Time after which a VM that hears others again must know what they know.
LEARNING_S = 2 * REPORT_S
RECENT_S = 1.8


class ContactFleet:
    """VMs that poll a store and report to each other, with outages and cuts.

    Attributes
    ----------
    is_up : bool
        Whether the store answers.
    cut : set of int
        VMs that reach neither the store nor other VMs.
    rejected : set of int
        VMs that the store alone does not answer.
    """

    def __init__(self, count: int, rng: random.Random, nursery: trio.Nursery):
        self.is_up, self.cut, self.rejected = True, set(), set()
        self.contacts = [StoreContact(lambda: POLL_S) for _ in range(count)]
        for vm in range(count):
            nursery.start_soon(self.poll, vm, rng.random() * POLL_S)
            nursery.start_soon(self.send, vm, rng.random() * REPORT_S)

    async def poll(self, vm: int, after_s: float):
        await trio.sleep(after_s)
        while True:
            if self.is_up and vm not in self.cut | self.rejected:
                self.contacts[vm].note_answer()
            await trio.sleep(POLL_S)

    async def send(self, vm: int, after_s: float):
        await trio.sleep(after_s)
        while True:
            if vm not in self.cut:
                for other, contact in enumerate(self.contacts):
                    if other != vm and other not in self.cut:
                        contact.merge(self.contacts[vm].report())
            await trio.sleep(REPORT_S)

    def see_outage(self) -> list[bool]:
        """Return for each VM whether it assumes that an outage has just ended."""
        return [c.outage_over_for_s < RECENT_S for c in self.contacts]


class TestStoreContact(unittest.TestCase):
    @on_mock_clock
    async def test_gap_that_no_report_fills_is_an_outage(self):
        contact = StoreContact()
        contact.note_answer()
        await trio.sleep(MIN_OUTAGE_S)
        self.assertFalse(contact.excludes_outage)
        contact.note_answer()
        self.assertEqual(contact.outage_over_for_s, 0.0)

    @on_mock_clock
    async def test_report_refutes_the_outage_that_a_cut_off_vm_assumed(self):
        """Guards against a grace period after the VM's own cut."""
        contact, refuted = StoreContact(), []
        contact.on_outage_refuted = lambda: refuted.append(trio.current_time())
        contact.note_answer()
        await trio.sleep(6)
        contact.note_answer()
        contact.merge(ContactReport(answered_s_ago=5.0, available_s=50.0))
        self.assertEqual((refuted, contact.outage_over_for_s), ([], 0.0))
        contact.merge(ContactReport(answered_s_ago=0.5, available_s=2.0))
        self.assertEqual((refuted, contact.outage_over_for_s), ([], 0.0))
        contact.merge(ContactReport(answered_s_ago=0.5, available_s=50.0))
        self.assertEqual(refuted, [trio.current_time()])
        self.assertGreater(contact.outage_over_for_s, RECENT_S)

    @on_mock_clock
    async def test_vm_that_started_in_an_outage_does_not_refute_it(self):
        """Guards against counting the time since a start as time with answers."""
        contact, started = StoreContact(), StoreContact()
        contact.note_answer()
        await trio.sleep(2.5)
        self.assertIsNone(started.report())
        await trio.sleep(2.0)
        contact.note_answer()
        started.note_answer()
        contact.merge(started.report())
        self.assertEqual(contact.outage_over_for_s, 0.0)

    @on_mock_clock
    async def test_drawn_outages_and_cuts_are_told_apart(self):
        """Guards against dropping live targets and keeping removed ones."""
        for seed in range(60):
            rng = random.Random(seed)
            async with trio.open_nursery() as nursery:
                fleet = ContactFleet(rng.choice((2, 4, 7, 24)), rng, nursery)
                await trio.sleep(4 + rng.random())
                await self.check_outage(fleet, rng)
                await trio.sleep(4 + rng.random())
                await self.check_cut(fleet, rng)
                nursery.cancel_scope.cancel()

    async def check_outage(self, fleet: ContactFleet, rng: random.Random):
        fleet.is_up = False
        await trio.sleep(rng.uniform(3.0, 8.0))
        fleet.is_up = True
        while not any(fleet.see_outage()):
            await trio.sleep(0.01)
        await trio.sleep(REPORT_S)
        self.assertTrue(all(fleet.see_outage()))

    async def check_cut(self, fleet: ContactFleet, rng: random.Random):
        vms = list(range(len(fleet.contacts)))
        lost = set(rng.sample(vms, rng.randrange(1, len(vms))))
        fleet.cut = {vm for vm in lost if rng.random() < 0.5}
        fleet.rejected = lost - fleet.cut
        await trio.sleep(rng.uniform(3.0, 8.0))
        fleet.cut, fleet.rejected = set(), set()
        await trio.sleep(LEARNING_S)
        for _ in range(30):
            self.assertFalse(any(fleet.see_outage()))
            await trio.sleep(0.1)
