import unittest

from plantainshed_gateway.metrics import LATENCY_BUCKETS_S, Metrics
from plantainshed_gateway.reasons import Reason


class TestRenderedMetrics(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()

    def lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_counters_add_up_by_labels(self):
        self.metrics.count_refusal(Reason.NO_ROOM, "read")
        self.metrics.count_refusal(Reason.NO_ROOM, "read")
        self.metrics.count_refusal(Reason.NO_ROOM, "book")
        labels = f'reason="{Reason.NO_ROOM}",route='
        self.assertIn(f'plantainshed_refusals_total{{{labels}"read"}} 2', self.lines())
        self.assertIn(f'plantainshed_refusals_total{{{labels}"book"}} 1', self.lines())

    def test_gauge_shows_its_last_value(self):
        self.metrics.state.set({"what": "targets"}, 7)
        self.metrics.state.set({"what": "targets"}, 5)
        self.assertIn('plantainshed_state{what="targets"} 5', self.lines())

    def test_buckets_of_a_histogram_are_cumulative_and_include_their_bounds(self):
        """Guards against a value at a bound or above all bounds in no bucket."""
        last = LATENCY_BUCKETS_S[-1]
        for seconds in (0.01, 0.03, last + 1.0):
            self.metrics.attempt_latency.observe({"pool": "p"}, seconds)
        name = "plantainshed_attempt_seconds"
        counts = {
            line.split('le="')[1].split('"')[0]: float(line.rsplit(" ", 1)[1])
            for line in self.lines()
            if line.startswith(f"{name}_bucket")
        }
        self.assertEqual(
            (counts["0.01"], counts["0.05"], counts[str(last)], counts["+Inf"]),
            (1, 2, 2, 3),
        )
        self.assertIn(f'{name}_count{{pool="p"}} 3.0', self.lines())
        self.assertIn(f'{name}_sum{{pool="p"}} {0.04 + last + 1.0}', self.lines())
