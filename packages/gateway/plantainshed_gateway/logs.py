"""Writes decisions as JSON lines to standard output without blocking.

A bounded queue passes the lines to a writer thread in batches, because waking the
thread costs more than a line. A slow or blocked reader fills the pipe and then the
queue. Further lines are dropped and counted, so that no request waits for the log.
"""

import contextlib
import io
import logging
import queue
import sys
import threading

import trio
from pythonjsonlogger.orjson import OrjsonFormatter

# Maximum lines in a batch, and how long its first line waits for others.
BATCH_LINES = 64
BATCH_AGE_S = 0.1
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
        self._batch: list[logging.LogRecord] = []
        self._batch_began_at = 0.0
        self._batches: queue.Queue = queue.Queue(QUEUED_LINES // BATCH_LINES)
        self._writer: threading.Thread | None = None

    def event(self, event: str, **fields):
        """Write one line soon, unless the rate limit is exceeded.

        The line is written with the next lines or by the next `flush`.
        """
        if not self._take_token():
            self.dropped += 1
            return
        self._add(event, fields)

    def milestone(self, event: str, **fields):
        """Write one line at once, regardless of the rate limit.

        Use it for the few life-cycle events of a process. If the lines of its
        shutdown were dropped, the process would look as if it had been killed.
        """
        self._add(event, fields)
        self.flush()

    def flush(self):
        """Pass the collected lines to the writer thread."""
        batch, self._batch = self._batch, []
        if not batch:
            return
        try:
            self._batches.put_nowait(batch)
        except queue.Full:
            self.dropped += len(batch)

    def _take_token(self) -> bool:
        now = trio.current_time()
        refilled = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, event: str, fields: dict):
        now = trio.current_time()
        if self.dropped > self._dropped_reported:
            fields["lines_dropped"] = self.dropped
            self._dropped_reported = self.dropped
        record = logging.LogRecord("", logging.INFO, "", 0, event, (), None)
        record.__dict__.update(
            at=round(now, 4),
            vm=self.vm,
            failure_domain=self.failure_domain,
            **fields,
        )
        if not self._batch:
            self._batch_began_at = now
        self._batch.append(record)
        is_full = len(self._batch) >= BATCH_LINES
        if is_full or now - self._batch_began_at >= BATCH_AGE_S:
            self.flush()

    @contextlib.contextmanager
    def writing(self):
        """Run the writer thread for the duration of a ``with`` block."""
        self._writer = threading.Thread(target=self._write_batches, daemon=True)
        self._writer.start()
        try:
            yield self
        finally:
            self.flush()
            with contextlib.suppress(queue.Full):
                self._batches.put_nowait(None)
            # A blocked reader must not prevent the process from exiting.
            self._writer.join(timeout=0.2)

    def _write_batches(self):
        while True:
            batch = self._batches.get()
            if batch is None:
                return
            lines = [self._formatter.format(record) + "\n" for record in batch]
            try:
                self.stream.write("".join(lines))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader is gone, so the failure can only be reported through
                # the counter in the metrics.
                self.dropped += len(batch)
