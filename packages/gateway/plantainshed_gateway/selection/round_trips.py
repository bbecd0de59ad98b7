"""Round-trip times from this VM to failure domains.

They are measured on existing traffic: connections to targets, and token requests that
other VMs answer. Timeouts that depend on distance are derived from them.
"""

from collections import deque

from attrs import define, field

from ..logs import DecisionLog

# Number of recent samples. The shortest of them is used, which excludes samples that
# include the retransmission of a lost packet after a second, or a wait for a processor.
MAX_SAMPLES = 15
# Round trip that is assumed to a domain without samples.
DEFAULT_ROUND_TRIP_S = 0.2
# Time to wait for an answer: a number of round trips plus the processing time of a busy
# VM, up to a maximum.
WAIT_ROUND_TRIPS = 2.0
PROCESSING_S = 0.03
MAX_WAIT_S = 0.8
# A round trip is logged again once it has changed by this factor.
LOG_CHANGE_FACTOR = 1.5


@define
class _Samples:
    recent: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    shortest_s: float = 0.0
    logged_s: float = 0.0


class RoundTrips:
    """Measured round trips from this VM to failure domains.

    Parameters
    ----------
    region_of : dict of str to str
        Region of each failure domain.
    log : DecisionLog
    """

    def __init__(self, region_of: dict[str, str], log: DecisionLog):
        self.region_of = region_of
        self.log = log
        self._samples: dict[str, _Samples] = {}

    def record(self, failure_domain: str, seconds: float):
        """Record one measured round trip."""
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
        """Return whether a round trip to a domain has been measured."""
        return failure_domain in self._samples

    def known_s(self, failure_domain: str) -> float | None:
        """Return the usual round trip, or None if there are no samples.

        For a domain without samples, this is the shortest one to its region's other
        domains.
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
        """Return the usual round trip, or a high default without samples."""
        known = self.known_s(failure_domain)
        return DEFAULT_ROUND_TRIP_S if known is None else known

    def wait_s(self, failure_domain: str) -> float:
        """Return how long to wait for an answer from a VM or target in a domain."""
        expected = WAIT_ROUND_TRIPS * self.estimate_s(failure_domain)
        return min(MAX_WAIT_S, expected + PROCESSING_S)

    def longest_s(self) -> float:
        """Return the longest usual round trip, or 0 without samples."""
        return max((m.shortest_s for m in self._samples.values()), default=0.0)

    def by_domain(self) -> dict[str, float]:
        """Return the usual round trip to each measured domain."""
        return {domain: m.shortest_s for domain, m in self._samples.items()}
