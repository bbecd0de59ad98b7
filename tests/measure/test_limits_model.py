import unittest
from pathlib import Path

from attrs import evolve

from plantainshed_gateway.model import Workspace
from plantainshed_measure.limits_checks import Asked, Record, fullest_window, wrongful
from plantainshed_measure.limits_faults import Kind
from plantainshed_measure.limits_search import (
    BadLimits,
    draw_case,
    play,
    read_limits,
)

EXAMPLE = Path(__file__).parents[2] / "examples/experiments/limits.ini"
LIMITS = evolve(read_limits(EXAMPLE), seconds=12.0)
BOUNDS = LIMITS.bounds
# 5 windows' requests and a burst of 10; with the tolerance 86 in a window.
WORKSPACE = Workspace("comune", None, 10.0, 10.0)


def record_of(times, workspace=WORKSPACE) -> Record:
    record = Record()
    record.note_quota(workspace, 0.0)
    record.asked[workspace.name] = [Asked(at, at, 0.0, True) for at in times]
    return record


class TestLimitsOfModels(unittest.TestCase):
    def test_windows_of_short_plays_keep_the_quota(self):
        """Guards against a fault of any kind after which VMs let too much through."""
        for kind in Kind:
            with self.subTest(kind=kind):
                case = draw_case(LIMITS, 3, kind, size=4, distance="55ms")
                played = play(LIMITS, case)
                self.assertGreater(played.requests, 100)
                self.assertFalse(played.fullest.is_over, played)

    def test_plays_of_a_seed_are_the_same(self):
        """Guards against a seed that names a broken quota and replays another day."""
        case = draw_case(LIMITS, 5, Kind.MIXED, size=4, distance="12ms")
        self.assertEqual(play(LIMITS, case), play(LIMITS, case))

    def test_a_vm_whose_share_is_doubled_is_found(self):
        """Guards against a check that no broken quota could fail."""

        def spoil(vm):
            divide = vm.quotas.recompute_shares

            def divide_doubled():
                divide()
                for bucket in vm.quotas.buckets.values():
                    bucket.share = max(bucket.share, 2.0)

            if vm.place.vm == "vm0":
                vm.quotas.recompute_shares = divide_doubled

        limits = evolve(LIMITS, seconds=30.0)
        case = draw_case(limits, 1, Kind.CALM, size=3, distance="12ms")
        self.assertFalse(play(limits, case).fullest.is_over)
        self.assertTrue(play(limits, case, spoil).fullest.is_over)


class TestFoundBySearch(unittest.TestCase):
    def play(self, seed, kind, distance, size=9):
        limits = read_limits(EXAMPLE)
        return play(limits, draw_case(limits, seed, kind, size, distance))

    def test_returned_tokens_lift_no_window_over_its_bound(self):
        """Guards against tokens of unrun requests beside those filled meanwhile."""
        played = self.play(4008, Kind.TARGETS, "12ms")
        self.assertFalse(played.fullest.is_over, played)

    def test_vms_cut_off_at_their_start_take_no_more_than_their_part(self):
        """Guards against VMs that grow by first news which tells no demand yet."""
        played = self.play(5146, Kind.EARLY, "0.5ms")
        self.assertFalse(played.fullest.is_over, played)

    def test_a_vm_that_heard_no_holder_yet_takes_no_whole_small_quota(self):
        """Guards against the tolerance's unused part given whole to each VM."""
        played = self.play(9044, Kind.EARLY, "12ms", size=3)
        self.assertFalse(played.fullest.is_over, played)


class TestChecks(unittest.TestCase):
    def test_windows_slide(self):
        """Guards against windows that begin at whole multiples of their length."""
        times = [3.0 + 0.04 * number for number in range(86)]
        window = fullest_window(record_of(times), BOUNDS, "comune")
        self.assertEqual((window.count, window.is_over), (86, False))
        window = fullest_window(record_of([*times, 7.9]), BOUNDS, "comune")
        self.assertEqual((window.count, window.is_over), (87, True))

    def test_a_lowered_quota_binds_a_window_and_two_seconds_later(self):
        """Guards against a lowered quota that is never checked."""
        lowered = evolve(WORKSPACE, rate_per_s=1.0, burst=1.0)
        for at, is_over in ((16.9, False), (17.1, True)):
            record = record_of([at - 0.01 * number for number in range(40)])
            record.note_quota(lowered, 10.0)
            window = fullest_window(record, BOUNDS, "comune")
            self.assertEqual(window.is_over, is_over, at)

    def test_only_requests_within_the_rate_are_owed(self):
        """Guards against refusals of a workspace over its rate counted as wrongful."""
        record = record_of([])
        refused = [Asked(at, at, 0.0, False) for at in (0.1, 0.2)]
        record.asked["comune"] = refused
        owed, turned_away = wrongful(record, BOUNDS, "comune", lambda at: "calm")
        self.assertEqual((owed["calm"], turned_away["calm"]), (2, 2))
        record.asked["comune"] = refused * 26
        owed, turned_away = wrongful(record, BOUNDS, "comune", lambda at: "calm")
        self.assertEqual((owed["calm"], turned_away["calm"]), (26, 26))


class TestFiles(unittest.TestCase):
    def test_faults_of_a_file_are_told(self):
        """Guards against a misspelt kind of fault that is left out without a word."""
        with self.assertRaises(BadLimits):
            read_limits(EXAMPLE.parent / "missing.ini")
