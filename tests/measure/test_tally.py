"""Tests that the checks of a replay detect violations."""

import unittest

from plantainshed_measure.tally import ReferenceBucket, excess_over_cap


class TestReferenceBucket(unittest.TestCase):
    def test_detects_one_request_in_excess(self):
        bucket = ReferenceBucket(rate=1.0, burst=2.0)
        for _ in range(2):
            bucket.spend(0.0)
        self.assertEqual(bucket.deepest, 0.0)
        bucket.spend(0.0)
        self.assertEqual(bucket.deepest, 1.0)

    def test_refuses_without_tokens(self):
        bucket = ReferenceBucket(rate=1.0, burst=2.0)
        self.assertEqual([bucket.try_take(0.0) for _ in range(3)], [True, True, False])


class TestExcessOverCap(unittest.TestCase):
    def test_counts_requests_over_the_cap(self):
        self.assertEqual(excess_over_cap([0.0, 0.0, 0.0], cap=1.0, burst=2.0), 1.0)
        self.assertEqual(excess_over_cap([0.0, 1.0, 2.0], cap=1.0, burst=1.0), 0.0)
