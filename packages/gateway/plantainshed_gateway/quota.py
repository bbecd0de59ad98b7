"""A workspace's rate and burst over all VMs together.

Load that it answers: one workspace sends several times its rate, unevenly over
VMs, while others stay within theirs and must not be refused.

A quota is counted in windows: in one of `quota_window_s` seconds a workspace
may send its rate for that long plus its burst, and so in each next one. Each VM
of them that holds a part (`holders`) runs a token bucket that is filled with a
share of that, and has at most a part of the tolerance above it; so no window
sees more than both together. The other VMs ask a holder for each token.

Tokens at hand are divided partly evenly, wholly where few requests are counted, and
for the rest by share. What a bucket has more than its part, because its callers
have moved away, goes while others fill theirs.

Shares follow demand: every VM announces what its callers ask for, and all
compute the same division of it, each with the demand of all, its own too, as it
was when the oldest of the others' news was sent. Were some of it newer, a demand
that grows or falls at all VMs would seem to do so at some alone, and all together
would take more.

A share falls at once and grows only to what it was found to be for
`SHARE_GROWTH_DELAY_S` and
the way that news of far domains takes: VMs do not compute with the demand of one
moment, so that some find a larger share due before others find a smaller one. While
news is overdue a share stays as it is.

The part of a VM that is not heard stays with it, because it may live behind a
partition and still use it; so the shares that are in use sum to more than one
only for as long as a heartbeat takes, and what passes over then lies within the
unused part of the tolerance.
"""

from collections import deque

import trio
from attrs import define, field

from plantainshed_coordination.digests import unit_hash

from .demand import DEMAND_AVERAGING_S, Demand, DemandHistory
from .heartbeats import QuotaUsage
from .holders import Holders
from .members import Members, UsageTotals, UsageView
from .model import Workspace
from .round_trips import RoundTrips
from .settings import Bounds

# Part of a quota that is divided evenly, whatever the demand is: a VM whose
# callers begin to send gets this at once.
EVEN_FRACTION = 0.15
# The same where a holder counts fewer requests of a quota in
# `DEMAND_AVERAGING_S` than this,
# too few to tell where the next ones come: they then mostly find a token, or one at
# a near VM.
EVEN_FRACTION_LOW_TRAFFIC = 0.5
LOW_TRAFFIC_REQUESTS = 4.0
# Used part of the tolerance, as the most tokens at hand on all VMs together.
# Small workspaces' requests come in clumps: with 6 requests a second over 12
# VMs, a bucket of one token refused 3.9 % of requests within their quota.
USABLE_TOLERANCE = 0.7
# Most that is left unused, as time at the rate: for shares that sum to more than
# one, and what these let pass goes with the rate.
MAX_RESERVE_S = 0.5
# Part of the tolerance that VMs which have just started have at hand. Their runs
# before may have used the whole a moment ago.
INITIAL_LEVEL_FRACTION = 1.0 - USABLE_TOLERANCE
# VMs that this one reckons with before it knows how many there are.
ASSUMED_FLEET_SIZE = 16
# Time for which a larger share must have been due: news of another domain is said
# once a second, of heartbeats half a second old, and passed on with a heartbeat.
SHARE_GROWTH_DELAY_S = 2.0
# Takes of a bucket that are kept, to tell what a returned token would have filled.
MAX_WITHDRAWALS = 256
# Longest time that a refused caller is told to stay away.
MAX_RETRY_AFTER_S = 2.0
MIN_RETRY_AFTER_S = 0.3


@define
class _Withdrawal:
    """A moment at which tokens were taken.

    Attributes
    ----------
    level : float
        Tokens that were at hand just before, had those that were returned since
        never been taken.
    """

    at: float
    level: float


@define
class Bucket:
    """This VM's part of one quota.

    Attributes
    ----------
    rate : float
        Requests a second of the whole quota, its burst spread over a window.
    max_tokens : float
        Most tokens at hand on all VMs together.
    reserve : float
        Tokens of the tolerance beyond these.
    share : float
        Of this VM, from 0 to 1; 0 if it holds no part.
    level : float
        Tokens at hand here.
    capacity_fraction : float
        Of the most tokens, that this VM may have at hand.
    fair_share : float
        The part that its own callers ask for, whoever holds it.
    demand : float
        Requests a second that all callers ask for.
    due_shares : deque of tuple
        When which shares were found to be due lately.
    withdrawals : deque of _Withdrawal
        The newest, in order.
    borrowed : float
        Tokens that other VMs lent since the shares were computed last.
    """

    rate: float
    max_tokens: float
    reserve: float
    share: float
    level: float
    capacity_fraction: float
    fair_share: float = 0.0
    demand: float = 0.0
    due_shares: deque[tuple[float, float]] = field(factory=deque)
    withdrawals: deque[_Withdrawal] = field(
        factory=lambda: deque(maxlen=MAX_WITHDRAWALS)
    )
    borrowed: float = 0.0
    refilled_at: float = field(factory=trio.current_time)

    def refill(self):
        """Bring the level up to now.

        What is above the capacity was filled when the part was larger. It goes as
        fast as others' shares fill, so that all buckets together never hold more
        than the most; loans are left to the requests that asked for them.
        """
        now = trio.current_time()
        filled = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        if self.level <= self.capacity:
            self.level = min(self.capacity, self.level + filled * self.share)
            return
        least = min(self.level, self.capacity + self.borrowed)
        self.level = max(least, self.level - filled * (1.0 - self.share))

    def take(self, tokens: float):
        """Take tokens that are at hand."""
        self.withdrawals.append(_Withdrawal(trio.current_time(), self.level))
        self.level -= tokens

    def return_token(self, taken_at: float):
        """Return a token, unless the bucket has been filled in its place.

        Had it not been taken, the bucket would at no time have held more than its
        capacity; what it would have held then may not be used now.
        """
        self.refill()
        later = [
            withdrawal for withdrawal in self.withdrawals if withdrawal.at > taken_at
        ]
        if len(later) == MAX_WITHDRAWALS:
            return
        highest = max([self.level, *(withdrawal.level for withdrawal in later)])
        returned = min(1.0, max(0.0, self.capacity - highest))
        for withdrawal in later:
            withdrawal.level += returned
        self.level += returned

    def update_share(self, share: float, holder_count: int, growth_s: float):
        """Take a share that is due now, or little more than was due lately.

        What all holders may take beyond the least that was due is, in `growth_s`,
        the unused part of the tolerance.
        """
        now = trio.current_time()
        reserve = self.reserve / holder_count
        self.due_shares.append((now, share))
        while self.due_shares[0][0] < now - growth_s:
            self.due_shares.popleft()
        least = min(due for _, due in self.due_shares)
        least += reserve / max(0.01, self.rate * growth_s)
        self.share = min(share, max(self.share, least))

    def update_capacity(self, even: float, even_level: float):
        """Take a part of the most tokens: so much of it evenly, the rest by share."""
        self.capacity_fraction = even_level * even + (1.0 - even_level) * self.share

    @property
    def capacity(self) -> float:
        """Most tokens at hand here."""
        if self.share <= 0:
            return 0.0
        return max(1.0, self.max_tokens * self.capacity_fraction)


class Quotas:
    """This VM's parts of all workspaces' quotas."""

    def __init__(self, members: Members, bounds: Bounds, round_trips: RoundTrips):
        self.members = members
        self.bounds = bounds
        self.round_trips = round_trips
        self.holders = Holders(members)
        self.workspaces: dict[str, Workspace] = {}
        self._announced = DemandHistory()
        self.demands: dict[str, Demand] = {}
        self.buckets: dict[str, Bucket] = {}

    def admit(self, workspace: Workspace) -> float | None:
        """Take one request; return None, or the seconds until one fits."""
        if workspace.rate_per_s <= 0:
            return None
        self.demands.setdefault(workspace.name, Demand()).add()
        return self.take_token(workspace)

    def take_token(self, workspace: Workspace) -> float | None:
        """Take a token; return None, or the seconds until there is one."""
        bucket = self._bucket(workspace)
        bucket.refill()
        if bucket.level >= 1.0:
            bucket.take(1.0)
            return None
        share = max(bucket.share, bucket.fair_share)
        missing_s = (1.0 - bucket.level) / max(bucket.rate * share, 0.01)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, missing_s))

    def add(self, name: str, tokens: float):
        """Add borrowed tokens; they may exceed what this VM holds itself."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.refill()
            bucket.level += tokens
            bucket.borrowed += tokens

    def has_token(self, name: str) -> bool:
        """Tell whether the next request finds a token."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return False
        bucket.refill()
        return bucket.level >= 1.0

    def is_exhausted(self, name: str) -> bool:
        """Tell whether callers ask for more than the whole quota.

        Tokens of other VMs are then used by their own callers.
        """
        bucket = self.buckets.get(name)
        return bucket is not None and bucket.demand > bucket.rate

    def prefetch_amount(self, name: str, seconds: float) -> float:
        """Return how many tokens to ask for, so that some are left after a time.

        Never more than this VM may have at hand by its share: all VMs together
        then have no more at hand than without.
        """
        bucket, demand = self.buckets.get(name), self.demands.get(name)
        if bucket is None or demand is None:
            return 0.0
        bucket.refill()
        demand.decay()
        if bucket.level >= 1.0 + demand.rate * seconds:
            return 0.0
        return float(int(bucket.capacity - bucket.level))

    def take_for_loan(self, name: str, reserved: float, max_tokens: float) -> float:
        """Take tokens that this VM can spare; return how many."""
        workspace = self.workspaces.get(name)
        if workspace is None:
            return 0.0
        bucket = self._bucket(workspace)
        bucket.refill()
        tokens = float(int(min(max_tokens, max(0.0, bucket.level - reserved))))
        if tokens:
            bucket.take(tokens)
        return tokens

    def return_token(self, workspace: Workspace, taken_at: float):
        """Return the token of a request that certainly did not run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None:
            bucket.return_token(taken_at)

    def _bucket(self, workspace: Workspace) -> Bucket:
        rate, max_tokens, reserve = self._limits_of(workspace)
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            share, level = 0.0, 0.0
            if self.holders.is_holder(workspace.name):
                share = 1.0 / self._vm_count
                level = self._initial_level(
                    workspace.name, (max_tokens + reserve) * share
                )
            bucket = Bucket(rate, max_tokens, reserve, share, level, share)
            # Others' first news tells no demand yet, and seems to leave all to it.
            bucket.due_shares.append((trio.current_time(), share))
            self.buckets[workspace.name] = bucket
        bucket.rate, bucket.max_tokens, bucket.reserve = rate, max_tokens, reserve
        return bucket

    def _initial_level(self, name: str, tolerance: float) -> float:
        """Return the tokens of a VM that has just started.

        The run before it may have used all that it had a moment ago. Each VM begins
        with another fraction of a token, so that all together fill whole tokens
        evenly and not each its first at the same time.
        """
        return tolerance * INITIAL_LEVEL_FRACTION + unit_hash(self.holders.own, name)

    @property
    def _vm_count(self) -> int:
        count = self.members.count
        return count if self.members.is_listed else max(count, ASSUMED_FLEET_SIZE)

    def _limits_of(self, workspace: Workspace) -> tuple[float, float, float]:
        """Return a workspace's rate, the most tokens at hand and those unused."""
        window_s = self.bounds.quota_window_s
        in_window = workspace.rate_per_s * window_s + workspace.burst
        tolerance = in_window * self.bounds.quota_over + self.bounds.quota_slack
        rate = in_window / window_s
        reserve = min(tolerance * (1.0 - USABLE_TOLERANCE), rate * MAX_RESERVE_S)
        return rate, tolerance - reserve, reserve

    def recompute_shares(self):
        """Compute this VM's share of each quota anew."""
        self.holders.refresh()
        moment = self.members.oldest_heard_at()
        view = self.members.usage_view(moment)
        for name, workspace in self.workspaces.items():
            # It fills before the first request comes, here or at a VM that asks.
            if workspace.rate_per_s > 0 and self.holders.is_holder(name):
                self._bucket(workspace)
        own = self._announced.at(moment)
        is_own_known = self._announced.covers(moment)
        holder_count = self.holders.fleet_holder_count()
        heard_fraction = self._heard_fraction()
        is_some_silent = self.members.heard_count() > len(self.members.alive())
        growth_s = SHARE_GROWTH_DELAY_S + self.round_trips.longest_s() / 2
        # While news is overdue somebody may be cut off, or this VM is: the others
        # would not know what it takes now, nor leave it to it.
        is_overdue = moment < trio.current_time() - growth_s
        for name, bucket in self.buckets.items():
            bucket.refill()
            bucket.borrowed = 0.0
            totals = view.of(name)
            own_demand = own.of(name)
            total_demand = own_demand + totals.past_demand
            bucket.demand = own_demand + totals.demand
            bucket.fair_share = own_demand / total_demand if total_demand > 0 else 0.0
            if not self.holders.is_holder(name):
                bucket.share = bucket.level = 0.0
                continue
            local_demand = own_demand + self._demand_of_non_holders(name, view)
            if not is_own_known:
                # What a VM that has just started counted is of another moment.
                local_demand = total_demand = 0.0
            counted = bucket.rate * DEMAND_AVERAGING_S / holder_count
            low_traffic = LOW_TRAFFIC_REQUESTS / max(counted, LOW_TRAFFIC_REQUESTS)
            even_part = max(EVEN_FRACTION, EVEN_FRACTION_LOW_TRAFFIC * low_traffic)
            divisible = heard_fraction
            if is_some_silent:
                divisible *= _divisible_share(bucket.share, totals)
            target_share = (
                _target_share(local_demand, total_demand, holder_count, even_part)
                * divisible
            )
            if is_overdue:
                target_share = bucket.share
            bucket.update_share(target_share, holder_count, growth_s)
            bucket.update_capacity(
                divisible / holder_count, max(EVEN_FRACTION, low_traffic)
            )

    def _demand_of_non_holders(self, name: str, view: UsageView) -> float:
        """Return what VMs ask for that hold no part and come to this one."""
        holders = self.holders.of(name)
        return sum(
            past.of(name)
            for vm, past in view.near_past_demand.items()
            if vm not in holders
            and self.holders.holder_for(vm, name) == self.holders.own
        )

    def _heard_fraction(self) -> float:
        """Return what VMs that were heard may divide among them.

        When all VMs start at once, each hears the others one by one. An even
        part is left for those that were listed and not heard yet.
        """
        heard = self.members.heard_count()
        if not self.members.is_listed:
            return min(1.0, heard / ASSUMED_FLEET_SIZE)
        return heard / (heard + self.members.not_heard_yet())

    def usage(self) -> dict[str, QuotaUsage]:
        """Return what this VM tells others now."""
        for demand in self.demands.values():
            demand.decay()
        rates = {name: round(demand.rate, 2) for name, demand in self.demands.items()}
        self._announced.note(trio.current_time(), rates)
        # What is neither asked for nor held here need not be told: with 80 VMs
        # and 80 workspaces that is more than half.
        return {
            name: QuotaUsage(
                rates.get(name, 0.0), round(bucket.share, 4), round(bucket.level, 1)
            )
            for name, bucket in self.buckets.items()
            if bucket.share > 0 or rates.get(name)
        }


def _target_share(
    demand: float, total_demand: float, holder_count: int, even_part: float
) -> float:
    """Return a holder's part of what all that are alive may use.

    Demand of less than a request at each holder counts as evenly spread for the
    rest: the first few after a start don't tell where the next ones come.
    """
    even = 1.0 / holder_count
    counted = max(total_demand, holder_count / DEMAND_AVERAGING_S)
    by_demand = (demand + (counted - total_demand) * even) / counted
    return even_part * even + (1.0 - even_part) * by_demand


def _divisible_share(own_share: float, totals: UsageTotals) -> float:
    """Return what VMs that are alive divide while others are silent.

    What silent VMs hold stays theirs. The others divide what they hold
    together: that and what silent ones said last may sum to less than one, and
    if each VM of a fleet that hears nobody took the missing part, the fleet
    would use it as many times as it has VMs.
    """
    return max(0.0, min(own_share + totals.share, 1.0 - totals.silent_share))
