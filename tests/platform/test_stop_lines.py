"""Lines that tell what ended a process, beside those of many requests."""

import io
import unittest

import orjson

from plantainshed_gateway.logs import DecisionLog
from tests.support import on_real_clock


class TestLinesOfAStopUnderLoad(unittest.TestCase):
    @on_real_clock
    async def test_they_are_written_though_others_are_dropped(self):
        """A VM over its rate of lines is told to stop: no line says so.

        The page then reads: ended from outside.
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
