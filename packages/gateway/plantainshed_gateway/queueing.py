"""Whether a target's queue leaves a request enough time.

Load that it answers: more requests than a pool can run. Every queue fills, and
all requests are answered late or cut at their timeout, though the pool runs as
many as ever. Refusing what would come too late, at once, keeps the others in
time and tells the refused when to come back.
"""

import trio
from attrs import define

from .call import Call
from .registry import TargetState
from .round_trips import RoundTrips

# Weight of a new measurement in the time that a pool's requests run.
NEW_WEIGHT = 0.1
# Longest wait in a target's queue, as a part of the route's objective. Above
# one, because loads are known from answers that are up to a second old.
WAIT_PART_OF_OBJECTIVE = 1.0


@define
class _RunTime:
    seconds: float

    def note(self, seconds: float):
        self.seconds += (seconds - self.seconds) * NEW_WEIGHT


class QueueLimits:
    """Compares expected waits with the time that requests have.

    Parameters
    ----------
    round_trips : RoundTrips
    """

    def __init__(self, round_trips: RoundTrips):
        self.round_trips = round_trips
        self._run_times: dict[str, _RunTime] = {}

    def note_answer(self, state: TargetState, seconds: float):
        """Take in how long an attempt took, if it met no queue."""
        if state.load is None or state.load.waiting > 0:
            return
        pool = state.entry.pool
        seconds -= self.round_trips.known_s(state.entry.failure_domain) or 0.0
        seconds = max(0.0, seconds)
        known = self._run_times.setdefault(pool, _RunTime(seconds))
        known.note(seconds)

    def expected_wait_s(self, state: TargetState) -> float:
        """Return how long a further request would wait in a target's queue."""
        run_time = self._run_times.get(state.entry.pool)
        if run_time is None:
            return 0.0
        slots = max(1, state.entry.slots)
        ahead = state.expected_load - slots + 1
        return max(0.0, ahead) / slots * run_time.seconds

    def fits(self, call: Call, state: TargetState) -> bool:
        """Tell whether a request would be answered in useful time there."""
        wait_s = self.expected_wait_s(state)
        if wait_s <= 0:
            return True
        run_time_s = self._run_times[state.entry.pool].seconds
        round_trip_s = self.round_trips.known_s(state.entry.failure_domain) or 0.0
        if wait_s + run_time_s + round_trip_s > call.deadline - trio.current_time():
            return False
        return wait_s <= call.route.objective_s * WAIT_PART_OF_OBJECTIVE
