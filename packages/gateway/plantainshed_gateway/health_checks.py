"""Health checks of targets, which show that a connection to a target carries answers.

A connection that is accepted shows only that something on the way to the target accepts
connections. Health checks are sent only when requests fail or wait.
"""

import trio

from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectionBroken, UnsendableRequest

from .selection.registry import Registry, TargetState
from .selection.round_trips import RoundTrips

# Time allowed for a busy target to answer, in addition to the round trips.
ANSWER_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 16 * 1024


class HealthChecks:
    """Sends health checks over open connections.

    Parameters
    ----------
    registry : Registry
    round_trips : RoundTrips
    """

    def __init__(self, registry: Registry, round_trips: RoundTrips):
        self.registry = registry
        self.round_trips = round_trips

    async def is_answered(
        self, connection: ClientConnection, state: TargetState
    ) -> bool:
        """Return whether a target answers a health check, whatever the answer is.

        True without a check if the target has no health path or asked for fewer
        requests.
        """
        path = self._path(state)
        if not path or not state.may_be_checked_at(trio.current_time()):
            return True
        wait_s = self.round_trips.wait_s(state.entry.failure_domain)
        with trio.move_on_after(ANSWER_TIMEOUT_S + wait_s):
            try:
                await connection.request("GET", path, max_bytes=MAX_BODY_BYTES)
            except UnsendableRequest:
                # The configured path is not valid, so nothing can be checked.
                return True
            except ConnectionBroken:
                return False
            return True
        return False

    def _path(self, state: TargetState) -> str:
        configuration = self.registry.configuration
        pool = configuration.pools.get(state.entry.pool) if configuration else None
        return pool.health_path if pool else ""
