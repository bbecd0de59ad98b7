"""Run times of a pool's targets: of first runs for an object, and of later ones.

A target runs the next request for an object that it handled recently in a fraction of
the time of the first. What a request will take therefore depends on whether its target
knows the object. Answers do not say so; their durations do, since the two kinds of runs
differ by a factor of about three.
"""

import math
from collections import deque
from statistics import median

from attrs import define, field

from .registry import TargetState
from .round_trips import RoundTrips

# Newest samples of a pool from which its run times are computed, and the number of
# samples after which they are computed again.
MAX_SAMPLES = 64
SAMPLES_PER_UPDATE = 4
# Smallest ratio between first and later runs that counts as two kinds of runs. Run
# times of one kind vary by about 15 %.
MIN_RATIO = 1.6


@define
class RunTime:
    """Usual durations of a pool's runs.

    Parameters
    ----------
    later_s, first_s : float
        Of runs for objects that the target knows, and of first runs. Equal if the
        samples are of one kind.
    """

    later_s: float
    first_s: float

    def is_first(self, seconds: float) -> bool:
        """Return whether a duration is rather that of a first run."""
        if self.first_s < self.later_s * MIN_RATIO:
            return False
        return seconds * seconds > self.first_s * self.later_s

    def expected_s(self, first_run_share: float) -> float:
        """Return the expected duration if a share of the runs are first ones."""
        return self.later_s + (self.first_s - self.later_s) * first_run_share


@define
class _Samples:
    recent: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    since_update: int = 0
    run_time: RunTime | None = None


class RunTimes:
    """Learns the run times of all pools from the answers that this VM gets.

    Parameters
    ----------
    round_trips : RoundTrips
    """

    def __init__(self, round_trips: RoundTrips):
        self.round_trips = round_trips
        self._by_pool: dict[str, _Samples] = {}

    def note_answer(self, state: TargetState, seconds: float) -> bool | None:
        """Record the duration of an attempt, unless the target reports a queue.

        Return whether it was a first run, or None if that is not known.
        """
        if state.load is None:
            return None
        seconds -= self.round_trips.known_s(state.entry.failure_domain) or 0.0
        samples = self._by_pool.setdefault(state.entry.pool, _Samples())
        if state.load.waiting > 0:
            if samples.run_time is None:
                # In an overload, no target may be without a queue for long.
                busy = max(1, state.load.running)
                seconds *= busy / (busy + state.load.waiting)
                samples.run_time = RunTime(max(0.001, seconds), max(0.001, seconds))
            return None
        samples.recent.append(max(0.001, seconds))
        samples.since_update += 1
        if samples.run_time is None or samples.since_update >= SAMPLES_PER_UPDATE:
            samples.run_time = _split(samples.recent)
            samples.since_update = 0
        if samples.run_time.first_s == samples.run_time.later_s:
            return None
        return samples.run_time.is_first(seconds)

    def of(self, pool: str) -> RunTime | None:
        """Return a pool's run times, or None before its first answer."""
        samples = self._by_pool.get(pool)
        return samples.run_time if samples else None


def _split(samples: deque[float]) -> RunTime:
    """Return the medians of the two groups that durations form on a logarithmic scale.

    The groups are those with the largest variance between them (Otsu's method).
    """
    ordered = sorted(samples)
    logs = [math.log(seconds) for seconds in ordered]
    total, count = sum(logs), len(logs)
    best_variance, best_at, low_sum = 0.0, 0, 0.0
    for at in range(1, count):
        low_sum += logs[at - 1]
        difference = low_sum / at - (total - low_sum) / (count - at)
        variance = at * (count - at) * difference * difference
        if variance > best_variance:
            best_variance, best_at = variance, at
    low, high = ordered[:best_at], ordered[best_at:]
    if low and median(high) >= MIN_RATIO * median(low):
        return RunTime(median(low), median(high))
    usual_s = median(ordered)
    return RunTime(usual_s, usual_s)
