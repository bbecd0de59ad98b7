"""How many requests a second there are, as a running average, and were lately."""

from collections import deque
from collections.abc import Mapping

import trio
from attrs import define, field

# Time over which demand is averaged. It spans a few heartbeats, so that VMs
# that compute with news of different age get nearly the same shares.
DEMAND_AVERAGING_S = 2.0
# How long what was told is kept: longer than the oldest news that still counts.
HISTORY_S = 8.0


@define
class Demand:
    """Requests a second, averaged over `DEMAND_AVERAGING_S`."""

    rate: float = 0.0
    counted_at: float = field(factory=trio.current_time)

    def add(self):
        """Count one request."""
        self.decay()
        self.rate += 1.0 / DEMAND_AVERAGING_S

    def decay(self):
        """Bring the average up to now."""
        now = trio.current_time()
        self.rate *= max(0.0, 1.0 - (now - self.counted_at) / DEMAND_AVERAGING_S)
        self.counted_at = now


@define
class PastDemand:
    """Demand by workspace at a moment between two tellings.

    Attributes
    ----------
    before, after : dict of str to float
        Requests a second.
    weight : float
        Of `after`, from 0 to 1.
    """

    before: Mapping[str, float]
    after: Mapping[str, float]
    weight: float

    def of(self, workspace: str) -> float:
        """Return the requests a second that were asked for."""
        before = self.before.get(workspace, 0.0)
        after = self.after.get(workspace, 0.0)
        return before + (after - before) * self.weight


@define
class DemandHistory:
    """What one VM, or failure domain, told lately of its demand.

    Attributes
    ----------
    samples : deque of tuple
        Moment and demand by workspace, oldest first.
    """

    samples: deque[tuple[float, Mapping[str, float]]] = field(factory=deque)

    def note(self, moment: float, demand: Mapping[str, float]):
        """Take in what was so at a moment."""
        while self.samples and self.samples[-1][0] >= moment:
            self.samples.pop()
        self.samples.append((moment, demand))
        while self.samples[0][0] < moment - HISTORY_S:
            self.samples.popleft()

    def covers(self, moment: float) -> bool:
        """Tell whether anything was told up to a moment."""
        return bool(self.samples) and self.samples[0][0] <= moment

    def at(self, moment: float) -> PastDemand:
        """Return the demand at a moment; outside what is kept, at its end."""
        after_at, after = moment, None
        for at, demand in reversed(self.samples):
            if at <= moment:
                if after is None:
                    return PastDemand(demand, demand, 0.0)
                return PastDemand(demand, after, (moment - at) / (after_at - at))
            after_at, after = at, demand
        first = after or {}
        return PastDemand(first, first, 0.0)
