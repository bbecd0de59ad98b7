"""How long a message to another failure domain and back takes.

It is observed from what passes anyway: connections that are opened to targets,
and questions that other VMs answer. Waits that depend on distance follow it.
"""

from collections import deque

from attrs import define, field

from .logs import DecisionLog

# Newest measurements that count. The shortest of them leaves out those that met a
# lost packet, which is sent again after a second, or waited for a processor.
KEPT = 15
# Round trip that is assumed to a domain before anything was measured.
UNKNOWN_S = 0.2
# A wait for an answer: round trips, and what a busy VM takes to answer.
WAITED_ROUND_TRIPS = 2.0
ANSWERING_S = 0.03
LONGEST_WAIT_S = 0.8
# A round trip that changed by this factor since it was told last is told again.
TOLD_FACTOR = 1.5


@define
class _Measured:
    newest: deque[float] = field(factory=lambda: deque(maxlen=KEPT))
    shortest_s: float = 0.0
    told_s: float = 0.0


class RoundTrips:
    """Round trips from this VM to failure domains.

    Parameters
    ----------
    region_of : dict of str to str
        By failure domain.
    log : DecisionLog
    """

    def __init__(self, region_of: dict[str, str], log: DecisionLog):
        self.region_of = region_of
        self.log = log
        self._measured: dict[str, _Measured] = {}

    def record(self, failure_domain: str, seconds: float):
        """Take in one round trip."""
        measured = self._measured.setdefault(failure_domain, _Measured())
        measured.newest.append(seconds)
        measured.shortest_s = min(measured.newest)
        known, told = measured.shortest_s, measured.told_s
        if not told or not told / TOLD_FACTOR < known < told * TOLD_FACTOR:
            measured.told_s = known
            self.log.event(
                "round trip",
                to=failure_domain,
                seconds=round(known, 4),
                seconds_before=round(told, 4) or None,
                measured=len(measured.newest),
            )

    def is_measured(self, failure_domain: str) -> bool:
        """Tell whether anything was measured to a domain."""
        return failure_domain in self._measured

    def known_s(self, failure_domain: str) -> float | None:
        """Return the usual round trip; None if nothing was measured.

        A domain of which nothing was measured is as far as its region's others.
        """
        measured = self._measured.get(failure_domain)
        if measured is not None:
            return measured.shortest_s
        region = self.region_of.get(failure_domain)
        near = [
            other.shortest_s
            for domain, other in self._measured.items()
            if region is not None and self.region_of.get(domain) == region
        ]
        return min(near) if near else None

    def estimate_s(self, failure_domain: str) -> float:
        """Return the usual round trip, or one that is rather too long."""
        known = self.known_s(failure_domain)
        return UNKNOWN_S if known is None else known

    def wait_s(self, failure_domain: str) -> float:
        """Return how long to wait for an answer of a VM or target there."""
        expected = WAITED_ROUND_TRIPS * self.estimate_s(failure_domain)
        return min(LONGEST_WAIT_S, expected + ANSWERING_S)

    def longest_s(self) -> float:
        """Return the longest usual round trip; 0 if nothing was measured."""
        return max((m.shortest_s for m in self._measured.values()), default=0.0)

    def by_domain(self) -> dict[str, float]:
        """Return the usual round trip to each domain that was measured."""
        return {domain: m.shortest_s for domain, m in self._measured.items()}
