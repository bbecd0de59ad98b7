"""Records the requests of a simulation and checks them against the quotas."""

from bisect import bisect_left, bisect_right
from collections import Counter
from enum import StrEnum

from attrs import define, field, frozen

from plantainshed_gateway.model import Workspace
from plantainshed_gateway.settings import Bounds

# Time within which a changed quota is in force on all VMs.
CHANGE_IN_FORCE_S = 2.0
# Longest wait of a request that is decided without another region.
MAX_LOCAL_WAIT_S = 0.005


class Period(StrEnum):
    """The state of the fleet at the time when a request is sent."""

    CALM = "calm"
    FAULT = "fault"
    HEALING = "healing"


@frozen
class RequestOutcome:
    """One request and its outcome.

    Parameters
    ----------
    sent_at, done_at : float
        When the caller sent the request, and when it was admitted or refused.
    waited_s : float
        How long the VM took to decide.
    is_admitted : bool
    has_run : bool
        Whether a target accepted it.
    """

    sent_at: float
    done_at: float
    waited_s: float
    is_admitted: bool
    has_run: bool = True


@define
class QuotaInterval:
    """A quota and the time during which it was in force on any VM."""

    workspace: Workspace
    since: float
    until: float = float("inf")


@frozen
class Window:
    """A time window of a workspace and the number of requests admitted in it.

    Parameters
    ----------
    workspace : str
    ends_at : float
        Seconds from the start of the simulation.
    count : int
        Requests that were admitted and that a target accepted.
    bound : float
        Largest count that the quota and its tolerance allow.
    tolerance_used : float
        Share of the tolerance that is used: above 1 if the count exceeds the bound,
        negative if it is below the quota.
    """

    workspace: str
    ends_at: float
    count: int
    bound: float
    tolerance_used: float

    @property
    def exceeds_bound(self) -> bool:
        """Whether more requests were admitted than the bound allows."""
        return self.count > self.bound + 1e-6


@define
class RequestHistory:
    """All requests of a simulation, and the quotas that were in force."""

    requests: dict[str, list[RequestOutcome]] = field(factory=dict)
    quotas: dict[str, list[QuotaInterval]] = field(factory=dict)

    def record_quota(self, workspace: Workspace, now: float):
        """Record that a workspace's quota is in force from now on."""
        quotas = self.quotas.setdefault(workspace.name, [])
        self.requests.setdefault(workspace.name, [])
        if quotas:
            quotas[-1].until = now
        quotas.append(QuotaInterval(workspace, now))

    def record_late_change(self, workspace: Workspace, now: float):
        """Record that a VM has applied a quota only now.

        A VM that is cut off from the store keeps using the previous quota, which
        therefore counts as in force until now.
        """
        for before, after in zip(
            self.quotas[workspace.name], self.quotas[workspace.name][1:], strict=False
        ):
            if after.workspace == workspace and now > after.since + CHANGE_IN_FORCE_S:
                before.until = max(before.until, now - CHANGE_IN_FORCE_S)


def fullest_window(history: RequestHistory, bounds: Bounds, name: str) -> Window | None:
    """Return the window of a workspace that used most of its tolerance."""
    admitted = sorted(
        one.done_at for one in history.requests[name] if one.is_admitted and one.has_run
    )
    fullest = None
    first = 0
    for index, at in enumerate(admitted):
        while admitted[first] <= at - bounds.quota_window_s:
            first += 1
        window = _make_window(history, bounds, name, at, index - first + 1)
        if fullest is None or window.tolerance_used > fullest.tolerance_used:
            fullest = window
    return fullest


def _make_window(
    history: RequestHistory, bounds: Bounds, name: str, ends_at: float, count: int
) -> Window:
    window_s = bounds.quota_window_s
    since = ends_at - window_s - CHANGE_IN_FORCE_S
    in_window = max(
        quota.workspace.rate_per_s * window_s + quota.workspace.burst
        for quota in history.quotas[name]
        if quota.since <= ends_at and quota.until >= since
    )
    tolerance = in_window * bounds.quota_over + bounds.quota_slack
    tolerance_used = (count - in_window) / tolerance
    return Window(name, ends_at, count, in_window + tolerance, tolerance_used)


def count_refusals_within_rate(
    history: RequestHistory, bounds: Bounds, name: str, period_at
) -> tuple[Counter, Counter]:
    """Count the requests sent within a workspace's rate, and the refused ones of them.

    A request within the rate counts as refused if it is refused or if it waits for
    an answer from another region.

    Parameters
    ----------
    period_at : callable
        Returns the `Period` at a time.

    Returns
    -------
    within_rate, refused : Counter
        By `Period`.
    """
    within_rate, refused = Counter(), Counter()
    sent = sorted(one.sent_at for one in history.requests[name])
    for one in history.requests[name]:
        if not _is_within_rate(history, bounds, name, sent, one.sent_at):
            continue
        period = period_at(one.sent_at)
        within_rate[period] += 1
        if not one.is_admitted or one.waited_s > MAX_LOCAL_WAIT_S:
            refused[period] += 1
    return within_rate, refused


def _is_within_rate(
    history: RequestHistory, bounds: Bounds, name: str, sent: list[float], at: float
) -> bool:
    window_s = bounds.quota_window_s
    count = bisect_right(sent, at) - bisect_left(sent, at - window_s)
    rate = min(
        quota.workspace.rate_per_s
        for quota in history.quotas[name]
        if quota.since <= at and quota.until >= at - window_s
    )
    return count <= rate * window_s
