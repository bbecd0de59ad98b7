"""Detection of pauses of this process.

After a pause, for example a suspended machine, a VM still has the routes, keys and
targets from before. The monotonic clock that the rest of the gateway uses may not
count the time of a suspension, so only this module also reads the boot-time clock,
which does.
"""

import time

import trio

# Shortest delay that counts as a pause: longer than any step of the periodic upkeep
# takes on a busy VM, and short compared with the 2 s within which changes must be in
# force.
MIN_PAUSE_S = 1.0


class PauseDetector:
    """Compares the measured duration of a sleep with the expected one."""

    def __init__(self):
        self._monotonic_at = trio.current_time()
        self._boot_at = _boottime()

    def check(self, expected_s: float) -> float:
        """Return by how many seconds the last step was too long; 0 if no pause."""
        monotonic, boot = trio.current_time(), _boottime()
        took_s = max(monotonic - self._monotonic_at, boot - self._boot_at)
        self._monotonic_at, self._boot_at = monotonic, boot
        excess_s = took_s - expected_s
        return excess_s if excess_s > MIN_PAUSE_S else 0.0


def _boottime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
