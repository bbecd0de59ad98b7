"""How many further attempts a VM may make."""

import unittest

from plantainshed_entry.retry_budget import MAX_TOKENS, RETRY_SHARE, RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_failing_targets_get_a_tenth_more_load_not_twice_as_much(self):
        """Targets that fail are buried under repeats of what they failed.

        Every request is tried three times, so that the load triples just when
        the targets can take least.
        """
        budget = RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.deposit()
            spent += sum(budget.try_spend() for _ in range(2))
        self.assertLessEqual(spent, 1000 * RETRY_SHARE + MAX_TOKENS)
        self.assertGreaterEqual(spent, 1000 * RETRY_SHARE)
