"""Requests that come back after a refusal.

Callers send a refused request again with the time that they have left, so a request
with a shorter deadline than the other requests of its route has been under way for the
difference. Its time counts from the first attempt: once the objective is over, it can
only be answered late.
"""

import trio
from attrs import define

from ..call import Call

# Time after which the longest deadline of a route is forgotten if it is not seen again.
# Callers of a route mostly send the same one.
FORGET_AFTER_S = 10.0


@define
class _Longest:
    seconds: float
    seen_at: float


class Returning:
    """Tells how long a caller has been waiting before its present attempt."""

    def __init__(self):
        self._longest: dict[str, _Longest] = {}

    def elapsed_s(self, call: Call) -> float:
        """Return the time since the first attempt of a request, and note its deadline.

        0 for a request without a deadline.
        """
        deadline_s = call.request.deadline_s
        if deadline_s is None:
            return 0.0
        now = trio.current_time()
        longest = self._longest.get(call.route.name)
        if (
            longest is None
            or deadline_s >= longest.seconds
            or now - longest.seen_at > FORGET_AFTER_S
        ):
            self._longest[call.route.name] = _Longest(deadline_s, now)
            return 0.0
        return longest.seconds - deadline_s
