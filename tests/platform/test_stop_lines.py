"""Tests that the log lines of a stop are written under a high rate of requests."""

import io
import unittest

import orjson

from plantainshed_gateway.logs import DecisionLog
from tests.support import on_real_clock


class TestStopLinesUnderLoad(unittest.TestCase):
    @on_real_clock
    async def test_stop_lines_are_written_while_others_are_dropped(self):
        """Guards against losing the line of a stop when a VM exceeds its log rate.

        Without that line, the log reads as if something outside had ended the
        process.
        """
        stream = io.StringIO()
        log = DecisionLog("a", "d", stream)
        with log.writing():
            for _ in range(900):
                log.event("answered")
            log.milestone("stop requested", signal=15)
        lines = stream.getvalue().splitlines()
        messages = {orjson.loads(line)["message"] for line in lines}
        self.assertIn("stop requested", messages)
