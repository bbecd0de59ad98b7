"""Requests that crash targets: whether one is refused, and whether a target crashed."""

import trio

from plantainshed_http.errors import ConnectFailed

from .call import Call
from .connections import TargetConnections
from .logs import DecisionLog
from .members import Members
from .poison import PoisonTracker, is_selected_to_try
from .ports import TargetEntry
from .reach_prober import ReachProber
from .selection.registry import TargetState


class CrashChecks:
    """Decides whether a request is refused because it crashes targets.

    Parameters
    ----------
    poison : PoisonTracker
    connections : TargetConnections
    reach_prober : ReachProber
    members : Members
    log : DecisionLog
    """

    def __init__(
        self,
        poison: PoisonTracker,
        connections: TargetConnections,
        reach_prober: ReachProber,
        members: Members,
        log: DecisionLog,
    ):
        self.poison = poison
        self.connections = connections
        self.reach_prober = reach_prober
        self.members = members
        self.log = log

    def is_blocked(self, call: Call) -> bool:
        """Return whether a request is refused now."""
        return self.poison.is_blocked(call.fingerprint, self._is_selected_to_try)

    def _is_selected_to_try(self, fingerprint: str) -> bool:
        vms = self.members.ready_vms()
        return is_selected_to_try(fingerprint, self.members.own.vm, vms)

    async def check(self, call: Call, state: TargetState, entry: TargetEntry):
        """Check whether a target crashed or only its answer was lost.

        The target counts as crashed if it refuses a new connection, unless this VM
        reaches no other target either.

        Parameters
        ----------
        call : Call
        state : TargetState
        entry : TargetEntry
            The target's entry when the request was sent.
        """
        began_at = trio.current_time()
        try:
            connection = await self.connections.open(state)
        except ConnectFailed:
            if await self.reach_prober.confirm_cut(began_at):
                return
            state.note_unreachable()
            self.poison.note_crash(call.fingerprint, entry.run)
            self.log.event(
                "target crashed during request",
                request_id=call.request.request_id,
                target=entry.instance,
                mark=call.fingerprint,
            )
        else:
            await connection.aclose()
