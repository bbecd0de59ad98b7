import unittest
from statistics import fmean, pstdev

import trio

from plantainshed_gateway.selection.load_reports import LoadReport
from plantainshed_measure.placing_demand import Demand
from plantainshed_measure.placing_model import ModelFleet
from plantainshed_measure.placing_policies import PlacementPolicy, Refusal, policies
from plantainshed_measure.placing_world import Noise, World
from plantainshed_standins.memory_network import run_deterministically
from tests.support import on_mock_clock

DEMAND = Demand(rate_per_s=60.0, objects=20, regions=(1, 1))


def make_fleet(policy="chosen", demand=DEMAND, **options) -> ModelFleet:
    world = World(targets_per_region=(2, 4), domains_per_region=2, **options)
    known = policies()[policy] if isinstance(policy, str) else policy
    return ModelFleet(world, known, 0.1, demand)


def play(policy="chosen", seconds=10.0, count_from_s=0.0, **options) -> ModelFleet:
    async def run():
        fleet = make_fleet(policy, **options)
        await fleet.run(seconds, 4, count_from_s)
        return fleet

    return run_deterministically(run)


class TestReportsInTheModel(unittest.TestCase):
    @on_mock_clock
    async def test_reports_arrive_after_their_interval_and_delay(self):
        """Guards against VMs that know loads sooner than in reality, or never."""
        fleet = make_fleet(vms=8)
        first = fleet.vms[0]
        instance = fleet.entries[0].instance
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run, 0.0, 1)
            await trio.testing.wait_all_tasks_blocked()
        self.assertEqual(first.load.of_others(), LoadReport())

        known_after_s = {}
        with trio.move_on_after(4.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run, 4.0, 1)
                await trio.sleep(1.7)
                first.tracker.note_in_flight(instance, 1000)
                began_at = trio.current_time()
                while len(known_after_s) < 7:
                    await trio.sleep(0.01)
                    for vm in fleet.vms[1:]:
                        if vm.load.in_flight_of_others(instance) > 8:
                            after_s = trio.current_time() - began_at
                            known_after_s.setdefault(vm.name, after_s)
        own = [vm for vm in fleet.vms[1:] if vm.failure_domain == first.failure_domain]
        self.assertEqual([vm.name for vm in own], ["region-0-vm-2"])
        self.assertLess(known_after_s[own[0].name], 0.7)
        others = [known_after_s[vm.name] for vm in fleet.vms if vm not in (first, *own)]
        self.assertEqual(len(others), 6)
        self.assertTrue(all(0.01 < after_s < 1.2 for after_s in others), others)

    @on_mock_clock
    async def test_reports_can_be_switched_off(self):
        """Guards against runs without reports in which VMs still know the load."""
        for has_reports in (True, False):
            fleet = make_fleet(has_reports=has_reports)
            await fleet.run(4.0, 1)
            for vm in fleet.vms:
                self.assertIn("pool", vm.tracker.report().offered)
                self.assertEqual("pool" in vm.load.of_others().offered, has_reports)


class TestWorldOfTheModel(unittest.TestCase):
    @on_mock_clock
    async def test_run_times_are_spread_and_targets_get_slower(self):
        """Guards against a spread that changes the mean, and noise without effect."""
        target = next(iter(make_fleet(spread=0.15).targets.values()))
        factors = [target._spread() for _ in range(4000)]
        self.assertAlmostEqual(fmean(factors), 1.0, delta=0.01)
        self.assertAlmostEqual(pstdev(factors), 0.15, delta=0.01)

        noise = Noise(share=0.25, factor=3.0, every_s=0.05)
        target = next(iter(make_fleet(noise=noise).targets.values()))
        began_at = trio.current_time()
        await target.run(0, "object")
        for number in range(1000):
            await target.run(number, "object")
        usual_s = target.world.first_run_s + 1000 * target.world.later_run_s
        # Per unit of work: 1 / (0.75 / 1 + 0.25 / 3).
        slower = (trio.current_time() - began_at) / usual_s
        self.assertAlmostEqual(slower, 1.2, delta=0.03)

    def test_refused_callers_come_back_once(self):
        """Guards against retries that count as new requests or from their own start."""

        class RefuseFirst:
            calls: dict = {}

            def __call__(self, vm, call):
                attempts = self.calls.setdefault(call.deadline, [])
                attempts.append(trio.current_time())
                if len(attempts) == 1:
                    return Refusal(retry_after_s=0.3)
                return None if call.route.priority else vm.states()[0]

        policy = PlacementPolicy("refuse-first", RefuseFirst())
        demand = Demand(1.0, 20, (1, 1), priorities={0: 0.5, 1: 0.5}, retries=1)
        fleet = play(policy, seconds=30.0, count_from_s=10.0, demand=demand)
        for attempts in RefuseFirst.calls.values():
            self.assertEqual(len(attempts), 2)
            self.assertAlmostEqual(attempts[1] - attempts[0], 0.3)
        counted = [o for o in fleet.tally.outcomes if o.began_s >= 10]
        self.assertLess(len(counted), len(RefuseFirst.calls))
        served = [o.took_s for o in counted if o.took_s is not None]
        self.assertGreater(min(served), 0.3 + fleet.world.later_run_s)
        figures = fleet.tally.figures()
        self.assertEqual(figures["refused_first"], 1.0)
        self.assertEqual(figures["refused_priority_0"], 0.0)
        self.assertEqual(figures["refused_priority_1"], 1.0)
        refused = 1 - len(served) / len(counted)
        self.assertAlmostEqual(figures["refused"], refused)

    def test_informed_policy_is_best(self):
        """Guards against a reference that knows more and still chooses worse.

        The load is 0.8 of the room for warm runs, counted after most first runs.
        """
        demand = Demand(rate_per_s=100.0, objects=20, regions=(1, 1))
        figures = {
            name: play(name, count_from_s=3.0, demand=demand, vms=24).tally.figures()
            for name in ("informed", "chosen", "one-owner", "least-loaded-informed")
        }
        informed = figures.pop("informed")
        self.assertGreater(informed["in_time"], 0.95)
        for other in figures.values():
            self.assertGreater(informed["in_time"], other["in_time"])
