"""A VM's part of a budget."""

import unittest

import trio

from plantainshed_coordination.budgets import (
    LOAN_HELD_S,
    LOAN_USABLE_S,
    RATE_UNITS,
    BudgetKind,
    BudgetSpec,
)
from plantainshed_coordination.count_part import CountPart
from plantainshed_coordination.rate_part import RatePart
from tests.support import WORKSPACE, on_mock_clock


def full_part(share=1.0):
    part = RatePart(WORKSPACE)
    part.set_units(int(RATE_UNITS * share), level=WORKSPACE.burst)
    return part


class TestRatePart(unittest.TestCase):
    @on_mock_clock
    async def test_gives_burst_then_rate(self):
        part = full_part()
        taken = sum(part.try_take() for _ in range(100))
        self.assertEqual(taken, 30)
        await trio.sleep(0.1)
        self.assertEqual(sum(part.try_take() for _ in range(100)), 5)

    @on_mock_clock
    async def test_raised_part_starts_without_tokens(self):
        part = RatePart(WORKSPACE)
        part.set_units(RATE_UNITS)
        self.assertFalse(part.try_take())

    @on_mock_clock
    async def test_refill_during_a_loan_creates_no_extra_tokens(self):
        """Guards against giving a workspace more than its burst at once.

        A full lender lends 10 tokens and refills while they are in transit. It must not
        hold its whole burst in addition to the 10 that the borrower uses.
        """
        lender = full_part()
        lent = lender.lend(10)
        await trio.sleep(LOAN_USABLE_S)
        lender.refill()
        self.assertLessEqual(lender.level + lent, WORKSPACE.burst)

    @on_mock_clock
    async def test_late_loan_is_not_usable(self):
        """Guards against using tokens that the lender has already refilled.

        The borrower asks for a loan and is paused. Meanwhile the loan expires and the
        lender refills. Then the borrower resumes and reads the answer.
        """
        borrower = RatePart(WORKSPACE)
        asked_at = trio.current_time()
        await trio.sleep(LOAN_HELD_S)
        borrower.receive_loan(5.0, asked_at)
        self.assertFalse(borrower.try_take())

    @on_mock_clock
    async def test_units_that_cover_a_loan_cannot_be_given_up(self):
        """Guards against exceeding a rate by the tokens that are on loan.

        A part lends tokens and is then lowered to 0. Its units would go to another VM
        while the borrower still uses the loan.
        """
        lender = full_part()
        lender.lend(15)
        result = lender.lower_to(0)
        self.assertGreaterEqual(result.units, RATE_UNITS // 2)

    @on_mock_clock
    async def test_lower_to_returns_released_tokens(self):
        part = full_part()
        result = part.lower_to(RATE_UNITS // 4)
        self.assertAlmostEqual(result.released_tokens, WORKSPACE.burst * 0.75, places=3)


class TestCountPart(unittest.TestCase):
    def setUp(self):
        self.spec = BudgetSpec("slots/t", BudgetKind.COUNT, count=4)

    @on_mock_clock
    async def test_loans_count_as_used(self):
        part = CountPart(self.spec)
        part.set_units(2)
        self.assertTrue(part.lend("g1", ("b-1", 1)))
        self.assertTrue(part.try_take())
        self.assertFalse(part.try_take())

    @on_mock_clock
    async def test_repeated_loan_request_lends_one_slot(self):
        part = CountPart(self.spec)
        part.set_units(2)
        part.lend("g1", ("b-1", 1))
        part.lend("g1", ("b-1", 1))
        self.assertEqual(part.free, 1)

    @on_mock_clock
    async def test_late_request_of_a_returned_loan_lends_nothing(self):
        """Guards against losing a target's slot permanently.

        A loan request is repeated. The loan is returned before the second copy of the
        request arrives; a loan for that copy would never be returned.
        """
        part = CountPart(self.spec)
        part.set_units(2)
        part.lend("g1", ("b-1", 1))
        part.reclaim_loan("g1")
        self.assertFalse(part.lend("g1", ("b-1", 1)))
        self.assertEqual(part.free, 2)

    @on_mock_clock
    async def test_loans_to_ended_runs_are_reclaimed(self):
        part = CountPart(self.spec)
        part.set_units(1)
        part.lend("g1", ("b-1", 1))
        part.reclaim_from_ended_runs(lambda vm, incarnation: vm == "b-1")
        self.assertEqual(part.free, 1)

    @on_mock_clock
    async def test_lower_to_keeps_slots_in_use(self):
        part = CountPart(self.spec)
        part.set_units(4)
        part.try_take()
        part.lend("g1", ("b-1", 1))
        self.assertEqual(part.lower_to(0).units, 2)

    @on_mock_clock
    async def test_smaller_count_applies_before_the_ledger_changes(self):
        part = CountPart(self.spec)
        part.set_units(4, total=4)
        part.set_spec(BudgetSpec("slots/t", BudgetKind.COUNT, count=2))
        self.assertEqual(part.usable, 2)
