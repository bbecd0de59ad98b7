import io
import threading
import unittest

import orjson
import trio

from plantainshed_gateway.logs import BURST_LINES, QUEUED_LINES, DecisionLog
from tests.support import on_mock_clock


class StuckStream(io.StringIO):
    """A pipe whose reader has stopped reading."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return len(text)


class TestDecisionLog(unittest.TestCase):
    @on_mock_clock
    async def test_line_is_json_with_the_vm(self):
        stream = io.StringIO()
        log = DecisionLog("vm-1", "mil-a", stream)
        with log.writing():
            log.event("answered", request_id="r-1", status=200)
        line = orjson.loads(stream.getvalue())
        self.assertEqual(line["message"], "answered")
        self.assertEqual((line["vm"], line["request_id"]), ("vm-1", "r-1"))

    @on_mock_clock
    async def test_stuck_reader_delays_nobody(self):
        """Whoever reads standard output stops reading; the pipe fills.

        A write would then wait, and with it every request of the VM. Lines
        are dropped and counted instead.
        """
        stream = StuckStream()
        log = DecisionLog("vm-1", "mil-a", stream)
        with log.writing():
            for _ in range(QUEUED_LINES + 100):
                log.event("answered")
                await trio.sleep(0.01)
            self.assertGreater(log.dropped, 0)
            stream.released.set()

    @on_mock_clock
    async def test_volume_is_bounded(self):
        stream = io.StringIO()
        log = DecisionLog("vm-1", "mil-a", stream)
        with log.writing():
            for _ in range(10_000):
                log.event("answered")
            await trio.sleep(1)
            log.event("next")
        lines = stream.getvalue().splitlines()
        self.assertLessEqual(len(lines), BURST_LINES + 1)
        self.assertGreater(orjson.loads(lines[-1])["lines_dropped"], 9000)
