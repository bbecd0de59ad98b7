"""A new document removes a budget while it is being borrowed from or rebalanced.

An unhandled error in such a task would end the process and all requests it serves,
because the tasks run in the nurseries of `Node.run` and the server.
"""

import unittest

import trio

from plantainshed_coordination.budgets import BudgetKind, BudgetSpec
from tests.support import FOUR_VMS, WORKSPACE, MemoryFleet, on_mock_clock

# The rate is so low that during a test only a loan can provide another token.
SLOW = BudgetSpec("workspace/comune", BudgetKind.RATE, rate=0.2, burst=8.0)
# The rate is so high that a request waits for a refill instead of being refused.
QUICK = BudgetSpec("workspace/comune", BudgetKind.RATE, rate=25.0, burst=8.0)
ONE_VM = (("a-1", "a"),)
TWO_VMS = (("a-1", "a"), ("b-1", "b"))
SETTLE_S = 8.0


class TestRemovedBudgets(unittest.TestCase):
    @on_mock_clock
    async def test_while_a_request_borrows(self):
        for milliseconds in range(0, 200, 10):
            with self.subTest(removed_after_ms=milliseconds):
                await self.borrow_while_removed(milliseconds / 1000)

    async def borrow_while_removed(self, after_s: float):
        fleet = MemoryFleet(TWO_VMS, specs=[SLOW])
        async with fleet.running() as vms:
            await trio.sleep(SETTLE_S)
            part = vms["a-1"].holdings.rate_part(SLOW.name)
            while part.try_take():
                pass
            fleet.network.delay = lambda sender, receiver: 0.02

            async def remove():
                await trio.sleep(after_s)
                vms["a-1"].holdings.set_specs([])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(remove)
                # The request may be admitted or refused, but must not raise an error.
                await vms["a-1"].lending.take(SLOW.name)

    @on_mock_clock
    async def test_while_a_request_waits_for_a_refill(self):
        # A budget of the same name may be added again, with new parts.
        for readded_specs in ([], [QUICK]):
            with self.subTest(readded_specs=readded_specs):
                await self.refill_while_removed(readded_specs)

    async def refill_while_removed(self, readded_specs: list[BudgetSpec]):
        fleet = MemoryFleet(ONE_VM, specs=[QUICK])
        async with fleet.running() as vms:
            await trio.sleep(SETTLE_S)
            holdings = vms["a-1"].holdings
            part = holdings.rate_part(QUICK.name)
            while part.try_take():
                pass
            admitted = []

            async def take():
                admitted.append(await vms["a-1"].lending.take(QUICK.name))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take)
                await trio.sleep(0.01)
                holdings.set_specs([])
                holdings.set_specs(readded_specs)
            self.assertEqual(admitted, [False])
            holdings.set_specs([])
            self.assertFalse(await vms["a-1"].lending.take(QUICK.name))

    @on_mock_clock
    async def test_while_its_parts_are_moved(self):
        fleet = MemoryFleet(FOUR_VMS)
        async with fleet.running() as vms:
            await trio.sleep(10)
            # Delay answers, and create demand on one VM so that parts are moved.
            fleet.network.delay = lambda sender, receiver: 0.1

            async def ask():
                for _ in range(400):
                    if WORKSPACE.name in vms["b-1"].holdings.parts:
                        vms["b-1"].holdings.rate_part(WORKSPACE.name).demand.add(1)
                    await trio.sleep(0.02)

            async def remove():
                holder = next(
                    vm
                    for vm in vms.values()
                    if any(
                        r.lease.is_held
                        for r in vm.rebalancers.values()
                        if r.plan.specs()
                    )
                )
                seen = []
                for r in holder.rebalancers.values():
                    original = r._request_reductions

                    async def request_reductions(reductions, *more, original=original):
                        if reductions and not seen:
                            seen.append(reductions)
                            # Like a document that takes effect at this moment.
                            holder.holdings.set_specs([])
                        return await original(reductions, *more)

                    r._request_reductions = request_reductions
                await trio.sleep(10)
                self.assertTrue(seen)
                for r in holder.rebalancers.values():
                    if r.lease.is_held and r.ledger is not None:
                        self.assertNotIn(WORKSPACE.name, r.ledger.entries)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                nursery.start_soon(remove)
