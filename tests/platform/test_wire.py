import unittest

from plantainshed_gateway.ports import TargetLoad
from plantainshed_http.messages import ResponseHead
from plantainshed_platform.wire import MAX_SLOWDOWN, MIN_SLOWDOWN, PlatformWire


def read_load(value: bytes) -> TargetLoad | None:
    return PlatformWire().read_answer(ResponseHead(200, [(b"server-load", value)])).load


class TestLoadReport(unittest.TestCase):
    def test_slowdown_is_read_in_percent_and_bounded(self):
        """Guards against a figure of one target that makes expected times 0 or huge."""
        cases = {
            b"1,2,3": 1.0,
            b"1,2,3,250": 2.5,
            b" 1, 2 ,3 , 99.5": 0.995,
            b"1,2,3,100,7": 1.0,
            b"1,2,3,0": MIN_SLOWDOWN,
            b"1,2,3,10001": MAX_SLOWDOWN,
        }
        for value, slowdown in cases.items():
            with self.subTest(value):
                self.assertEqual(read_load(value), TargetLoad(1, 2, 3, slowdown))

    def test_unreadable_figures_cost_only_what_follows_the_first_three(self):
        """Guards against lost load reports, and against an answer lost to `int`."""
        for fourth in (b"", b"nan", b"-5", b"1e3", b"\xb2", b"9" * 40):
            with self.subTest(fourth):
                self.assertEqual(read_load(b"1,2,3," + fourth), TargetLoad(1, 2, 3))
        for value in (b"", b"1,2", b"1,2,", b"1,2,\xb2", b"1,-2,3", b"9" * 5000):
            with self.subTest(value):
                self.assertIsNone(read_load(value))
