"""How long a message to another failure domain and back takes.

It is observed from what passes anyway: connections that are opened to targets,
and questions that other VMs answer. Waits that depend on distance follow it.
"""

from collections import deque

from attrs import define, field

from .logs import DecisionLog

# Newest measurements that count. The shortest of them leaves out those that met a
# lost packet, which is sent again after a second, or waited for a processor.
MAX_SAMPLES = 15
# Round trip that is assumed to a domain before anything was measured.
DEFAULT_ROUND_TRIP_S = 0.2
# A wait for an answer: round trips, and what a busy VM takes to answer.
WAIT_ROUND_TRIPS = 2.0
PROCESSING_S = 0.03
MAX_WAIT_S = 0.8
# A round trip that changed by this factor since it was told last is told again.
LOG_CHANGE_FACTOR = 1.5


@define
class _Samples:
    recent: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    shortest_s: float = 0.0
    logged_s: float = 0.0


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
        self._samples: dict[str, _Samples] = {}

    def record(self, failure_domain: str, seconds: float):
        """Take in one round trip."""
        samples = self._samples.setdefault(failure_domain, _Samples())
        samples.recent.append(seconds)
        samples.shortest_s = min(samples.recent)
        known, logged = samples.shortest_s, samples.logged_s
        if (
            not logged
            or not logged / LOG_CHANGE_FACTOR < known < logged * LOG_CHANGE_FACTOR
        ):
            samples.logged_s = known
            self.log.event(
                "round trip",
                to=failure_domain,
                seconds=round(known, 4),
                seconds_before=round(logged, 4) or None,
                measured=len(samples.recent),
            )

    def is_measured(self, failure_domain: str) -> bool:
        """Tell whether anything was measured to a domain."""
        return failure_domain in self._samples

    def known_s(self, failure_domain: str) -> float | None:
        """Return the usual round trip; None if nothing was measured.

        A domain of which nothing was measured is as far as its region's others.
        """
        samples = self._samples.get(failure_domain)
        if samples is not None:
            return samples.shortest_s
        region = self.region_of.get(failure_domain)
        near = [
            other.shortest_s
            for domain, other in self._samples.items()
            if region is not None and self.region_of.get(domain) == region
        ]
        return min(near) if near else None

    def estimate_s(self, failure_domain: str) -> float:
        """Return the usual round trip, or one that is rather too long."""
        known = self.known_s(failure_domain)
        return DEFAULT_ROUND_TRIP_S if known is None else known

    def wait_s(self, failure_domain: str) -> float:
        """Return how long to wait for an answer of a VM or target there."""
        expected = WAIT_ROUND_TRIPS * self.estimate_s(failure_domain)
        return min(MAX_WAIT_S, expected + PROCESSING_S)

    def longest_s(self) -> float:
        """Return the longest usual round trip; 0 if nothing was measured."""
        return max((m.shortest_s for m in self._samples.values()), default=0.0)

    def by_domain(self) -> dict[str, float]:
        """Return the usual round trip to each domain that was measured."""
        return {domain: m.shortest_s for domain, m in self._samples.items()}
