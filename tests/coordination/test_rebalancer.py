"""Moving budget parts between VMs through the ledger."""

import unittest

import trio

from plantainshed_coordination.budgets import RATE_UNITS
from plantainshed_coordination.division import divide
from plantainshed_coordination.ledger import read_ledger, shard_of
from plantainshed_coordination.peer_pb2 import LowerParts, Part, SetParts
from tests.support import (
    FOUR_VMS,
    WORKSPACE,
    MemoryFleet,
    StoreAccess,
    on_mock_clock,
)

SHARD = shard_of(WORKSPACE)


async def ask_for(vm, rate, seconds):
    """Request tokens at a rate for ``seconds``; return the number obtained."""
    taken = 0
    for _ in range(int(rate * seconds)):
        taken += await vm.lending.take(WORKSPACE.name)
        await trio.sleep(1 / rate)
    return taken


class TestRebalancer(unittest.TestCase):
    @on_mock_clock
    async def test_parts_follow_demand(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            await ask_for(vms["b-1"], 40, 10)
            expected = divide(RATE_UNITS, {"a-1": 0, "a-2": 0, "b-1": 1, "b-2": 0})
            self.assertEqual(vms["b-1"].part.units, expected["b-1"])
            self.assertEqual(fleet.units(), RATE_UNITS)

    @on_mock_clock
    async def test_parts_of_a_dead_vm_are_reassigned(self):
        """Guards against a workspace staying below its rate after a VM died.

        A VM that held most of a rate dies, and the platform removes it from its list
        some seconds later. Its part must then go to the other VMs.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            await ask_for(vms["a-1"], 40, 10)
            fleet.kill("a-1")
            await trio.sleep(10)
            del fleet.platform.vms["a-1"]
            await trio.sleep(30)
            self.assertEqual(fleet.units(), RATE_UNITS)

    @on_mock_clock
    async def test_part_of_a_silent_but_listed_vm_is_not_reassigned(self):
        """Guards against two VMs using the same part, which exceeds the rate.

        A VM is cut off but alive and keeps using its part. The others receive nothing
        from it, but must not reassign its part.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            held = vms["b-2"].part.units
            fleet.cut(["a-1", "a-2", "b-1"], ["b-2"])
            await trio.sleep(120)
            self.assertEqual(vms["b-2"].part.units, held)
            self.assertLessEqual(fleet.units(), RATE_UNITS)

    @on_mock_clock
    async def test_lost_answer_of_a_ledger_write(self):
        """Guards against parts that shrink or are assigned twice after a lost answer.

        The store accepts a ledger write, but the answer is lost. The rebalancer must
        find out whether the write took effect.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            for vm in ("a-1", "b-2", "a-2"):
                fleet.platform.faults.lose_answers = 3
                await ask_for(vms[vm], 40, 6)
                self.assertLessEqual(fleet.units(), RATE_UNITS)
            await trio.sleep(20)
            self.assertGreater(fleet.units(), RATE_UNITS * 0.99)

    async def move_parts_with_lost_writes(self, unreadable_s) -> int:
        """Move demand while ledger writes are stored unanswered; return the most units.

        The VM whose write was not answered cannot read the ledger for `unreadable_s`.
        """
        access = {}

        def platform_of(vm):
            access[vm] = StoreAccess(fleet.platform)
            return access[vm]

        fleet = MemoryFleet(FOUR_VMS, platform_of=platform_of)
        most_units = 0

        async def record_units():
            nonlocal most_units
            while True:
                most_units = max(most_units, fleet.units())
                await trio.sleep(0.02)

        async with fleet.running() as vms:
            await trio.sleep(10)
            fleet.nursery.start_soon(record_units)
            for vm in ("a-1", "b-2", "a-2", "b-1"):
                for one in access.values():
                    one.lose_answers, one.unreadable_s = 1, unreadable_s
                await ask_for(vms[vm], 40, 6)
            self.assertGreater(sum(one.lost for one in access.values()), 1)
            await trio.sleep(20)
            self.assertGreater(fleet.units(), RATE_UNITS * 0.99)
        return most_units

    @on_mock_clock
    async def test_stored_write_that_cannot_be_read_again_is_not_undone(self):
        """Guards against units that two VMs use at once after a lost answer.

        The ledger write is stored, its answer is lost, and the rebalancer cannot read
        the ledger for a moment. The stored version gives the lowered units to other
        VMs, so the holders that lowered them must not get them back.
        """
        self.assertLessEqual(await self.move_parts_with_lost_writes(1.0), RATE_UNITS)

    @on_mock_clock
    async def test_stored_write_stands_if_its_writer_is_cut_off(self):
        """Guards against units used twice for as long as a partition lasts.

        The rebalancer lowers its own part. The write is stored, its answer is lost, and
        then the rebalancer is cut off. The VM that takes over finds the stored version.
        """
        access = {}

        def platform_of(vm):
            access[vm] = StoreAccess(fleet.platform)
            return access[vm]

        fleet = MemoryFleet(FOUR_VMS, platform_of=platform_of)
        async with fleet.running() as vms:
            await trio.sleep(10)
            (writer,) = [v for v in vms if vms[v].rebalancers[SHARD].lease.is_held]
            others = [vm for vm in vms if vm != writer]
            await ask_for(vms[writer], 40, 10)
            held = vms[writer].part.units
            access[writer].lose_answers, access[writer].unreadable_s = 1, 1.0
            while not access[writer].lost:
                await ask_for(vms[others[-1]], 40, 0.1)
            access[writer].is_down = True
            fleet.cut([writer], others)
            for _ in range(30):
                await ask_for(vms[others[-1]], 40, 1)
                self.assertLessEqual(fleet.units(), RATE_UNITS)
            self.assertLess(vms[writer].part.units, held)
            access[writer].is_down = False
            fleet.heal()
            await trio.sleep(60)
            self.assertGreater(fleet.units(), RATE_UNITS * 0.99)

    @on_mock_clock
    async def test_loans_work_while_the_store_is_down(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            await fleet.platform.set_down(True)
            taken = await ask_for(vms["a-1"], 40, 10)
            self.assertGreaterEqual(taken, 396)

    @on_mock_clock
    async def test_outage_between_reduction_and_write_does_not_keep_parts_low(self):
        """Guards against a VM refusing most requests after a short store outage.

        Its part was lowered for a ledger version that was never written. The VM ignored
        older versions, and no VM wrote a newer one.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            version = (await read_ledger(fleet.platform, SHARD)).version
            reduction = LowerParts(shard=SHARD, for_version=version + 1)
            reduction.parts.append(Part(budget=WORKSPACE.name, units=0))
            vms["a-1"].holdings.lower(reduction)
            await trio.sleep(20)
            self.assertGreater(vms["a-1"].part.units, RATE_UNITS // 10)
            self.assertEqual(fleet.units(), RATE_UNITS)


class TestHoldings(unittest.TestCase):
    @on_mock_clock
    async def test_late_version_does_not_raise_a_part(self):
        """Guards against two VMs holding the same units after a delayed message.

        A part is lowered for version 6. Then a copy of version 5 with the old part
        arrives, although version 6 has assigned the units to another VM.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            holdings = vms["a-1"].holdings
            old = SetParts(shard=SHARD, version=5)
            old.parts.append(Part(budget=WORKSPACE.name, units=900_000))
            holdings.apply(old)
            reduction = LowerParts(shard=SHARD, for_version=6)
            reduction.parts.append(Part(budget=WORKSPACE.name, units=100))
            holdings.lower(reduction)
            holdings.apply(old)
            self.assertEqual(vms["a-1"].part.units, 100)

    @on_mock_clock
    async def test_tokens_of_a_version_are_added_once(self):
        """A repeated datagram does not add the tokens of a version twice."""
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            part = vms["a-1"].part
            message = SetParts(shard=SHARD, version=5)
            message.parts.append(
                Part(budget=WORKSPACE.name, units=RATE_UNITS, level=10.0)
            )
            vms["a-1"].holdings.apply(message)
            part.try_take(10.0)
            vms["a-1"].holdings.apply(message)
            self.assertLess(part.level, 1.0)

    @on_mock_clock
    async def test_leaving_vm_cannot_be_raised_again(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            vms["a-1"].holdings.leave()
            message = SetParts(shard=SHARD, version=1000)
            message.parts.append(Part(budget=WORKSPACE.name, units=RATE_UNITS))
            vms["a-1"].holdings.apply(message)
            self.assertEqual(vms["a-1"].part.units, 0)
