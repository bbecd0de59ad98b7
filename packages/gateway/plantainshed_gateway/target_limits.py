"""Limits that targets in need name in their answers."""

from .logs import DecisionLog
from .registry import TargetState


class TargetLimits:
    """Keeps the limits that targets name.

    Parameters
    ----------
    log : DecisionLog
    """

    def __init__(self, log: DecisionLog):
        self.log = log

    def note_answer(self, state: TargetState, limit_per_s: float | None):
        """Record the limit that an answer of a target names, if any.

        Parameters
        ----------
        state : TargetState
        limit_per_s : float or None
            Requests per second that the target takes from all VMs together.
        """
        if limit_per_s != state.limit_per_s:
            self.log.event(
                "target limit changed",
                target=state.entry.instance,
                limit_per_s=limit_per_s,
                before_per_s=state.limit_per_s,
            )
            state.limit_per_s = limit_per_s
