"""Dividing units among holders in proportion to demand."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainshed_coordination.division import divide


class TestDivide(unittest.TestCase):
    @given(
        st.integers(0, 1_000_000),
        st.dictionaries(
            st.text(min_size=1), st.floats(0, 1e6), min_size=1, max_size=12
        ),
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_parts_sum_to_the_whole(self, units, demands):
        parts = divide(units, demands)
        self.assertEqual(sum(parts.values()), units)
        self.assertTrue(all(part >= 0 for part in parts.values()))

    def test_divides_in_proportion_to_demand(self):
        parts = divide(1000, {"a": 90.0, "b": 10.0, "c": 0.0}, equal_share=0.3)
        self.assertEqual(parts, {"a": 730, "b": 170, "c": 100})

    def test_without_holders_divides_nothing(self):
        self.assertEqual(divide(10, {}), {})
