"""Opens connections to targets to find out whether this VM reaches any of them.

Connections are only opened when requests fail or wait. They are not kept for requests
once a health check was sent on them: it has no request id, so a late copy of its answer
could not be told from the answer to a request.
"""

from collections.abc import Awaitable, Callable

import trio

from plantainshed_http.errors import ConnectFailed

from .connections import TargetConnections
from .health_checks import HealthChecks
from .logs import DecisionLog
from .selection.registry import Registry, TargetState
from .target_reach import TargetReach

# Interval of the attempts to reach a target while this VM is cut off.
RETRY_INTERVAL_S = 0.25


class ReachProber:
    """Keeps `TargetReach.is_cut_off` up to date.

    Parameters
    ----------
    reach : TargetReach
    registry : Registry
    connections : TargetConnections
    health_checks : HealthChecks
    on_change : callable
        Awaited when this VM is cut off from the targets or reaches them again.
    log : DecisionLog
    """

    def __init__(
        self,
        reach: TargetReach,
        registry: Registry,
        connections: TargetConnections,
        health_checks: HealthChecks,
        on_change: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ):
        self.reach = reach
        self.registry = registry
        self.connections = connections
        self.health_checks = health_checks
        self.on_change = on_change
        self.log = log
        self._check_lock = trio.Lock()

    async def run(self):
        """Check whether targets are reachable until cancelled."""
        while True:
            if self.reach.is_cut_off:
                await trio.sleep(RETRY_INTERVAL_S)
                await self._check_end_of_cut()
            else:
                await self.reach.suspected.wait()
                await self.confirm_cut(trio.current_time())

    async def confirm_cut(self, failed_at: float) -> bool:
        """Return whether this VM is cut off, given that a connection failed.

        Checks other targets unless one has answered on a new connection since.
        """
        async with self._check_lock:
            if not self.reach.is_cut_off and self.reach.proven_at < failed_at:
                await self._check()
            return self.reach.is_cut_off

    async def _check(self):
        first, *others = self.reach.targets_to_check() or [None]
        if first is None or await self._reaches(first):
            self.reach.end_check(is_cut_off=False)
            return
        reached: list[TargetState] = []
        async with trio.open_nursery() as nursery:
            for state in others:
                nursery.start_soon(self._reach_into, state, reached)
        self.reach.end_check(is_cut_off=not reached)
        if not self.reach.is_cut_off:
            return
        # The failures so far were failures of this VM's links. Connections that are
        # still open may have been closed by their targets unnoticed.
        self.registry.forget_failures()
        self.connections.close_idle(set())
        tried = [state.entry.instance for state in (first, *others)]
        self.log.event("targets unreachable", tried=tried)
        await self.on_change()

    async def _reach_into(self, state: TargetState, reached: list[TargetState]):
        if await self._reaches(state):
            reached.append(state)

    async def _check_end_of_cut(self):
        for state in self.reach.targets_to_retry():
            if not await self._reaches(state):
                return
        self.reach.end_check(is_cut_off=False)
        took_s = trio.current_time() - self.reach.cut_off_since
        self.log.event("targets reachable again", after_s=round(took_s, 3))
        await self.on_change()

    async def _reaches(self, state: TargetState) -> bool:
        problem = "the connection is accepted, but a health check is not answered"
        try:
            connection = await self.connections.open(state)
        except ConnectFailed as error:
            problem = str(error)
        else:
            if await self.health_checks.is_answered(connection, state):
                self.reach.note_answer(is_first=True)
                if connection.send_started:
                    connection.close()
                else:
                    self.connections.keep(state, connection)
                return True
            connection.close()
        self.log.event(
            "target not reached",
            target=state.entry.instance,
            to=state.entry.failure_domain,
            problem=problem,
        )
        return False
