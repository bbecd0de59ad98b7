"""Load reports between VMs: demand by home domain, and capacity.

Each VM counts the requests that it receives. The VMs of a failure domain exchange these
counts in heartbeats. Failure domains exchange only their sums, in summaries.
"""

import orjson
import trio
from attrs import define, field, frozen

from plantainshed_coordination.budgets import DemandMeter

LOAD_TTL_S = 10.0


@frozen
class DomainLoad:
    """Demand that arrives at a failure domain, and the capacity of its targets.

    Parameters
    ----------
    capacity : dict of str to float
        Requests per second, by pool.
    arrivals : dict of str to dict of str to float
        Requests per second, by pool and home domain of the callers.
    """

    capacity: dict[str, float] = field(factory=dict)
    arrivals: dict[str, dict[str, float]] = field(factory=dict)

    def to_bytes(self) -> bytes:
        """Return the load as compact JSON."""
        rounded = {
            pool: {home: round(rate, 1) for home, rate in homes.items()}
            for pool, homes in self.arrivals.items()
        }
        capacity = {pool: round(rate, 1) for pool, rate in self.capacity.items()}
        return orjson.dumps([capacity, rounded])

    @classmethod
    def from_bytes(cls, data: bytes) -> "DomainLoad":
        """Decode a load encoded by `to_bytes`."""
        capacity, arrivals = orjson.loads(data)
        return cls(capacity, arrivals)


@define
class _ReceivedLoad:
    load: DomainLoad
    received_at: float


class LoadTracker:
    """Tracks the loads of this VM, of its peers, and of other failure domains.

    Parameters
    ----------
    failure_domain : str
        Own failure domain.
    """

    def __init__(self, failure_domain: str):
        self.failure_domain = failure_domain
        self.meters: dict[tuple[str, str], DemandMeter] = {}
        self.peers: dict[str, _ReceivedLoad] = {}
        self.domains: dict[str, _ReceivedLoad] = {}

    def count_arrival(self, pool: str, home_domain: str):
        """Count a request that arrived at this VM."""
        key = (pool, home_domain or self.failure_domain)
        meter = self.meters.get(key)
        if meter is None:
            meter = self.meters[key] = DemandMeter()
        meter.add(1)

    def own_load(self, capacity: dict[str, float]) -> DomainLoad:
        """Return the arrivals at this VM, with the given capacity."""
        arrivals: dict[str, dict[str, float]] = {}
        for (pool, home), meter in self.meters.items():
            rate = meter.read()
            if rate > 0.05:
                arrivals.setdefault(pool, {})[home] = rate
        return DomainLoad(capacity, arrivals)

    def domain_load(self, capacity: dict[str, float]) -> DomainLoad:
        """Return the sum of the arrivals at all VMs of this failure domain."""
        now = trio.current_time()
        loads = [self.own_load(capacity)]
        loads += [
            h.load for h in self.peers.values() if now - h.received_at < LOAD_TTL_S
        ]
        arrivals: dict[str, dict[str, float]] = {}
        for load in loads:
            _add_arrivals(arrivals, load.arrivals)
        return DomainLoad(capacity, arrivals)

    def note_peer(self, vm: str, load: DomainLoad):
        """Record the load reported by another VM of the own failure domain."""
        self.peers[vm] = _ReceivedLoad(load, trio.current_time())

    def note_domain(self, failure_domain: str, load: DomainLoad):
        """Record the load reported by another failure domain."""
        self.domains[failure_domain] = _ReceivedLoad(load, trio.current_time())

    def all_domains(self, capacity: dict[str, float]) -> dict[str, DomainLoad]:
        """Return the loads of all failure domains with a recent report."""
        now = trio.current_time()
        loads = {
            n: h.load
            for n, h in self.domains.items()
            if now - h.received_at < LOAD_TTL_S
        }
        loads[self.failure_domain] = self.domain_load(capacity)
        return loads


def _add_arrivals(total, arrivals):
    for pool, homes in arrivals.items():
        into = total.setdefault(pool, {})
        for home, rate in homes.items():
            into[home] = into.get(home, 0.0) + rate
