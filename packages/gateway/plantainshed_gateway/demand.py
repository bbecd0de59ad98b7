"""Request rates as running averages, and a history of recent values."""

from collections import deque
from collections.abc import Mapping

import trio
from attrs import define, field

# Averaging time of demand. It spans several heartbeats, so VMs that compute with
# reports of different ages get nearly the same shares.
DEMAND_AVERAGING_S = 2.0
# Length of the history. It exceeds the age of the oldest report that is still used.
HISTORY_S = 8.0


@define
class Demand:
    """Requests per second, averaged over `DEMAND_AVERAGING_S`."""

    rate: float = 0.0
    updated_at: float = field(factory=trio.current_time)

    def add(self):
        """Count one request."""
        self.decay()
        self.rate += 1.0 / DEMAND_AVERAGING_S

    def decay(self):
        """Update the average to the current time."""
        now = trio.current_time()
        self.rate *= max(0.0, 1.0 - (now - self.updated_at) / DEMAND_AVERAGING_S)
        self.updated_at = now


@define
class PastDemand:
    """Demand by workspace at a moment, interpolated between two reports.

    Attributes
    ----------
    before, after : dict of str to float
        Requests per second in the two reports.
    weight : float
        Weight of `after`, from 0 to 1.
    """

    before: Mapping[str, float]
    after: Mapping[str, float]
    weight: float

    def of(self, workspace: str) -> float:
        """Return a workspace's demand in requests per second."""
        before = self.before.get(workspace, 0.0)
        after = self.after.get(workspace, 0.0)
        return before + (after - before) * self.weight


@define
class DemandHistory:
    """Recently reported demand of one VM or failure domain.

    Attributes
    ----------
    samples : deque of tuple
        Time and demand by workspace of each report, oldest first.
    """

    samples: deque[tuple[float, Mapping[str, float]]] = field(factory=deque)

    def add(self, moment: float, demand: Mapping[str, float]):
        """Record the demand at a moment."""
        while self.samples and self.samples[-1][0] >= moment:
            self.samples.pop()
        self.samples.append((moment, demand))
        while self.samples[0][0] < moment - HISTORY_S:
            self.samples.popleft()

    def covers(self, moment: float) -> bool:
        """Return whether the history contains a sample at or before a moment."""
        return bool(self.samples) and self.samples[0][0] <= moment

    def at(self, moment: float) -> PastDemand:
        """Return the demand at a moment.

        Outside the recorded time, that is the demand of the first or last sample.
        """
        after_at, after = moment, None
        for at, demand in reversed(self.samples):
            if at <= moment:
                if after is None:
                    return PastDemand(demand, demand, 0.0)
                return PastDemand(demand, after, (moment - at) / (after_at - at))
            after_at, after = at, demand
        first = after or {}
        return PastDemand(first, first, 0.0)
