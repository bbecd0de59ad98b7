"""Decides whether this VM needs the load reports of other VMs.

A target's answers tell its load. A VM that gets answers of each target often enough
knows the load without reports, and exchanging them would only cost bytes.
"""

import math

import trio

from .registry import LOAD_MAX_AGE_S

# Mean ages of the known load at which reports become needed, and no longer needed.
NEEDED_AGE_S = LOAD_MAX_AGE_S
NOT_NEEDED_AGE_S = LOAD_MAX_AGE_S / 2
# The age that counts if a target's load is older or unknown. A few targets that are
# seldom chosen must not outweigh those that are chosen often.
MAX_COUNTED_AGE_S = 2 * LOAD_MAX_AGE_S
# The mean covers at least this many choices and at least this time, so that the first
# choices after a start, when no load is known, do not count as a need.
AVERAGED_CHOICES = 20
AVERAGED_S = 3.0
# Time without any choice after which no reports are needed.
IDLE_S = 30.0


class ReportNeed:
    """Averages the age of the load that was known of chosen targets.

    Attributes
    ----------
    mean_age_s : float
    """

    def __init__(self):
        self.mean_age_s = 0.0
        self._is_needed = False
        self._noted_at = trio.current_time()

    @property
    def is_needed(self) -> bool:
        """Whether the answers that this VM gets are too rare to know the load."""
        if trio.current_time() - self._noted_at > IDLE_S:
            self.mean_age_s = 0.0
            self._is_needed = False
        return self._is_needed

    def note_choice(self, load_age_s: float | None):
        """Record the age of a chosen target's load; None if it was not known."""
        now = trio.current_time()
        age_s = MAX_COUNTED_AGE_S if load_age_s is None else load_age_s
        weight = min(
            1 / AVERAGED_CHOICES, 1 - math.exp((self._noted_at - now) / AVERAGED_S)
        )
        self.mean_age_s += (min(age_s, MAX_COUNTED_AGE_S) - self.mean_age_s) * weight
        self._noted_at = now
        limit_s = NOT_NEEDED_AGE_S if self._is_needed else NEEDED_AGE_S
        self._is_needed = self.mean_age_s > limit_s
