"""Admission by expected queueing time at a target.

When a pool gets more requests than it can run, every queue fills up, and all requests
are answered late or time out, although the pool runs as many as before. Requests that
would be answered too late are therefore refused at once. The others are answered in
time, and the refused callers are told when to retry.
"""

import trio
from attrs import define

from ..call import Call
from .registry import TargetState
from .round_trips import RoundTrips

# Weight of a new sample in the moving average of a pool's run time.
EWMA_WEIGHT = 0.1
# Longest accepted wait in a target's queue, as a ratio of the route's objective.
# The limit is generous, because loads are known only from answers that can be up to
# a second old.
MAX_WAIT_RATIO = 1.0


@define
class _RunTime:
    seconds: float

    def note(self, seconds: float):
        self.seconds += (seconds - self.seconds) * EWMA_WEIGHT


class QueueLimits:
    """Compares expected queueing times with the time left for requests.

    Parameters
    ----------
    round_trips : RoundTrips
    """

    def __init__(self, round_trips: RoundTrips):
        self.round_trips = round_trips
        self._run_times: dict[str, _RunTime] = {}

    def note_answer(self, state: TargetState, seconds: float):
        """Record the duration of an attempt, if the target reports no queue."""
        if state.load is None or state.load.waiting > 0:
            return
        pool = state.entry.pool
        seconds -= self.round_trips.known_s(state.entry.failure_domain) or 0.0
        seconds = max(0.0, seconds)
        known = self._run_times.setdefault(pool, _RunTime(seconds))
        known.note(seconds)

    def expected_wait_s(self, state: TargetState) -> float:
        """Return how long one more request would wait in a target's queue."""
        run_time = self._run_times.get(state.entry.pool)
        if run_time is None:
            return 0.0
        slots = max(1, state.entry.slots)
        requests_ahead = state.expected_load - slots + 1
        return max(0.0, requests_ahead) / slots * run_time.seconds

    def can_answer_in_time(self, call: Call, state: TargetState) -> bool:
        """Return whether a target is expected to answer a request in time."""
        wait_s = self.expected_wait_s(state)
        if wait_s <= 0:
            return True
        run_time_s = self._run_times[state.entry.pool].seconds
        round_trip_s = self.round_trips.known_s(state.entry.failure_domain) or 0.0
        if wait_s + run_time_s + round_trip_s > call.deadline - trio.current_time():
            return False
        return wait_s <= call.route.objective_s * MAX_WAIT_RATIO
