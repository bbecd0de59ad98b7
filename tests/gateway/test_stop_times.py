import unittest

from plantainshed_gateway.stop_times import StopTimes
from plantainshed_http.server import STOP_GRACE_S

STOP_TIMES_S = (0.5, 2.0, 6.0, 10.0, 30.0)
# Requests sent later than this after the stop signal must not be cut off.
ALWAYS_ANSWERED_AFTER_S = 3.0


class TestStopTimes(unittest.TestCase):
    def test_no_request_is_accepted_in_the_second_half(self):
        """Guards against requests that get no answer during a planned stop.

        A read arrived on a keep-alive connection 3.38 s after the signal, in a stop
        of 6 s. It waited in its target's queue for 2.2 s and had just begun to run
        when the VM canceled the remaining requests. The grace period for a last
        request on keep-alive connections was added to the half of the stop in which
        new connections are accepted, instead of being a part of it.
        """
        for within_s in STOP_TIMES_S:
            times = StopTimes(100.0, within_s)
            last_s = times.accepts_connections_until + STOP_GRACE_S - 100.0
            self.assertLessEqual(last_s, max(STOP_GRACE_S, within_s / 2))
            self.assertEqual(times.accepts_requests_until - 100.0, last_s)
        self.assertGreater(StopTimes(0.0, 6.0).accepts_connections_until, 2.0)

    def test_late_requests_end_before_the_rest_is_cancelled(self):
        """Guards against late requests cut off while targets run them (LOST)."""
        for within_s in STOP_TIMES_S:
            times = StopTimes(100.0, within_s)
            for step in range(1, 200):
                now = 100.0 + step * within_s / 200
                for limit_s in (0.2, 1.0, 4.0, 8.0, 20.0):
                    if not times.can_finish(now, now + limit_s):
                        continue
                    is_early = now < 100.0 + ALWAYS_ANSWERED_AFTER_S
                    self.assertTrue(is_early or now + limit_s < times.cancels_at)

    def test_requests_that_end_in_time_are_accepted(self):
        times = StopTimes(100.0, 10.0)
        self.assertTrue(times.can_finish(104.5, 109.0))
        self.assertFalse(times.can_finish(104.5, 109.3))
        self.assertTrue(times.can_finish(102.0, 120.0))
