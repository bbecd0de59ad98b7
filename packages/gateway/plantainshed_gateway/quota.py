"""A workspace's rate and burst over all VMs together.

Load that it answers: one workspace sends several times its rate, unevenly over
VMs, while others stay within theirs and must not be refused.

Each VM runs a token bucket with a share of the rate and burst. Shares follow
demand: every VM announces what its callers ask for, and all compute the same
division of it. The part of a VM that is not heard stays with it, because it
may live behind a partition and still use it; so the shares that are in use
never sum to more than one for longer than a heartbeat takes. What passes over
in that time lies within the tolerance of the quota.
"""

import trio
from attrs import define, field

from .members import Heartbeat, Members, Use
from .model import Workspace
from .settings import Bounds

# Time over which demand is averaged. It spans a few heartbeats, so that VMs
# that compute with news of different age get nearly the same shares.
DEMAND_S = 2.0
# Part of a quota that is divided evenly, whatever the demand is: a VM whose
# callers begin to send gets this at once.
EVEN_PART = 0.15
# Used part of the fixed number by which a quota may be exceeded. It lets a
# small workspace's requests come in clumps: with 6 requests a second over 12
# VMs, a bucket of its burst alone holds one token, and a calm day refused 3.9 %
# of all requests that were within their quota.
USED_SLACK = 0.6
# Of its burst, what a VM that has just started has at hand. The run before it
# may have used the whole a moment ago.
FIRST_LEVEL = 0.2
# Longest time that a refused caller is told to stay away.
LONGEST_RETRY_AFTER_S = 2.0
LEAST_RETRY_AFTER_S = 0.1


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


@define
class Bucket:
    """This VM's part of one quota."""

    rate: float
    burst: float
    share: float
    level: float
    slack: float = 0.0
    filled_at: float = field(factory=trio.current_time)

    def fill(self):
        """Bring the level up to now."""
        now = trio.current_time()
        grown = self.level + (now - self.filled_at) * self.rate * self.share
        self.level = min(grown, self.capacity)
        self.filled_at = now

    @property
    def capacity(self) -> float:
        """Most tokens at hand: its part of the burst and of the slack."""
        return max(1.0, self.burst * self.share + self.slack)


class Quotas:
    """This VM's parts of all workspaces' quotas."""

    def __init__(self, members: Members, bounds: Bounds):
        self.members = members
        self.bounds = bounds
        self.demands: dict[str, Demand] = {}
        self.buckets: dict[str, Bucket] = {}

    def admit(self, workspace: Workspace) -> float | None:
        """Take one request; return None, or the seconds until one fits."""
        if workspace.rate_per_s <= 0:
            return None
        self.demands.setdefault(workspace.name, Demand()).add()
        bucket = self._bucket(workspace)
        bucket.fill()
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        missing_s = (1.0 - bucket.level) / max(bucket.rate * bucket.share, 0.01)
        return min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, missing_s))

    def give_back(self, workspace: Workspace):
        """Return the token of a request that certainly did not run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None:
            bucket.level = min(bucket.level + 1.0, bucket.capacity)

    def _bucket(self, workspace: Workspace) -> Bucket:
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            share = 1.0 / self.members.count
            level = max(1.0, workspace.burst * share * FIRST_LEVEL)
            bucket = Bucket(workspace.rate_per_s, workspace.burst, share, level)
            self.buckets[workspace.name] = bucket
        bucket.rate, bucket.burst = workspace.rate_per_s, workspace.burst
        return bucket

    def divide(self):
        """Compute this VM's share of each quota anew."""
        alive = self.members.alive()[1:]
        silent = self.members.silent()
        for name, bucket in self.buckets.items():
            bucket.slack = USED_SLACK * self.bounds.quota_slack / self.members.count
            bucket.fill()
            bucket.share = self._share(name, alive, silent)

    def _share(
        self, name: str, alive: list[Heartbeat], silent: list[Heartbeat]
    ) -> float:
        demand = self.demands[name]
        demand.decay()
        kept = sum(beat.use[name].share for beat in silent if name in beat.use)
        demands = [beat.use[name].demand for beat in alive if name in beat.use]
        total = demand.rate + sum(demands)
        even = 1.0 / (1 + len(alive))
        by_demand = demand.rate / total if total > 0 else even
        part = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand
        return max(0.0, 1.0 - kept) * part

    def use(self) -> dict[str, Use]:
        """Return what this VM tells others."""
        return {
            name: Use(round(self.demands[name].rate, 2), round(bucket.share, 4))
            for name, bucket in self.buckets.items()
            if self.demands[name].rate > 0.01 or bucket.share > 0.0
        }
