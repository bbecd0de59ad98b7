import unittest
from pathlib import Path

from attrs import evolve

from plantainshed_gateway.model import Workspace
from plantainshed_measure.limits_checks import (
    RequestHistory,
    RequestOutcome,
    count_refusals_within_rate,
    fullest_window,
)
from plantainshed_measure.limits_faults import FaultKind
from plantainshed_measure.limits_search import (
    BadLimits,
    draw_case,
    read_limits,
    simulate,
)

EXAMPLE = Path(__file__).parents[2] / "examples/experiments/limits.ini"
LIMITS = evolve(read_limits(EXAMPLE), seconds=12.0)
BOUNDS = LIMITS.bounds
# A window of 5 s allows 50 requests and a burst of 10; with the tolerance, 86.
WORKSPACE = Workspace("comune", None, 10.0, 10.0)


def history_of(times, workspace=WORKSPACE) -> RequestHistory:
    history = RequestHistory()
    history.record_quota(workspace, 0.0)
    history.requests[workspace.name] = [
        RequestOutcome(at, at, 0.0, True) for at in times
    ]
    return history


class TestSimulations(unittest.TestCase):
    def test_no_fault_exceeds_quota_in_short_simulations(self):
        """Guards against a kind of fault that makes VMs admit more than the quota."""
        for kind in FaultKind:
            with self.subTest(kind=kind):
                case = draw_case(LIMITS, 3, kind, size=4, distance="55ms")
                result = simulate(LIMITS, case)
                self.assertGreater(result.requests, 100)
                self.assertFalse(result.fullest.exceeds_bound, result)

    def test_same_seed_gives_same_result(self):
        """Guards against simulations that differ between runs of the same seed.

        A seed that breaks a quota must break it again when it is replayed later.
        """
        case = draw_case(LIMITS, 5, FaultKind.MIXED, size=4, distance="12ms")
        self.assertEqual(simulate(LIMITS, case), simulate(LIMITS, case))

    def test_detects_vm_with_doubled_share(self):
        """Guards against a check that passes even if a VM exceeds its share."""

        def double_shares(vm):
            recompute = vm.quotas.recompute_shares

            def recompute_doubled():
                recompute()
                for bucket in vm.quotas.buckets.values():
                    bucket.share = max(bucket.share, 2.0)

            if vm.location.vm == "vm0":
                vm.quotas.recompute_shares = recompute_doubled

        limits = evolve(LIMITS, seconds=30.0)
        case = draw_case(limits, 1, FaultKind.CALM, size=3, distance="12ms")
        self.assertFalse(simulate(limits, case).fullest.exceeds_bound)
        self.assertTrue(simulate(limits, case, double_shares).fullest.exceeds_bound)


class TestFoundBySearch(unittest.TestCase):
    def simulate(self, seed, kind, distance, size=9):
        limits = read_limits(EXAMPLE)
        return simulate(limits, draw_case(limits, seed, kind, size, distance))

    def test_returned_tokens_do_not_exceed_bound(self):
        """Guards against returned tokens that add to the refilled ones.

        A VM returns the token of a request that no target ran. If the bucket has been
        refilled meanwhile, the VM admits too much.
        """
        result = self.simulate(4008, FaultKind.TARGETS, "12ms")
        self.assertFalse(result.fullest.exceeds_bound, result)

    def test_vms_cut_off_at_start_keep_to_their_share(self):
        """Guards against VMs that raise their share on the first heartbeats.

        The first heartbeats report no demand yet.
        """
        result = self.simulate(5146, FaultKind.EARLY, "0.5ms")
        self.assertFalse(result.fullest.exceeds_bound, result)

    def test_vm_that_knows_no_holder_leaves_part_of_small_quota(self):
        """Guards against VMs that each use the whole unused part of the tolerance."""
        result = self.simulate(9044, FaultKind.EARLY, "12ms", size=3)
        self.assertFalse(result.fullest.exceeds_bound, result)


class TestChecks(unittest.TestCase):
    def test_windows_slide_continuously(self):
        """Guards against windows that start only at multiples of their length."""
        times = [3.0 + 0.04 * number for number in range(86)]
        window = fullest_window(history_of(times), BOUNDS, "comune")
        self.assertEqual((window.count, window.exceeds_bound), (86, False))
        window = fullest_window(history_of([*times, 7.9]), BOUNDS, "comune")
        self.assertEqual((window.count, window.exceeds_bound), (87, True))

    def test_lowered_quota_applies_after_window_and_two_seconds(self):
        """Guards against a lowered quota that is never enforced by the check."""
        lowered = evolve(WORKSPACE, rate_per_s=1.0, burst=1.0)
        for at, is_over in ((16.9, False), (17.1, True)):
            history = history_of([at - 0.01 * number for number in range(40)])
            history.record_quota(lowered, 10.0)
            window = fullest_window(history, BOUNDS, "comune")
            self.assertEqual(window.exceeds_bound, is_over, at)

    def test_refusals_over_rate_are_not_counted(self):
        """Guards against counting refusals of requests that exceed the rate."""
        history = history_of([])
        refused = [RequestOutcome(at, at, 0.0, False) for at in (0.1, 0.2)]
        history.requests["comune"] = refused
        within_rate, refused_by_period = count_refusals_within_rate(
            history, BOUNDS, "comune", lambda at: "calm"
        )
        self.assertEqual((within_rate["calm"], refused_by_period["calm"]), (2, 2))
        history.requests["comune"] = refused * 26
        within_rate, refused_by_period = count_refusals_within_rate(
            history, BOUNDS, "comune", lambda at: "calm"
        )
        self.assertEqual((within_rate["calm"], refused_by_period["calm"]), (26, 26))


class TestFiles(unittest.TestCase):
    def test_missing_file_raises_bad_limits(self):
        """Guards against a missing file or a misspelt kind of fault that is ignored."""
        with self.assertRaises(BadLimits):
            read_limits(EXAMPLE.parent / "missing.ini")
