"""What was let through, and whether it kept workspaces' quotas."""

from bisect import bisect_left, bisect_right
from collections import Counter
from enum import StrEnum

from attrs import define, field, frozen

from plantainshed_gateway.model import Workspace
from plantainshed_gateway.settings import Bounds

# Time in which a change of a quota is in force on all VMs.
CHANGE_IN_FORCE_S = 2.0
# Requests that wait longer than this have asked another region.
NEAR_ROUND_TRIP_S = 0.005


class Period(StrEnum):
    """What the fleet goes through when a request is sent."""

    CALM = "calm"
    FAULT = "fault"
    HEALING = "healing"


@frozen
class Asked:
    """One request and what became of it.

    Parameters
    ----------
    sent_at, done_at : float
        When the caller sent it, and when it was let through or refused.
    waited_s : float
        What the VM took to decide.
    is_admitted : bool
    has_run : bool
        Whether a target took it.
    """

    sent_at: float
    done_at: float
    waited_s: float
    is_admitted: bool
    has_run: bool = True


@define
class Quota:
    """A quota and when it was in force somewhere."""

    workspace: Workspace
    since: float
    until: float = float("inf")


@frozen
class Window:
    """A window of a workspace and what was let through in it.

    Parameters
    ----------
    workspace : str
    ends_at : float
        Seconds from the start of the play.
    count : int
    bound : float
        Most requests that the rule allows.
    used : float
        Part of the tolerance.
    """

    workspace: str
    ends_at: float
    count: int
    bound: float
    used: float

    @property
    def is_over(self) -> bool:
        """Whether the rule is broken."""
        return self.count > self.bound + 1e-6


@define
class Record:
    """All requests of a play, and the quotas that were in force."""

    asked: dict[str, list[Asked]] = field(factory=dict)
    quotas: dict[str, list[Quota]] = field(factory=dict)

    def note_quota(self, workspace: Workspace, now: float):
        """Take in a workspace's quota from now on."""
        quotas = self.quotas.setdefault(workspace.name, [])
        self.asked.setdefault(workspace.name, [])
        if quotas:
            quotas[-1].until = now
        quotas.append(Quota(workspace, now))

    def note_late(self, workspace: Workspace, now: float):
        """Take in that a VM cut off from the store used the quota before till now."""
        for before, after in zip(
            self.quotas[workspace.name], self.quotas[workspace.name][1:], strict=False
        ):
            if after.workspace == workspace and now > after.since + CHANGE_IN_FORCE_S:
                before.until = max(before.until, now - CHANGE_IN_FORCE_S)


def fullest_window(record: Record, bounds: Bounds, name: str) -> Window | None:
    """Return a workspace's window that used most of its tolerance."""
    admitted = sorted(
        one.done_at for one in record.asked[name] if one.is_admitted and one.has_run
    )
    fullest = None
    first = 0
    for index, at in enumerate(admitted):
        while admitted[first] <= at - bounds.quota_window_s:
            first += 1
        window = _window(record, bounds, name, at, index - first + 1)
        if fullest is None or window.used > fullest.used:
            fullest = window
    return fullest


def _window(
    record: Record, bounds: Bounds, name: str, ends_at: float, count: int
) -> Window:
    window_s = bounds.quota_window_s
    since = ends_at - window_s - CHANGE_IN_FORCE_S
    in_window = max(
        quota.workspace.rate_per_s * window_s + quota.workspace.burst
        for quota in record.quotas[name]
        if quota.since <= ends_at and quota.until >= since
    )
    tolerance = in_window * bounds.quota_over + bounds.quota_slack
    used = (count - in_window) / tolerance
    return Window(name, ends_at, count, in_window + tolerance, used)


def wrongful(
    record: Record, bounds: Bounds, name: str, period_at
) -> tuple[Counter, Counter]:
    """Count requests of a workspace within its rate, and those turned away.

    One counts as turned away if it is refused or waits for another region.

    Parameters
    ----------
    period_at : callable
        Returns the `Period` at a time.

    Returns
    -------
    owed, refused : Counter
        By `Period`.
    """
    owed, refused = Counter(), Counter()
    sent = sorted(one.sent_at for one in record.asked[name])
    for one in record.asked[name]:
        if not _is_within_rate(record, bounds, name, sent, one.sent_at):
            continue
        period = period_at(one.sent_at)
        owed[period] += 1
        if not one.is_admitted or one.waited_s > NEAR_ROUND_TRIP_S:
            refused[period] += 1
    return owed, refused


def _is_within_rate(
    record: Record, bounds: Bounds, name: str, sent: list[float], at: float
) -> bool:
    window_s = bounds.quota_window_s
    count = bisect_right(sent, at) - bisect_left(sent, at - window_s)
    rate = min(
        quota.workspace.rate_per_s
        for quota in record.quotas[name]
        if quota.since <= at and quota.until >= at - window_s
    )
    return count <= rate * window_s
