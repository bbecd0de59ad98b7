"""The requests that callers send in a simulation of target selection."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator
from enum import Enum

from attrs import field, frozen


class Kind(Enum):
    """How requests are distributed over objects."""

    EVEN = "even"
    ZIPF = "zipf"
    ONE = "one"
    MOVING = "moving"


@frozen
class Popularity:
    """How requests are distributed over objects.

    Parameters
    ----------
    kind : Kind
    exponent : float
        For `Kind.ZIPF`: the n-th object is requested in proportion to
        ``n ** -exponent``.
    share : float
        For `Kind.ONE` and `Kind.MOVING`: fraction of all requests for one object. The
        rest is spread evenly over the others.
    every_s : float
        For `Kind.MOVING`: time after which that object is replaced by the next one.
    """

    kind: Kind = Kind.EVEN
    exponent: float = 1.0
    share: float = 0.0
    every_s: float = math.inf

    @property
    def text(self) -> str:
        """The popularity as it is written in a file."""
        if self.kind is Kind.ZIPF:
            return f"zipf {self.exponent:g}"
        if self.kind is Kind.ONE:
            return f"one {self.share:g}"
        if self.kind is Kind.MOVING:
            return f"moving {self.share:g} {self.every_s:g}s"
        return "even"


@frozen
class Waves:
    """A sine wave of each region's demand.

    Parameters
    ----------
    swing : float
        Largest deviation, as a fraction of the region's mean demand.
    period_s : float
    phases : tuple of float
        By region, as fractions of the period.
    """

    swing: float = 0.0
    period_s: float = 1.0
    phases: tuple[float, ...] = ()

    def factor(self, region: int, at_s: float) -> float:
        """Return a region's demand at a time, as a multiple of its mean."""
        if not self.swing:
            return 1.0
        turns = at_s / self.period_s + self.phases[region]
        return 1.0 + self.swing * math.sin(2 * math.pi * turns)


@frozen
class Demand:
    """The load of an experiment.

    Parameters
    ----------
    rate_per_s : float
        Mean requests per second once the load has risen.
    objects : int
        Number of distinct objects.
    regions : tuple of float
        Relative number of callers, by region.
    rise_s : float
        Time in which the rate rises linearly from 0.
    popularity : Popularity
    waves : Waves
    priorities : dict of int to float
        Fraction of the requests, by priority.
    workspaces : int
        Number of workspaces, or 0 for requests without one.
    largest_workspace : float
        Fraction of the requests that belong to the first workspace. The rest is spread
        evenly over the others.
    retries : int
        How often a refused caller comes back.
    """

    rate_per_s: float
    objects: int
    regions: tuple[float, ...]
    rise_s: float = 0.0
    popularity: Popularity = Popularity()
    waves: Waves = Waves()
    priorities: dict[int, float] = field(factory=lambda: {0: 1.0})
    workspaces: int = 0
    largest_workspace: float = 0.0
    retries: int = 0


@frozen
class Arrival:
    """One request of a caller.

    Parameters
    ----------
    at_s : float
        Since the start of the simulation.
    region : int
    object_name : str
    priority : int
    workspace : str or None
    """

    at_s: float
    region: int
    object_name: str
    priority: int
    workspace: str | None


def arrivals(demand: Demand, seconds: float, seed: int) -> Iterator[Arrival]:
    """Yield the requests of a simulation in the order of their arrival.

    They form a Poisson process. They depend on the seed only, not on how requests are
    served, so that all policies get the same ones.
    """
    rng = random.Random(seed)
    choose_object = _object_chooser(demand, rng)
    total = sum(demand.regions)
    shares = [callers / total for callers in demand.regions]
    priorities = list(demand.priorities)
    weights = list(demand.priorities.values())
    largest_factor = 1.0 + demand.waves.swing
    at_s = 0.0
    while True:
        # Thinning: arrivals at the highest possible rate, of which a part is kept.
        at_s += rng.expovariate(demand.rate_per_s * largest_factor)
        if at_s >= seconds:
            return
        risen = min(1.0, at_s / demand.rise_s) if demand.rise_s else 1.0
        rates = [
            risen * share * demand.waves.factor(region, at_s)
            for region, share in enumerate(shares)
        ]
        if rng.random() * largest_factor >= sum(rates):
            continue
        yield Arrival(
            at_s=at_s,
            region=rng.choices(range(len(rates)), rates)[0],
            object_name=str(choose_object(at_s)),
            priority=rng.choices(priorities, weights)[0],
            workspace=_workspace(demand, rng),
        )


def _workspace(demand: Demand, rng: random.Random) -> str | None:
    if not demand.workspaces:
        return None
    if demand.workspaces == 1 or rng.random() < demand.largest_workspace:
        return "workspace-0"
    first = 1 if demand.largest_workspace else 0
    return f"workspace-{rng.randrange(first, demand.workspaces)}"


def _object_chooser(demand: Demand, rng: random.Random):
    """Return a function from the time to the number of a requested object."""
    popularity, count = demand.popularity, demand.objects
    if popularity.kind is Kind.ZIPF:
        weights = [n**-popularity.exponent for n in range(1, count + 1)]
        sums = list(itertools.accumulate(weights))
        return lambda at_s: bisect.bisect(sums, rng.random() * sums[-1], 0, count - 1)

    def choose(at_s: float) -> int:
        if rng.random() < popularity.share:
            return int(at_s / popularity.every_s) % count
        if not popularity.share:
            return rng.randrange(count)
        others = rng.randrange(count - 1)
        return (int(at_s / popularity.every_s) + 1 + others) % count

    return choose
