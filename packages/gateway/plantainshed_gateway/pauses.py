"""Noticing that this process stood still while the world went on.

A paused VM wakes with routes, keys and targets as they were. The steady clock
that everything else here uses can stand still meanwhile, so this is the one
place that also reads the clock that counts suspensions.
"""

import time

import trio

# Longer than any step of the upkeep takes on a busy VM, and short beside the
# 2 s in which changes must be in force.
PAUSE_S = 1.0


class PauseDetector:
    """Compares how long a sleep took with how long it should have."""

    def __init__(self):
        self._steady_at = trio.current_time()
        self._boot_at = _boot_time()

    def check(self, expected_s: float) -> float:
        """Return the seconds by which the last step was too long, or 0."""
        steady, boot = trio.current_time(), _boot_time()
        took_s = max(steady - self._steady_at, boot - self._boot_at)
        self._steady_at, self._boot_at = steady, boot
        late_s = took_s - expected_s
        return late_s if late_s > PAUSE_S else 0.0


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
