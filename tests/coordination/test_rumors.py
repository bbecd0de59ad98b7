"""Rumors, which must reach every VM."""

import unittest

import trio

from tests.support import FOUR_VMS, MemoryFleet, on_mock_clock


class TestRumorBook(unittest.TestCase):
    @on_mock_clock
    async def test_reaches_every_vm_without_the_store(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            await fleet.platform.set_down(True)
            vms["a-1"].rumors.publish("key-withdrawn", "k1")
            await trio.sleep(1)
            for vm in vms.values():
                self.assertTrue(vm.rumors.knows("key-withdrawn", "k1"))

    @on_mock_clock
    async def test_reaches_a_domain_after_a_long_partition(self):
        """Guards against a withdrawn key staying valid in one failure domain.

        The domain was partitioned while the key was withdrawn, and flooding
        had ended long before the partition healed.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            fleet.cut(["a-1", "a-2"], ["b-1", "b-2"])
            vms["a-1"].rumors.publish("key-withdrawn", "k1")
            await trio.sleep(300)
            self.assertFalse(vms["b-2"].rumors.knows("key-withdrawn", "k1"))
            fleet.heal()
            await trio.sleep(5)
            self.assertTrue(vms["b-2"].rumors.knows("key-withdrawn", "k1"))

    @on_mock_clock
    async def test_reaches_a_new_vm(self):
        """Guards against a withdrawn key becoming valid again on a replaced VM."""
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            vms["a-1"].rumors.publish("key-withdrawn", "k1")
            await trio.sleep(30)
            fleet.kill("b-1")
            await trio.sleep(1)
            vms["b-1"] = fleet.start("b-1")
            await trio.sleep(4)
            self.assertTrue(vms["b-1"].rumors.knows("key-withdrawn", "k1"))

    @on_mock_clock
    async def test_tolerates_heavy_loss(self):
        fleet = MemoryFleet(FOUR_VMS, seed=3)
        fleet.network.faults.loss = 0.5
        async with fleet.running() as vms:
            await trio.sleep(10)
            vms["b-2"].rumors.publish("key-withdrawn", "k1")
            await trio.sleep(5)
            for vm in vms.values():
                self.assertTrue(vm.rumors.knows("key-withdrawn", "k1"))

    @on_mock_clock
    async def test_expires(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            vms["a-1"].rumors.publish("crash-mark", "x", ttl_s=10)
            await trio.sleep(2)
            self.assertTrue(vms["b-2"].rumors.knows("crash-mark", "x"))
            await trio.sleep(10)
            self.assertFalse(vms["b-2"].rumors.knows("crash-mark", "x"))
