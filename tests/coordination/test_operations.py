"""At-most-once operations across several VMs."""

import unittest

import trio

from plantainshed_coordination.operations import (
    EPOCH_S,
    BadOperationId,
    OperationId,
    Verdict,
    operation_prefix,
)
from tests.support import FOUR_VMS, MemoryFleet, on_mock_clock


def operation_of(vm, nonce="n1") -> OperationId:
    return OperationId.parse(operation_prefix(vm.membership.record) + nonce)


class TestOperationId(unittest.TestCase):
    def test_invalid_ids_are_rejected(self):
        for text in ("", "abc", "vm~1~2~", "vm~x~2~n", "vm~1~2~" + "n" * 65):
            with self.subTest(text), self.assertRaises(BadOperationId):
                OperationId.parse(text)


class TestOperationRegistry(unittest.TestCase):
    @on_mock_clock
    async def test_repeat_at_another_vm_gets_the_first_answer(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            first = await vms["a-1"].operations.claim(operation)
            self.assertIs(first.verdict, Verdict.RUN)
            await vms["a-1"].operations.finish(operation, b"chair 7")
            repeat = await vms["b-2"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.DONE)
            self.assertEqual(repeat.answer, b"chair 7")

    @on_mock_clock
    async def test_repeat_while_the_first_runs_does_not_run(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            await vms["b-1"].operations.claim(operation)
            repeat = await vms["b-2"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.IN_PROGRESS)

    @on_mock_clock
    async def test_repeat_after_the_first_vm_died_is_unknown(self):
        """Guards against executing an operation twice, such as a booking.

        The VM that ran the booking dies before it answers. The caller retries
        at another VM, which has no record of the operation.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            await vms["a-1"].operations.claim(operation)
            fleet.kill("a-1")
            repeat = await vms["b-2"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.UNKNOWN)

    @on_mock_clock
    async def test_repeat_at_the_next_run_of_the_vm_is_unknown(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            await vms["a-1"].operations.claim(operation)
            fleet.kill("a-1")
            vms["a-1"] = fleet.start("a-1")
            await trio.sleep(5)
            repeat = await vms["a-1"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.UNKNOWN)

    @on_mock_clock
    async def test_repeat_across_a_partition_is_unknown(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            fleet.cut(["a-1", "a-2"], ["b-1", "b-2"])
            await vms["a-1"].operations.claim(operation)
            repeat = await vms["b-2"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.UNKNOWN)

    @on_mock_clock
    async def test_repeat_after_the_record_was_removed_is_unknown(self):
        """Guards against executing a booking again an hour later.

        The record was removed to limit memory use, so a late retry looks like
        a first attempt.
        """
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            await vms["a-1"].operations.claim(operation)
            await vms["a-1"].operations.finish(operation, b"done")
            await trio.sleep(3 * EPOCH_S)
            repeat = await vms["a-1"].operations.claim(operation)
            self.assertIs(repeat.verdict, Verdict.UNKNOWN)

    @on_mock_clock
    async def test_released_operation_may_run_again(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            await vms["b-1"].operations.claim(operation)
            await vms["b-1"].operations.release(operation)
            again = await vms["b-2"].operations.claim(operation)
            self.assertIs(again.verdict, Verdict.RUN)

    @on_mock_clock
    async def test_duplicate_claim_messages_allow_one_run(self):
        fleet = MemoryFleet(FOUR_VMS, seed=4)
        fleet.network.faults.repeat = 1.0
        async with fleet.running() as vms:
            await trio.sleep(5)
            operation = operation_of(vms["a-1"])
            claims = []

            async def claim(vm):
                claims.append(await vms[vm].operations.claim(operation))

            async with trio.open_nursery() as nursery:
                for vm in ("a-2", "b-1", "b-2"):
                    nursery.start_soon(claim, vm)
            verdicts = [claim.verdict for claim in claims]
            self.assertEqual(verdicts.count(Verdict.RUN), 1)
