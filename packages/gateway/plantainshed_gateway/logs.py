"""Writes decisions as JSON lines to standard output without blocking.

A bounded queue passes the lines to a writer thread. A slow or blocked reader fills
the pipe and then the queue. Further lines are dropped and counted, so that no
request waits for the log.
"""

import contextlib
import io
import logging
import queue
import sys
import threading

import trio
from pythonjsonlogger.orjson import OrjsonFormatter

# Capacity of the queue in lines: a few seconds of a VM's requests, under 4 MB.
QUEUED_LINES = 4096
# Maximum log rate in lines per second: twice the peak request rate of one VM. A
# higher rate would take CPU time from callers' requests.
LINES_PER_S = 400.0
BURST_LINES = 800.0


class DecisionLog:
    """Rate-limited log of decisions as JSON lines.

    Parameters
    ----------
    vm : str
    failure_domain : str
    stream : io.TextIOBase, optional
        Output stream; standard output by default.

    Attributes
    ----------
    dropped : int
        Lines dropped because the queue was full or the rate limit was exceeded.
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
        """Write one line unless the rate limit is exceeded."""
        if not self._take_token():
            self.dropped += 1
            return
        self.milestone(event, **fields)

    def milestone(self, event: str, **fields):
        """Write one line regardless of the rate limit.

        Use it for the few life-cycle events of a process. If the lines of its
        shutdown were dropped, the process would look as if it had been killed.
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
        """Run the writer thread for the duration of a ``with`` block."""
        self._writer = threading.Thread(target=self._write_lines, daemon=True)
        self._writer.start()
        try:
            yield self
        finally:
            with contextlib.suppress(queue.Full):
                self._lines.put_nowait(None)
            # A blocked reader must not prevent the process from exiting.
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
                # The reader is gone, so the failure can only be reported through
                # the counter in the metrics.
                self.dropped += 1
