"""Failures of targets that only a cancelled attempt shows.

An attempt is cancelled at the deadline of its request, or because the caller has left.
The target may then be silent, may have begun an answer that it does not end, or may
only be slower than this caller allows.
"""

from plantainshed_http.server import Exchange

from .call import Call
from .errors import AttemptFailed
from .reasons import Reason
from .selection.registry import MIN_SILENCE_FRACTION, TargetState
from .target_reach import TargetReach


def failure_of_cancelled(
    exchange: Exchange, call: Call, state: TargetState, reach: TargetReach
) -> AttemptFailed | None:
    """Return the failure of a target that a cancelled attempt shows, if any."""
    timeout_s = call.route.timeout_s
    if call.progress.has_ended:
        # Only the caller reads slowly.
        return None
    if not call.progress.has_begun:
        if not state.is_silent_since(call.attempted_at, timeout_s):
            return None
        return AttemptFailed(
            Reason.TARGET_SILENT, "no answer to this or any other request", True
        )
    if exchange.caller_disconnected or reach.is_cut_off:
        return None
    # The attempt may be a retry shortly before the deadline, callers may set short
    # deadlines, and a caller that reads slowly holds up its target.
    if call.progress.target_s(call.attempted_at) < MIN_SILENCE_FRACTION * timeout_s:
        return None
    return AttemptFailed(Reason.UNENDED_ANSWER, "the answer did not end in time", True)
