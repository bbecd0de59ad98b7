import unittest
from collections import Counter

from plantainshed_measure.placing_demand import (
    Demand,
    Kind,
    Popularity,
    Waves,
    arrivals,
)


def draw(seconds=100.0, rate_per_s=100.0, objects=20, regions=(1, 1, 1), **options):
    demand = Demand(rate_per_s, objects, regions, **options)
    return list(arrivals(demand, seconds, seed=3))


def shares(values) -> dict:
    counts = Counter(values)
    return {value: count / counts.total() for value, count in counts.items()}


class TestArrivals(unittest.TestCase):
    """Guards against a load that differs from what the experiment file says."""

    def test_load_rises_and_then_stays(self):
        drawn = draw(seconds=60.0, rise_s=20.0)
        by_10_s = Counter(int(one.at_s // 10) for one in drawn)
        for index, expected in enumerate((250, 750, 1000, 1000, 1000, 1000)):
            self.assertAlmostEqual(by_10_s[index], expected, delta=0.12 * expected)

    def test_popularity_of_objects(self):
        even = shares(one.object_name for one in draw())
        self.assertEqual(len(even), 20)
        self.assertLess(max(even.values()), 0.06)
        zipf = shares(one.object_name for one in draw(popularity=Popularity(Kind.ZIPF)))
        self.assertAlmostEqual(zipf["0"] / zipf["9"], 10, delta=2)
        popular = Popularity(Kind.ONE, share=0.25)
        one_object = shares(one.object_name for one in draw(popularity=popular))
        self.assertAlmostEqual(one_object["0"], 0.25, delta=0.02)
        self.assertAlmostEqual(one_object["7"], 0.75 / 19, delta=0.01)

    def test_popular_object_moves(self):
        moving = Popularity(Kind.MOVING, share=0.25, every_s=5.0)
        drawn = draw(seconds=110.0, popularity=moving)
        for index, name in ((0, "0"), (3, "3"), (21, "1")):
            part = shares(o.object_name for o in drawn if o.at_s // 5 == index)
            self.assertAlmostEqual(part[name], 0.25, delta=0.06)
            self.assertLess(sorted(part.values())[-2], 0.08)

    def test_regions_peak_one_after_the_other(self):
        waves = Waves(swing=0.55, period_s=36.0, phases=(0.0, 1 / 3, 2 / 3))
        drawn = draw(seconds=72.0, rate_per_s=2400.0, waves=waves)
        self.assertAlmostEqual(len(drawn), 72 * 2400, delta=2000)
        for region, peak_s in ((0, 9.0), (1, 33.0), (2, 21.0)):
            at = [one.at_s % 36 for one in drawn if one.region == region]
            for middle_s, expected in ((peak_s, 1.55), ((peak_s + 18) % 36, 0.45)):
                count = sum(1 for s in at if abs(s - middle_s) < 1)
                self.assertAlmostEqual(count / 3200, expected, delta=0.1)

    def test_shares_of_regions_priorities_and_workspaces(self):
        drawn = draw(
            regions=(1, 0, 3),
            priorities={0: 0.3, 2: 0.7},
            workspaces=5,
            largest_workspace=0.6,
        )
        by_region = shares(one.region for one in drawn)
        self.assertEqual(by_region.keys(), {0, 2})
        self.assertAlmostEqual(by_region[2], 0.75, delta=0.02)
        self.assertAlmostEqual(shares(o.priority for o in drawn)[0], 0.3, delta=0.02)
        by_workspace = shares(one.workspace for one in drawn)
        self.assertEqual(len(by_workspace), 5)
        self.assertAlmostEqual(by_workspace["workspace-0"], 0.6, delta=0.02)
        self.assertAlmostEqual(by_workspace["workspace-4"], 0.1, delta=0.02)
