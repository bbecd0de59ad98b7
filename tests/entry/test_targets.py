"""Order of preference among targets."""

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
        """A slow target must not make one page in a hundred take two seconds.

        The target passes its health checks and has free slots, so it would be used
        as often as the others.
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
    async def test_ramp_fraction_grows_to_one(self):
        cold = state("cold")
        self.assertLess(cold.ramp_fraction, 0.2)
        await trio.sleep(POOL.ramp_s)
        self.assertEqual(cold.ramp_fraction, 1.0)
