"""Rate limiting of workspaces across all VMs.

This is designed for a workspace that sends several times its rate, unevenly spread over
the VMs, while other workspaces stay within their rates and must not be refused.

A quota applies to windows. In any window of `quota_window_s` seconds, a workspace may
send its rate times that length plus its burst. Each VM that holds a share (see
`holders`) runs a token bucket that refills at its share of that amount and whose
capacity is at most a fraction of the tolerance on top of it. Therefore no window admits
more than the quota plus the tolerance. The other VMs request each token from a holder;
see `loans`.

The capacity of the buckets is divided partly evenly and partly in proportion to the
shares. If the holders count few requests, it is divided entirely evenly. When a
bucket's capacity shrinks because its callers have moved away, its excess tokens drain
at the rate at which the other buckets refill.

Shares follow demand. Every VM announces the demand of its callers, and all VMs compute
the same division from it. Each VM uses the demand of all VMs, including its own, as of
the time when the oldest current report was sent. If some demand values were newer than
others, a change that happens on all VMs would appear to happen on only some of them,
and all VMs together would take too much.

A share decreases immediately. It increases only to the lowest value computed during the
last `SHARE_GROWTH_DELAY_S` plus the time that a summary from a far failure domain takes
to arrive. VMs do not all use the demand of the same moment, so some VMs compute a
larger share before others compute a smaller one. While reports are overdue, a share
does not change.

A VM that has become silent keeps its share, because it may be alive behind a network
partition and still use it. The shares in use therefore sum to more than one for no
longer than a heartbeat takes, and the requests admitted in excess during that time fit
into the reserved part of the tolerance.
"""

from collections import deque

import trio
from attrs import define, field

from plantainshed_coordination.digests import unit_hash

from .demand import DEMAND_AVERAGING_S, Demand, DemandHistory
from .heartbeats import QuotaUsage
from .holders import Holders
from .members import Members
from .model import Workspace
from .selection.round_trips import RoundTrips
from .settings import Bounds
from .usage_view import UsageTotals, UsageView, view_usage

# Fraction of a quota that is divided evenly regardless of demand. A VM whose callers
# start to send can use it at once.
EVEN_FRACTION = 0.15
# The even fraction if a holder counts fewer than `LOW_TRAFFIC_REQUESTS` requests of a
# quota in `DEMAND_AVERAGING_S`. Such counts are too small to predict where the next
# requests arrive. With a larger even fraction, most requests find a token locally or on
# a VM of the same region.
EVEN_FRACTION_LOW_TRAFFIC = 0.5
LOW_TRAFFIC_REQUESTS = 4.0
# Fraction of the tolerance that buckets may hold: the maximum number of tokens on all
# VMs together. Requests of small workspaces arrive in bursts: at 6 requests a second
# over 12 VMs, a bucket of one token refused 3.9 % of the requests within the quota.
USABLE_TOLERANCE = 0.7
# Maximum reserve of the tolerance, in seconds at the quota's rate. The reserve covers
# the times when shares sum to more than one, and the excess that this admits is
# proportional to the rate.
MAX_RESERVE_S = 0.5
# Fraction of the tolerance in the buckets of a VM that has just started. Its previous
# run may have used up the whole tolerance just before.
INITIAL_LEVEL_FRACTION = 1.0 - USABLE_TOLERANCE
# Time for which a larger share must have been due before a VM uses it. Domain summaries
# are sent once a second, contain heartbeats that are up to half a second old, and are
# relayed with the next heartbeat.
SHARE_GROWTH_DELAY_S = 2.0
# Interval at which a VM recomputes the demand of quotas of which it holds no share. In
# a domain of 22 VMs, that is most of them.
DEMAND_REFRESH_S = 1.0
# Number of withdrawals that a bucket remembers. They are used to compute whether a
# returned token would have overflowed the bucket.
MAX_WITHDRAWALS = 256
# Limits of the retry delay that refused callers are given.
MAX_RETRY_AFTER_S = 2.0
MIN_RETRY_AFTER_S = 0.3


@define
class _Withdrawal:
    """A withdrawal of tokens from a bucket.

    Attributes
    ----------
    level : float
        Tokens in the bucket just before the withdrawal. Tokens that are returned later
        are added, as if they had never been taken.
    """

    at: float
    level: float


@define
class Bucket:
    """Token bucket for this VM's share of one quota.

    Attributes
    ----------
    rate : float
        Requests per second of the whole quota, with its burst spread over one window.
    max_tokens : float
        Maximum number of tokens in the buckets of all VMs together.
    reserve : float
        Tokens of the tolerance beyond `max_tokens`.
    share : float
        Share of this VM, from 0 to 1. It is 0 if this VM is not a holder.
    level : float
        Tokens in this bucket.
    capacity_fraction : float
        Fraction of `max_tokens` that this bucket may hold.
    fair_share : float
        Share that matches the demand of this VM's own callers, even if another VM holds
        it.
    demand : float
        Requests per second from the callers of all VMs.
    due_shares : deque of tuple
        Recently computed shares and the time of each.
    withdrawals : deque of _Withdrawal
        The most recent withdrawals, oldest first.
    borrowed : float
        Tokens borrowed from other VMs since the shares were last computed.
    share_sum : float
        Sum of the shares of all VMs, including silent ones, as this VM knows them.
    is_provisional : bool
        Whether it was created before this VM knew all others; it has no share then.
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
    share_sum: float = 0.0
    is_provisional: bool = False
    refilled_at: float = field(factory=trio.current_time)

    def refill(self):
        """Refill the bucket up to the current time.

        A level above the capacity dates from a time when the capacity was larger. The
        excess drains at the rate at which the other shares refill, so that all buckets
        together never hold more than `max_tokens`. Borrowed tokens are excluded from
        this, because they belong to the requests that needed them.
        """
        now = trio.current_time()
        filled = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        if self.level <= self.capacity:
            self.level = min(self.capacity, self.level + filled * self.share)
            return
        least = min(self.level, self.capacity + self.borrowed)
        self.level = max(least, self.level - filled * (1.0 - self.share))

    def empty(self):
        """Discard the share and all tokens of a VM that is not a holder."""
        self.share = self.level = 0.0
        self.refilled_at = trio.current_time()

    def take(self, tokens: float):
        """Withdraw tokens that are in the bucket."""
        self.withdrawals.append(_Withdrawal(trio.current_time(), self.level))
        self.level -= tokens

    def return_token(self, taken_at: float):
        """Return a token unless the bucket has refilled in the meantime.

        The token is returned only as far as the bucket would not have exceeded its
        capacity at any time if the token had not been taken. Tokens that would have
        overflowed must not be used now.
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
        """Set the share to the new value, limiting how fast it grows.

        The share may exceed the lowest recently due share only by an amount with which
        all holders together admit no more than the reserve of the tolerance in
        `growth_s`.
        """
        now = trio.current_time()
        reserve = self.reserve / holder_count
        self.due_shares.append((now, share))
        while self.due_shares[0][0] < now - growth_s:
            self.due_shares.popleft()
        least = min(due for _, due in self.due_shares)
        least += reserve / max(0.01, self.rate * growth_s)
        self.share = min(share, max(self.share, least))

    def update_limits(self, rate: float, max_tokens: float, reserve: float):
        """Set the limits of the quota.

        Tokens of a higher limit do not drain, because that takes as long as the new
        limit's refill, which is longest where the requests arrive.
        """
        if max_tokens < self.max_tokens:
            self.refill()
            self.max_tokens = max_tokens
            self.level = min(self.level, self.capacity)
        self.rate, self.max_tokens, self.reserve = rate, max_tokens, reserve

    def update_capacity(self, even: float, even_level: float):
        """Set this bucket's fraction of `max_tokens`.

        The fraction is a weighted mean of an even division and the share: `even` is the
        result of the even division and `even_level` its weight.
        """
        self.capacity_fraction = even_level * even + (1.0 - even_level) * self.share

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in this bucket."""
        if self.share <= 0:
            return 0.0
        return max(1.0, self.max_tokens * self.capacity_fraction)


class Quotas:
    """Token buckets for this VM's shares of all workspaces' quotas."""

    def __init__(self, members: Members, bounds: Bounds, round_trips: RoundTrips):
        self.members = members
        self.bounds = bounds
        self.round_trips = round_trips
        self.holders = Holders(members)
        self.workspaces: dict[str, Workspace] = {}
        self._announced_demand = DemandHistory()
        self._demand_refreshed_at = float("-inf")
        self.demands: dict[str, Demand] = {}
        self.buckets: dict[str, Bucket] = {}

    def admit(self, workspace: Workspace) -> float | None:
        """Count and admit one request.

        Returns None if a token was available, else the seconds until one will be.
        """
        if workspace.rate_per_s <= 0:
            return None
        self.demands.setdefault(workspace.name, Demand()).add()
        return self.take_token(workspace)

    def take_token(self, workspace: Workspace) -> float | None:
        """Take a token without counting a request.

        Returns None if a token was available, else the seconds until one will be.
        """
        bucket = self._bucket(workspace)
        bucket.refill()
        if bucket.level >= 1.0:
            bucket.take(1.0)
            return None
        share = max(bucket.share, bucket.fair_share)
        missing_s = (1.0 - bucket.level) / max(bucket.rate * share, 0.01)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, missing_s))

    def add_borrowed(self, name: str, tokens: float):
        """Add borrowed tokens. The level may then exceed this VM's capacity."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.refill()
            bucket.level += tokens
            bucket.borrowed += tokens

    def has_token(self, name: str) -> bool:
        """Return whether a token is available for the next request."""
        bucket = self.buckets.get(name)
        if bucket is None:
            return False
        bucket.refill()
        return bucket.level >= 1.0

    def is_exhausted(self, name: str) -> bool:
        """Return whether the total demand exceeds the quota.

        The other VMs then need their tokens for their own callers.
        """
        bucket = self.buckets.get(name)
        return bucket is not None and bucket.demand > bucket.rate

    def prefetch_amount(self, name: str, seconds: float) -> float:
        """Return how many tokens to request so that the bucket does not run empty.

        The result is 0 if the bucket covers the demand of the given time. It never
        exceeds this VM's free capacity, so prefetching does not increase the number of
        tokens on all VMs together.
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
        """Withdraw tokens to lend to another VM.

        Returns the number of tokens. At least `reserved` tokens stay in the bucket.
        """
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
        """Return the token of a request that is known not to have run."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None:
            bucket.return_token(taken_at)

    def _bucket(self, workspace: Workspace) -> Bucket:
        rate, max_tokens, reserve = self._limits_of(workspace)
        bucket = self.buckets.get(workspace.name)
        is_listed = self.members.is_listed
        if bucket is None or (bucket.is_provisional and is_listed):
            share, level = 0.0, 0.0
            if is_listed and self.holders.is_holder(workspace.name):
                share = self._first_share()
                level = self._initial_level(
                    workspace.name, (max_tokens + reserve) * share
                )
            bucket = Bucket(rate, max_tokens, reserve, share, level, share)
            bucket.is_provisional = not is_listed
            # The first reports of other VMs contain no demand yet, so the whole quota
            # would seem to be due to this VM.
            bucket.due_shares.append((trio.current_time(), share))
            self.buckets[workspace.name] = bucket
        bucket.update_limits(rate, max_tokens, reserve)
        return bucket

    def _first_share(self) -> float:
        """Return the share of a VM that has just established that it knows all VMs."""
        return 1.0 / max(self.members.count, self.members.largest_fleet_count())

    def _initial_level(self, name: str, tolerance: float) -> float:
        """Return the number of tokens in a bucket when this VM starts.

        The previous run of this VM may have used all its tokens just before. Each VM
        starts with a different fraction of a token, so that whole tokens become
        available on different VMs evenly over time rather than on all at once.
        """
        return tolerance * INITIAL_LEVEL_FRACTION + unit_hash(self.holders.own_vm, name)

    def _limits_of(self, workspace: Workspace) -> tuple[float, float, float]:
        """Return a workspace's rate, maximum number of tokens, and reserve."""
        window_s = self.bounds.quota_window_s
        in_window = workspace.rate_per_s * window_s + workspace.burst
        tolerance = in_window * self.bounds.quota_over + self.bounds.quota_slack
        rate = in_window / window_s
        reserve = min(tolerance * (1.0 - USABLE_TOLERANCE), rate * MAX_RESERVE_S)
        return rate, tolerance - reserve, reserve

    def recompute_shares(self):
        """Recompute this VM's share of each quota."""
        self.holders.refresh()
        moment = self.members.oldest_heard_at()
        view = view_usage(self.members, moment)
        for name, workspace in self.workspaces.items():
            # The bucket starts to refill before the first request arrives, here or at a
            # VM that borrows from this one.
            if workspace.rate_per_s > 0 and self.holders.is_holder(name):
                self._bucket(workspace)
        own = self._announced_demand.at(moment)
        is_own_known = self._announced_demand.covers(moment)
        holder_count = self.holders.fleet_holder_count()
        heard_fraction = self._heard_fraction()
        is_some_silent = self.members.heard_count() > len(self.members.alive())
        growth_s = SHARE_GROWTH_DELAY_S + self.round_trips.longest_s() / 2
        # While reports are overdue, another VM or this one may be partitioned. The
        # other VMs then do not know this VM's current share and do not reduce theirs to
        # match it.
        is_overdue = moment < trio.current_time() - growth_s
        refreshes_demand = self._is_demand_refresh_due()
        for name, bucket in self.buckets.items():
            bucket.borrowed = 0.0
            is_holder = self.holders.is_holder(name) and not bucket.is_provisional
            if is_holder:
                bucket.refill()
            elif bucket.share or bucket.level:
                bucket.empty()
            if not (is_holder or refreshes_demand):
                continue
            own_demand = own.of(name)
            if not (is_holder or own_demand):
                # No caller of this VM uses the quota, so nothing depends on it here.
                bucket.demand = bucket.fair_share = 0.0
                continue
            totals = view.of(name)
            total_demand = own_demand + totals.past_demand
            bucket.demand = own_demand + totals.demand
            bucket.share_sum = bucket.share + totals.share + totals.silent_share
            bucket.fair_share = own_demand / total_demand if total_demand > 0 else 0.0
            if not is_holder:
                continue
            local_demand = own_demand + self._demand_of_non_holders(name, view)
            if not is_own_known:
                # A VM that has just started has counted its demand at a different
                # moment.
                local_demand = total_demand = 0.0
            counted = bucket.rate * DEMAND_AVERAGING_S / holder_count
            low_traffic = LOW_TRAFFIC_REQUESTS / max(counted, LOW_TRAFFIC_REQUESTS)
            even_fraction = max(EVEN_FRACTION, EVEN_FRACTION_LOW_TRAFFIC * low_traffic)
            divisible = heard_fraction
            if is_some_silent:
                divisible *= _divisible_share(bucket.share, totals)
            target_share = (
                _target_share(local_demand, total_demand, holder_count, even_fraction)
                * divisible
            )
            if is_overdue:
                target_share = bucket.share
            bucket.update_share(target_share, holder_count, growth_s)
            bucket.update_capacity(
                divisible / holder_count, max(EVEN_FRACTION, low_traffic)
            )

    def _is_demand_refresh_due(self) -> bool:
        now = trio.current_time()
        if now - self._demand_refreshed_at < DEMAND_REFRESH_S:
            return False
        self._demand_refreshed_at = now
        return True

    def _demand_of_non_holders(self, name: str, view: UsageView) -> float:
        """Return the demand of VMs that are not holders and ask this VM first."""
        holders, own_vm = self.holders.of(name), self.holders.own_vm
        total = 0.0
        for vm, past in view.own_domain_past_demand.items():
            if vm in holders:
                continue
            demand = past.of(name)
            if demand > 0 and self.holders.holder_for(vm, name) == own_vm:
                total += demand
        return total

    def _heard_fraction(self) -> float:
        """Return the fraction of a quota that VMs with known heartbeats may divide.

        When all VMs start at once, each receives the first heartbeats of the others one
        after the other. An even share is set aside for each listed VM whose first
        heartbeat has not arrived yet. While VMs know different fleets, the largest of
        these fleets counts.
        """
        heard = self.members.heard_count()
        expected = heard + self.members.not_heard_yet()
        return heard / max(expected, self.members.largest_fleet_count())

    def usage(self) -> dict[str, QuotaUsage]:
        """Return the quota usage that this VM announces."""
        for demand in self.demands.values():
            demand.decay()
        rates = {name: round(demand.rate, 2) for name, demand in self.demands.items()}
        self._announced_demand.add(trio.current_time(), rates)
        # Workspaces without demand or share on this VM are omitted. With 80 VMs and 80
        # workspaces, that is more than half of them.
        return {
            name: QuotaUsage(
                rates.get(name, 0.0), round(bucket.share, 4), round(bucket.level, 1)
            )
            for name, bucket in self.buckets.items()
            if bucket.share > 0 or rates.get(name)
        }


def _target_share(
    demand: float, total_demand: float, holder_count: int, even_fraction: float
) -> float:
    """Return a holder's share of the part of a quota that live VMs may use.

    If the total demand is less than one request per holder in `DEMAND_AVERAGING_S`, the
    missing part counts as evenly spread. The first few requests after a start do not
    predict where the next ones arrive.
    """
    even = 1.0 / holder_count
    counted = max(total_demand, holder_count / DEMAND_AVERAGING_S)
    by_demand = (demand + (counted - total_demand) * even) / counted
    return even_fraction * even + (1.0 - even_fraction) * by_demand


def _divisible_share(own_share: float, totals: UsageTotals) -> float:
    """Return the part of a quota that live VMs divide while others are silent.

    Silent VMs keep their shares. The live VMs divide only the sum of their own current
    shares. That sum and the last announced shares of the silent VMs may add up to less
    than one. If each VM of a fully partitioned fleet took the missing part, the fleet
    would use it once per VM.
    """
    return max(0.0, min(own_share + totals.share, 1.0 - totals.silent_share))
