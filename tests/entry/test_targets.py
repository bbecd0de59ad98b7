"""Choosing among targets."""

import unittest

import trio

from plantainshed_entry.targets import FastestFirst, TargetState
from plantainshed_model.document import Pool, Target
from tests.support import on_mock_clock

POOL = Pool("calendario", "/calendario", slots=9, connections=400, service_time_s=0.3)


def state(name) -> TargetState:
    return TargetState(Target(name, POOL.name, "mil-a", "10.0.0.1:80"), POOL)


class TestFastestFirst(unittest.TestCase):
    @on_mock_clock
    async def test_slow_target_is_tried_last_and_again_later(self):
        """One page in a hundred takes two seconds.

        A target has become slow; its checks are green and it has free slots,
        so that it goes on getting its turn.
        """
        slow, usual = state("slow"), state("usual")
        for _ in range(10):
            slow.note_success(2.0)
            usual.note_success(0.3)
        order = [item.target.name for item in FastestFirst()([slow, usual])]
        self.assertEqual(order, ["usual", "slow"])
        await trio.sleep(30)
        self.assertAlmostEqual(slow.expected_s, usual.expected_s)

    @on_mock_clock
    async def test_busier_target_is_tried_later(self):
        busy, idle = state("busy"), state("idle")
        busy.own_in_flight = 5
        order = [item.target.name for item in FastestFirst()([busy, idle])]
        self.assertEqual(order, ["idle", "busy"])

    @on_mock_clock
    async def test_warms_up_by_a_ramp(self):
        cold = state("cold")
        self.assertLess(cold.ramp_fraction, 0.2)
        await trio.sleep(POOL.ramp_s)
        self.assertEqual(cold.ramp_fraction, 1.0)
