"""Distribution of callers over failure domains."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainshed_entry.plan import (
    MAX_UTILIZATION,
    PlannedDomain,
    PlannedShift,
    plan_pool,
    step_towards_plan,
)

LINK = {("r1", "r2"): 1000.0}


def domains(*rows):
    return {name: PlannedDomain(name, region, c, d) for name, region, c, d in rows}


def arriving(plan, given_domains):
    """Return the requests per second that each domain gets from other domains."""
    total = dict.fromkeys(given_domains, 0.0)
    for home, shares in plan.items():
        for name, share in shares.items():
            if name != home:
                total[name] += share * given_domains[home].demand
    return total


class TestPlanPool(unittest.TestCase):
    def test_callers_stay_at_home_while_there_is_capacity(self):
        plan = plan_pool(domains(("a", "r1", 100, 50), ("b", "r2", 100, 50)), [], LINK)
        self.assertEqual(plan, {"a": {"a": 1.0}, "b": {"b": 1.0}})

    def test_overflow_goes_to_the_same_region_first(self):
        plan = plan_pool(
            domains(("a", "r1", 0, 50), ("b", "r1", 100, 0), ("c", "r2", 200, 0)),
            [],
            LINK,
        )
        self.assertEqual(plan["a"], {"b": 1.0})

    def test_shift_moves_no_more_than_its_cap(self):
        given_domains = domains(("a", "r1", 100, 80), ("b", "r2", 100, 10))
        plan = plan_pool(given_domains, [PlannedShift("r1", "r2", 20.0)], LINK)
        moved = arriving(plan, given_domains)["b"]
        self.assertGreater(moved, 15)
        self.assertLessEqual(moved, 20)

    def test_cap_of_a_shift_also_limits_overflow(self):
        given_domains = domains(("a", "r1", 20, 80), ("b", "r2", 200, 0))
        shift = PlannedShift("r1", "r2", 20.0, is_running=False)
        moved = arriving(plan_pool(given_domains, [shift], LINK), given_domains)["b"]
        self.assertLessEqual(moved, 20)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["r1", "r2", "r3"]), st.floats(0, 500),
                      st.floats(0, 500)),
            min_size=1, max_size=8,
        ),
        st.floats(0, 300),
    )  # fmt: skip
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_no_domain_gets_more_than_its_usable_capacity(self, rows, cap):
        """A failover must not overload the region that takes over."""
        given_domains = domains(*((f"d{i}", *row) for i, row in enumerate(rows)))
        shifts = [PlannedShift("r1", "r2", cap)]
        links = {("r1", "r2"): 100.0, ("r1", "r3"): 100.0, ("r2", "r3"): 100.0}
        plan = plan_pool(given_domains, shifts, links)
        for name, rate in arriving(plan, given_domains).items():
            self.assertLessEqual(
                rate, given_domains[name].capacity * MAX_UTILIZATION + 1e-6
            )
        for shares in plan.values():
            self.assertAlmostEqual(sum(shares.values()), 1.0, places=6)


class TestStepTowardsPlan(unittest.TestCase):
    def test_callers_leave_at_once_and_return_in_steps(self):
        self.assertEqual(step_towards_plan({"a": 1.0}, {"b": 1.0}, "a"), {"b": 1.0})
        shares, steps = {"b": 1.0}, 0
        while shares.get("a", 0.0) < 0.999 and steps < 100:
            shares = step_towards_plan(shares, {"a": 1.0}, "a")
            self.assertAlmostEqual(sum(shares.values()), 1.0)
            steps += 1
        self.assertGreaterEqual(steps, 9)
        self.assertLess(steps, 12)
