"""Membership, failure detection and superseded processes."""

import unittest

import trio

from plantainshed_coordination.members import Liveness
from plantainshed_coordination.membership import PAUSE_THRESHOLD_S, SILENT_AFTER_S
from plantainshed_coordination.platform import ListedVm
from tests.support import FOUR_VMS, MemoryFleet, on_mock_clock


class TestMembership(unittest.TestCase):
    @on_mock_clock
    async def test_every_vm_learns_of_all_vms(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            for vm in vms.values():
                self.assertEqual(len(vm.membership.usable_vms()), 4)

    @on_mock_clock
    async def test_dead_vm_is_suspected_then_silent_then_gone(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.kill("a-2")
            view = vms["a-1"].membership
            await trio.sleep(4)
            self.assertIs(view.liveness("a-2"), Liveness.SUSPECT)
            await trio.sleep(4)
            self.assertIs(view.liveness("a-2"), Liveness.SILENT)
            del fleet.platform.vms["a-2"]
            await trio.sleep(5)
            self.assertIs(view.liveness("a-2"), Liveness.GONE)
            self.assertIs(vms["b-1"].membership.liveness("a-2"), Liveness.GONE)

    @on_mock_clock
    async def test_one_broken_link_makes_no_vm_suspect(self):
        """Guards against steering callers away from a healthy VM.

        Two VMs of a failure domain cannot reach each other, while a third VM
        receives the heartbeats of both.
        """
        fleet = MemoryFleet((("a-1", "a"), ("a-2", "a"), ("a-3", "a")))
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.network.faults.is_cut = lambda s, r: {s, r} == {"a-1", "a-2"}
            await trio.sleep(20)
            self.assertIs(vms["a-1"].membership.liveness("a-2"), Liveness.ALIVE)

    @on_mock_clock
    async def test_new_vm_missing_from_the_lagging_list_is_not_gone(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            del fleet.platform.vms["b-1"]
            await trio.sleep(30)
            self.assertIs(vms["a-1"].membership.liveness("b-1"), Liveness.ALIVE)

    @on_mock_clock
    async def test_silent_but_listed_vm_is_not_gone(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.cut(["a-1", "a-2"], ["b-1", "b-2"])
            await trio.sleep(60)
            self.assertIs(vms["a-1"].membership.liveness("b-1"), Liveness.SILENT)
            fleet.heal()
            await trio.sleep(5)
            self.assertIs(vms["a-1"].membership.liveness("b-1"), Liveness.ALIVE)

    @on_mock_clock
    async def test_paused_vm_does_not_rely_on_its_old_view(self):
        """Guards against admitting requests with a key withdrawn minutes ago.

        The process is paused while the key is withdrawn. When it resumes, it
        admits a waiting request before any update has arrived.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            view = vms["a-1"].membership
            self.assertTrue(view.is_caught_up())
            view.last_tick -= PAUSE_THRESHOLD_S
            self.assertFalse(view.is_caught_up())
            await trio.sleep(2)
            self.assertTrue(view.is_caught_up())

    @on_mock_clock
    async def test_superseded_process_stops_when_it_resumes(self):
        """Guards against two processes of one VM using the same limits.

        A process is paused and the platform starts another one under the same
        name. The first one resumes and keeps using parts of the budgets that
        have been given to other VMs.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            old = vms["a-1"]
            fleet.start("a-1")
            await trio.sleep(3)
            await fleet.vms["a-2"].network.send_to(
                "a-1", "heartbeat", fleet.vms["a-2"].membership._heartbeat()
            )
            beat = fleet.vms["a-2"].membership._heartbeat()
            await old.membership._on_heartbeat(None, beat)
            self.assertTrue(old.membership.superseded.is_set())
            self.assertFalse(old.membership.is_caught_up())

    @on_mock_clock
    async def test_restart_with_an_earlier_clock_takes_the_next_incarnation(self):
        """Guards against ignoring a restarted VM as an earlier incarnation.

        The VM's clock went back between two starts, so the new process has the
        lower incarnation.
        """
        fleet = MemoryFleet(FOUR_VMS)
        fleet.incarnation = 100
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.kill("a-1")
            await trio.sleep(SILENT_AFTER_S)
            fleet.incarnation = 0
            vms["a-1"] = fleet.start("a-1")
            vms["a-1"].membership._has_been_ready = False
            await trio.sleep(10)
            member = vms["b-1"].membership.table.members["a-1"]
            self.assertGreater(member.record.incarnation, 101)
            self.assertIs(vms["b-1"].membership.liveness("a-1"), Liveness.ALIVE)

    @on_mock_clock
    async def test_domain_stays_reachable_when_its_oldest_vm_dies(self):
        """Guards against a healthy failure domain seeming unreachable for hours.

        The longest-running VM of the domain, with the highest summary number,
        dies. The lower numbers of the other VM were treated as outdated.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(600)
            fleet.kill("b-2")
            await trio.sleep(10)
            fleet.start("b-2")
            await trio.sleep(10)
            fleet.kill("b-1")
            await trio.sleep(20)
            view = vms["a-1"].membership
            self.assertIn("b", view.reachable_domains())
            self.assertIs(view.liveness("b-2"), Liveness.ALIVE)

    @on_mock_clock
    async def test_every_vm_learns_which_vms_are_leaving(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.platform.vms["b-1"] = ListedVm("b-1", leaving=True)
            await trio.sleep(4)
            for vm in vms.values():
                self.assertEqual(vm.membership.leaving_vms(), ["b-1"])
            fleet.platform.vms["b-1"] = ListedVm("b-1", leaving=False)
            await trio.sleep(30)
            self.assertEqual(vms["a-1"].membership.leaving_vms(), [])

    @on_mock_clock
    async def test_tolerates_loss_duplicates_and_reordering(self):
        fleet = MemoryFleet(FOUR_VMS, seed=5)
        fleet.network.faults.loss = 0.3
        fleet.network.faults.repeat = 0.3
        fleet.network.faults.jitter_s = 0.5
        async with fleet.running() as vms:
            for _ in range(30):
                await trio.sleep(5)
                for vm in vms.values():
                    live = [vm.membership.liveness(n) for n in fleet.domains]
                    self.assertNotIn(Liveness.GONE, live)
            self.assertEqual(len(vms["a-1"].membership.usable_vms()), 4)
