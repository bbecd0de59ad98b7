"""Connections to far targets that are opened before a request needs them.

Load that it answers: requests whose targets stand in other regions. Opening a
connection takes a round trip, on top of that of the request itself: at 110 ms a
quarter of what a caller has. A target that this VM will probably send to while an
idle connection lasts has one ready.
"""

import trio

from plantainshed_http.errors import ConnectFailed

from .connections import TargetConnections
from .demand import Demand
from .logs import DecisionLog
from .registry import Registry, TargetState
from .round_trips import RoundTrips

# Round trip from which a connection is opened ahead: below, waiting for one costs
# a caller less than the targets pay for connections that are not used.
LEAST_ROUND_TRIP_S = 0.01
# Requests that a target must expect from this VM while an idle connection lasts.
LEAST_EXPECTED = 0.5
# Pause between looks at a pool, and connections that one look opens.
LOOK_S = 0.25
MOST_OPENED = 16
# Pause between connections to a failure domain of unknown distance.
MEASURE_PAUSE_S = 1.0


class Standby:
    """Opens connections ahead of requests.

    Parameters
    ----------
    registry : Registry
    connections : TargetConnections
    round_trips : RoundTrips
    log : DecisionLog

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs what opens connections; set while the gateway runs.
    """

    def __init__(
        self,
        registry: Registry,
        connections: TargetConnections,
        round_trips: RoundTrips,
        log: DecisionLog,
    ):
        self.registry = registry
        self.connections = connections
        self.round_trips = round_trips
        self.log = log
        self.nursery: trio.Nursery | None = None
        self._demands: dict[str, Demand] = {}
        self._looked_at: dict[str, float] = {}
        self._opening: set[str] = set()
        self._measured_at: dict[str, float] = {}

    def note_request(self, pool: str):
        """Count a request for a pool, and see to its connections."""
        demand = self._demands.setdefault(pool, Demand())
        demand.add()
        now = trio.current_time()
        if self.nursery is None or now - self._looked_at.get(pool, -LOOK_S) < LOOK_S:
            return
        self._looked_at[pool] = now
        for state in self._lacking(pool, demand.rate)[:MOST_OPENED]:
            self._opening.add(state.entry.instance)
            self.nursery.start_soon(self._open, state)

    def measure_unknown(self):
        """Open a connection to each failure domain of unknown distance.

        Placing and waits for other VMs depend on it from the first request on.
        """
        now = trio.current_time()
        for state in self.registry.states.values():
            domain = state.entry.failure_domain
            if self.round_trips.is_measured(domain) or state.is_out:
                continue
            if now - self._measured_at.get(domain, -MEASURE_PAUSE_S) < MEASURE_PAUSE_S:
                continue
            self._measured_at[domain] = now
            self._opening.add(state.entry.instance)
            self.nursery.start_soon(self._open, state)

    def _lacking(self, pool: str, rate: float) -> list[TargetState]:
        """Return far targets that will be used and have no idle connection."""
        usable = self.registry.usable(pool, frozenset())
        expected = rate * self.connections.usable_for_s(pool) / max(1, len(usable))
        if expected < LEAST_EXPECTED:
            return []
        return [state for state in usable if self._is_lacking(state)]

    def _is_lacking(self, state: TargetState) -> bool:
        if state.is_out or state.is_cold or state.entry.instance in self._opening:
            return False
        round_trip_s = self.round_trips.seconds(state.entry.failure_domain)
        if round_trip_s < LEAST_ROUND_TRIP_S:
            return False
        return not self.connections.has_idle(state)

    async def _open(self, state: TargetState):
        try:
            connection = await self.connections.open(state)
        except ConnectFailed as error:
            # The request that needs it will find out what that means.
            self.log.event(
                "no connection ahead",
                target=state.entry.instance,
                problem=str(error),
            )
        else:
            self.connections.keep(state, connection)
        finally:
            self._opening.discard(state.entry.instance)
