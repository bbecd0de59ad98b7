"""Measures the distance (round-trip time) to failure domains in advance."""

import trio

from plantainshed_http.errors import ConnectFailed

from .connections import TargetConnections
from .logs import DecisionLog
from .selection.registry import Registry, TargetState
from .selection.round_trips import RoundTrips

# Minimum interval between probes of a failure domain with unknown distance.
PROBE_INTERVAL_S = 1.0


class DistanceProber:
    """Opens one connection to each failure domain with unknown distance.

    Placement and timeouts for other VMs need distances from the first request on.

    Parameters
    ----------
    registry : Registry
    connections : TargetConnections
    round_trips : RoundTrips
    log : DecisionLog
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
        self._probed_at: dict[str, float] = {}

    def measure_unknown(self, nursery: trio.Nursery):
        """Start probes, except where one started less than a probe interval ago."""
        now = trio.current_time()
        unknown = {
            domain
            for domain in self.registry.region_of
            if not self.round_trips.is_measured(domain)
        }
        for state in self.registry.states.values() if unknown else ():
            domain = state.entry.failure_domain
            if domain not in unknown or state.is_ejected:
                continue
            if now - self._probed_at.get(domain, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
                continue
            self._probed_at[domain] = now
            nursery.start_soon(self._measure, state)

    async def _measure(self, state: TargetState):
        try:
            connection = await self.connections.open(state)
        except ConnectFailed as error:
            self.log.event(
                "distance not measured",
                to=state.entry.failure_domain,
                target=state.entry.instance,
                problem=str(error),
            )
        else:
            self.connections.keep(state, connection)
