"""Moving parts between VMs, through the ledger."""

import unittest

import trio

from plantainshed_coordination.budgets import RATE_UNITS
from plantainshed_coordination.division import divide
from plantainshed_coordination.ledger import read_ledger, shard_of
from plantainshed_coordination.peer_pb2 import LowerParts, Part, SetParts
from tests.support import FOUR_VMS, WORKSPACE, MemoryFleet, on_mock_clock

SHARD = shard_of(WORKSPACE)


async def ask_for(vm, rate, seconds):
    """Take tokens at a rate for a while; return how many were had."""
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
    async def test_parts_of_a_dead_vm_come_back(self):
        """A workspace stays below its rate for ever after a VM died.

        A VM that held most of a rate dies; the platform drops it from its
        list some seconds later; its part has to go to the others.
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
    async def test_part_of_a_silent_but_listed_vm_is_left_alone(self):
        """Two VMs use the same part, and a workspace gets more than its rate.

        A VM is cut off but alive. The others hear nothing of it and would
        give its part to each other, while it goes on using it.
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
        """Parts shrink with each lost answer, or are given out twice.

        The store takes a ledger write and its answer is lost; the rebalancer
        must find out which it was instead of guessing.
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

    @on_mock_clock
    async def test_loans_work_while_the_store_is_down(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            await fleet.platform.set_down(True)
            taken = await ask_for(vms["a-1"], 40, 10)
            self.assertGreaterEqual(taken, 396)

    @on_mock_clock
    async def test_outage_between_fall_and_write_does_not_keep_parts_low(self):
        """After a short store outage a VM refuses most of what it may admit.

        Its part fell for a ledger version that was never written, so that it
        believed no older one and nobody wrote a newer one.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            version = (await read_ledger(fleet.platform, SHARD)).version
            fall = LowerParts(shard=SHARD, for_version=version + 1)
            fall.parts.append(Part(budget=WORKSPACE.name, units=0))
            vms["a-1"].holdings.lower(fall)
            await trio.sleep(20)
            self.assertGreater(vms["a-1"].part.units, RATE_UNITS // 10)
            self.assertEqual(fleet.units(), RATE_UNITS)


class TestHoldings(unittest.TestCase):
    @on_mock_clock
    async def test_late_version_does_not_raise_a_part(self):
        """Two VMs hold the same units after a message was delayed.

        A part falls for version 6; then a copy of version 5 arrives, which
        still names the old part. By then version 6 has given it to another.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            holdings = vms["a-1"].holdings
            old = SetParts(shard=SHARD, version=5)
            old.parts.append(Part(budget=WORKSPACE.name, units=900_000))
            holdings.apply(old)
            fall = LowerParts(shard=SHARD, for_version=6)
            fall.parts.append(Part(budget=WORKSPACE.name, units=100))
            holdings.lower(fall)
            holdings.apply(old)
            self.assertEqual(vms["a-1"].part.units, 100)

    @on_mock_clock
    async def test_tokens_of_a_version_count_once(self):
        """A burst doubles when the network repeats a datagram."""
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
