"""Handling of operating system signals for the lifetime of a process."""

import contextlib
import signal
from collections.abc import AsyncIterator, Iterator

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def open_signals() -> Iterator[AsyncIterator[int]]:
    """Yield the stop and reload signals, including stop signals that arrive early.

    The main task of a process runs all its work inside this context, because a
    signal without a handler ends the process at once and breaks all its requests.
    After the context, stop signals are ignored because the process is about to
    end. Otherwise such a signal would end it with a failure status.
    """
    early: list[int] = []
    for number in STOP_SIGNALS:
        # The signal receiver restores this handler, not the default, when it closes.
        signal.signal(number, lambda number, _: early.append(number))
    try:
        with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as received:
            for number in early:
                signal.raise_signal(number)
            yield received
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
