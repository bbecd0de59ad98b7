"""Token bucket."""

import trio
from attrs import define, field


@define
class TokenBucket:
    """Tokens that are added at a rate and taken one by one.

    Parameters
    ----------
    rate : float
        Tokens per second.
    capacity : float
    tokens : float
        Tokens at the start.
    """

    rate: float
    capacity: float = 1.0
    tokens: float = 0.0
    refilled_at: float = field(factory=trio.current_time)

    def set_rate(self, rate: float, capacity: float):
        """Change rate and capacity from now on."""
        self._refill()
        self.rate, self.capacity = rate, capacity

    def try_take(self) -> bool:
        """Take one token; return whether there was one."""
        self._refill()
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self):
        now = trio.current_time()
        filled = self.tokens + (now - self.refilled_at) * self.rate
        self.tokens = min(self.capacity, filled)
        self.refilled_at = now
