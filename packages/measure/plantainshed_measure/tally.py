"""Counts the outcomes of one replay and compares them with the configured rates."""

import statistics
from collections import Counter, defaultdict

import trio
from attrs import define, field

from plantainshed_model.document import Document

RATE_REASONS = ("rate", "no_room", "no_target", "not_ready")


@define
class ReferenceBucket:
    """A single token bucket with the full rate and burst of a workspace.

    It is the reference for a fleet that divides the rate among its VMs. Given the
    fleet's admissions, `deepest` is the largest number of tokens by which the fleet
    exceeded the bucket. Given the arrivals, `refused` is the number of requests
    that a single bucket would refuse too.

    The digest of a replay contains the names of these fields, so renaming one changes
    the digest.
    """

    rate: float
    burst: float
    level: float = 0.0
    at: float = 0.0
    deepest: float = 0.0
    admitted: int = 0
    refused: int = 0

    def __attrs_post_init__(self):
        self.level = self.burst

    def _refill(self, now: float):
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def spend(self, now: float):
        """Take a token even if none is left."""
        self._refill(now)
        self.level -= 1
        self.deepest = max(self.deepest, -self.level)

    def try_take(self, now: float) -> bool:
        """Take a token if there is one, and return whether there was."""
        self._refill(now)
        if self.level < 1:
            self.refused += 1
            return False
        self.level -= 1
        self.admitted += 1
        return True


@define
class WorkspaceTally:
    """Counts of one workspace's requests by outcome.

    Attributes
    ----------
    entitled : int
        Requests that a single bucket would have admitted.
    refused : collections.Counter
        Refusals by reason.
    """

    arrived: int = 0
    entitled: int = 0
    answered: int = 0
    refused: Counter = field(factory=Counter)


class Tally:
    """Counts and measurements of one replay.

    Attributes
    ----------
    arrivals, admissions : dict of str to ReferenceBucket
        Reference buckets by workspace, for its arrivals and for its admissions.
    lost : int
        Requests that were neither answered nor refused after all attempts.
    cut : int
        Exchanges that ended without an answer at a VM that was shut down gracefully.
    not_run : list of str
        Operation ids of requests that were reported as not run.
    headroom_min : float
        Smallest sampled share of free slots of any region.
    durations : dict of str to float or None
        Durations in seconds that faults measured, by name of the figure.
    """

    def __init__(self, document: Document):
        self.workspaces: dict[str, WorkspaceTally] = defaultdict(WorkspaceTally)
        self.arrivals = {w.name: _make_bucket(w) for w in document.workspaces}
        self.admissions = {w.name: _make_bucket(w) for w in document.workspaces}
        self.shift_buckets: dict[str, ReferenceBucket] = {}
        self.latencies: list[float] = []
        self.lost = 0
        self.cut = 0
        self.unknown = 0
        self.false_not_run = 0
        self.not_run: list[str] = []
        self.headroom_min = 1.0
        self.durations: dict[str, float | None] = defaultdict(lambda: None)

    def record_arrival(self, workspace: str):
        """Count a new request; retries of a request are not counted."""
        counted = self.workspaces[workspace]
        counted.arrived += 1
        counted.entitled += self.arrivals[workspace].try_take(trio.current_time())

    def record_admission(self, workspace: str):
        """Count a request that passed the rate limit of its workspace."""
        self.admissions[workspace].spend(trio.current_time())

    def record_answer(self, workspace: str, seconds: float):
        """Count an answered request."""
        self.workspaces[workspace].answered += 1
        self.latencies.append(seconds)

    def record_refusal(self, workspace: str, reason: str):
        """Count a request that was finally refused."""
        self.workspaces[workspace].refused[reason] += 1

    def count_wrongful_refusals(self) -> int:
        """Return the number of refusals that a single token bucket would not make."""
        total = 0
        for name, counted in self.workspaces.items():
            refused = sum(counted.refused[reason] for reason in RATE_REASONS)
            total += max(0, refused - self.arrivals[name].refused)
        return total

    def refusals(self) -> dict[str, int]:
        """Return the number of refusals of all workspaces by reason."""
        total = Counter()
        for counted in self.workspaces.values():
            total.update(counted.refused)
        return dict(total)

    def worst_workspace(self) -> tuple[str, float]:
        """Return the worst-served workspace and its share of answered requests.

        The share is relative to the requests that the workspace was entitled to.
        """
        shares = {
            name: min(1.0, counted.answered / counted.entitled)
            for name, counted in self.workspaces.items()
            if counted.entitled
        }
        name = min(shares, key=shares.get)
        return name, round(shares[name], 4)

    def overshoot(self) -> float:
        """Return the largest excess of any workspace over its rate and burst."""
        deepest = max(bucket.deepest for bucket in self.admissions.values())
        return round(max(0.0, deepest - ROUNDING_TOLERANCE), 3)

    def percentile_ms(self, percent: int) -> float | None:
        """Return a percentile of the latencies in milliseconds."""
        if len(self.latencies) < 2:
            return None
        cuts = statistics.quantiles(self.latencies, n=100, method="inclusive")
        return round(cuts[percent - 1] * 1000, 1)


ROUNDING_TOLERANCE = 1e-6


def _make_bucket(workspace) -> ReferenceBucket:
    return ReferenceBucket(workspace.rate, workspace.burst)


def excess_over_cap(times: list[float], cap: float, burst: float) -> float:
    """Return by how many requests a stream exceeded a rate cap.

    Parameters
    ----------
    times : list of float
        Times of the requests in seconds.
    cap, burst : float
        Rate and burst of the token bucket that they are compared with.
    """
    bucket = ReferenceBucket(cap, burst)
    for at in sorted(times):
        bucket.spend(at)
    return round(max(0.0, bucket.deepest - ROUNDING_TOLERANCE), 2) if times else 0.0
