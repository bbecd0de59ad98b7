import io
import threading
import unittest

import orjson
import trio

from plantainshed_gateway.logs import BURST_LINES, QUEUED_LINES, DecisionLog
from tests.support import on_mock_clock


class StuckStream(io.StringIO):
    """A pipe whose reader no longer reads."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return len(text)


class TestDecisionLog(unittest.TestCase):
    @on_mock_clock
    async def test_line_is_json_and_names_the_vm(self):
        stream = io.StringIO()
        log = DecisionLog("vm-1", "mil-a", stream)
        with log.writing():
            log.event("answered", request_id="r-1", status=200)
        line = orjson.loads(stream.getvalue())
        self.assertEqual(line["message"], "answered")
        self.assertEqual((line["vm"], line["request_id"]), ("vm-1", "r-1"))

    @on_mock_clock
    async def test_blocked_reader_does_not_block_logging(self):
        """The reader of standard output stops reading and the pipe fills up.

        A blocking write would delay every request of the VM. Lines must be dropped
        and counted instead.
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
    async def test_log_rate_is_limited(self):
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
