"""Limit of the retries of a VM."""

import unittest

from plantainshed_entry.retry_budget import MAX_TOKENS, RETRY_SHARE, RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_retries_add_a_tenth_to_the_load_of_failing_targets(self):
        """Retries must not overload failing targets.

        If every request were tried three times, the load would triple just when the
        targets can handle the least.
        """
        budget = RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.deposit()
            spent += sum(budget.try_spend() for _ in range(2))
        self.assertLessEqual(spent, 1000 * RETRY_SHARE + MAX_TOKENS)
        self.assertGreaterEqual(spent, 1000 * RETRY_SHARE)
