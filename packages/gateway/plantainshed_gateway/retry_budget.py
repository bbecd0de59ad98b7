"""How many further attempts this VM may make for a pool.

Load that it answers: a pool whose targets fail gets every request twice, just
when it can take least. All VMs together may send a share of the pool's
requests again, and a fixed number more. The share divides by itself, as each
VM counts its own requests; of the fixed number each takes an even part.
"""

from collections import defaultdict, deque

import trio

from .settings import Bounds

# Used part of what is allowed: VMs do not agree at each moment how many they
# are, and the window slides.
USED_PART = 0.7


class RetryBudgets:
    """Counts requests and further attempts, by pool.

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
        """Take one further attempt if one is left."""
        requests = len(self._in_window(self._requests[pool]))
        retries = self._in_window(self._retries[pool])
        allowed = self.bounds.retry_ratio * requests
        allowed += self.bounds.retry_slack / max(1, vm_count)
        if len(retries) + 1 > USED_PART * allowed:
            return False
        retries.append(trio.current_time())
        return True

    def _in_window(self, times: deque[float]) -> deque[float]:
        oldest = trio.current_time() - self.bounds.retry_window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
