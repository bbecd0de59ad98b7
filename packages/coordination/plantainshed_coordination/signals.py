"""The system's signals, received for as long as a process runs."""

import contextlib
import signal
from collections.abc import AsyncIterator, Iterator

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def open_signals() -> Iterator[AsyncIterator[int]]:
    """Yield the signals to stop and to reload, in whichever state they come.

    For the main task of a process, around all that it does: whatever comes while
    nothing receives signals ends the process at once, with all its requests. After
    the block requests to stop are ignored, for the process is about to end: it
    would otherwise end as one that failed to stop.
    """
    early: list[int] = []
    for number in STOP_SIGNALS:
        # What the receiver puts back when it closes, in place of the default.
        signal.signal(number, lambda number, _: early.append(number))
    try:
        with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as received:
            for number in early:
                signal.raise_signal(number)
            yield received
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
