"""Decisions as JSON lines on standard output, never waiting for a reader.

Lines go through a bounded queue to a thread that writes them. A reader that
is slow or stuck fills the pipe, then the queue; from then on lines are dropped
and counted, and no request waits.
"""

import contextlib
import io
import logging
import queue
import sys
import threading

import trio
from pythonjsonlogger.orjson import OrjsonFormatter

# Lines that wait for the writer: a few seconds of a VM's requests, under 4 MB.
QUEUED_LINES = 4096
# Most lines a second, twice the requests that one VM serves at its peak; more
# would cost processor time that callers need.
LINES_PER_S = 400.0
BURST_LINES = 800.0


class DecisionLog:
    """Writes decisions as lines of JSON.

    Parameters
    ----------
    vm : str
    failure_domain : str
    stream : io.TextIOBase, optional
        Instead of standard output.

    Attributes
    ----------
    dropped : int
        Lines that were not written, for a full queue or over the rate.
    """

    def __init__(self, vm: str, failure_domain: str, stream=None):
        self.vm = vm
        self.failure_domain = failure_domain
        self.stream: io.TextIOBase = stream or sys.stdout
        self.dropped = 0
        self._dropped_reported = 0
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._formatter = OrjsonFormatter()
        self._lines: queue.Queue = queue.Queue(QUEUED_LINES)
        self._writer: threading.Thread | None = None

    def event(self, event: str, **fields):
        """Write one line, unless too many are under way."""
        if not self._take_token():
            self.dropped += 1
            return
        self.milestone(event, **fields)

    def milestone(self, event: str, **fields):
        """Write one line whatever the rate; for the few of a process's life.

        Without those of its stop, a process whose lines end looks like one that
        was ended from outside.
        """
        if self.dropped > self._dropped_reported:
            fields["lines_dropped"] = self.dropped
            self._dropped_reported = self.dropped
        self._enqueue(event, fields)

    def _take_token(self) -> bool:
        now = trio.current_time()
        refilled = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _enqueue(self, event: str, fields: dict):
        record = logging.LogRecord("", logging.INFO, "", 0, event, (), None)
        record.__dict__.update(
            at=round(trio.current_time(), 4),
            vm=self.vm,
            failure_domain=self.failure_domain,
            **fields,
        )
        try:
            self._lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    @contextlib.contextmanager
    def writing(self):
        """Write in a thread of its own for the length of a block."""
        self._writer = threading.Thread(target=self._write_lines, daemon=True)
        self._writer.start()
        try:
            yield self
        finally:
            with contextlib.suppress(queue.Full):
                self._lines.put_nowait(None)
            # A stuck reader must not keep the process from ending.
            self._writer.join(timeout=0.2)

    def _write_lines(self):
        while True:
            record = self._lines.get()
            if record is None:
                return
            try:
                self.stream.write(self._formatter.format(record) + "\n")
                self.stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more; there is nowhere left to say so but
                # the counter on the metrics address.
                self.dropped += 1
