"""Budget for retries, by pool.

Without a budget, a pool whose targets fail would get every request twice when it has
the least capacity. All VMs together may retry a fixed ratio of the pool's requests plus
a fixed number. Each VM applies the ratio to the requests that it counts itself, and
gets an equal share of the fixed number.
"""

from collections import defaultdict, deque

import trio

from .settings import Bounds

# Fraction of the allowed retries that is used. The margin covers moments when VMs
# disagree about the number of VMs, and the sliding of the window.
SAFETY_FACTOR = 0.7


class RetryBudgets:
    """Counts requests and retries by pool.

    Parameters
    ----------
    bounds : Bounds
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def note_request(self, pool: str):
        """Count a caller's request for a pool."""
        self._in_window(self._requests[pool]).append(trio.current_time())

    def try_spend(self, pool: str, vm_count: int) -> bool:
        """Take one retry from the budget; return whether one was left."""
        requests = len(self._in_window(self._requests[pool]))
        retries = self._in_window(self._retries[pool])
        allowed = self.bounds.retry_ratio * requests
        allowed += self.bounds.retry_slack / max(1, vm_count)
        if len(retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        retries.append(trio.current_time())
        return True

    def _in_window(self, times: deque[float]) -> deque[float]:
        oldest = trio.current_time() - self.bounds.retry_window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
