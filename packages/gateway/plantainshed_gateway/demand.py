"""How many requests a second there are, as a running average."""

import trio
from attrs import define, field

# Time over which demand is averaged. It spans a few heartbeats, so that VMs
# that compute with news of different age get nearly the same shares.
DEMAND_S = 2.0


@define
class Demand:
    """Requests a second, averaged over `DEMAND_S`."""

    rate: float = 0.0
    counted_at: float = field(factory=trio.current_time)

    def add(self):
        """Count one request."""
        self.decay()
        self.rate += 1.0 / DEMAND_S

    def decay(self):
        """Bring the average up to now."""
        now = trio.current_time()
        self.rate *= max(0.0, 1.0 - (now - self.counted_at) / DEMAND_S)
        self.counted_at = now
