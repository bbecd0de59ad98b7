"""Requests that come back after a refusal.

Callers send a refused request again with the time that they have left, so a request
with a shorter deadline than the others of its workspace and route has been under way
for the difference. Its time counts from the first attempt: once the objective is over,
it can only be answered late.
"""

import trio
from attrs import define

from ..call import Call

# Time after which the longest deadline of a workspace on a route is forgotten if it is
# not seen again. Callers of one workspace mostly send the same one.
FORGET_AFTER_S = 10.0
# Number of workspaces and routes whose deadlines are kept.
MAX_KEPT = 5_000


@define
class _Longest:
    seconds: float
    seen_at: float


class Returning:
    """Tells how long a caller has been waiting before its present attempt."""

    def __init__(self):
        self._longest: dict[tuple[str, str | None], _Longest] = {}

    def elapsed_s(self, call: Call) -> float:
        """Return the time since the first attempt of a request, and note its deadline.

        0 for a request without a deadline.
        """
        deadline_s = call.request.deadline_s
        if deadline_s is None:
            return 0.0
        now = trio.current_time()
        key = call.route.name, call.workspace_name
        longest = self._longest.get(key)
        if (
            longest is None
            or deadline_s >= longest.seconds
            or now - longest.seen_at > FORGET_AFTER_S
        ):
            if len(self._longest) >= MAX_KEPT:
                self._longest.clear()
            self._longest[key] = _Longest(deadline_s, now)
            return 0.0
        return longest.seconds - deadline_s
