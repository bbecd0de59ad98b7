"""How much of a region's requests its own targets take, and who takes the rest.

Load that it answers: each region has its own callers and objects, but regions
have unequal numbers of targets. Placed over the whole fleet, two thirds of all
answers cross between three regions; each crossing costs 24 ms and its bytes.
Kept in their region as far as its targets go, and spread over the spare part of
others beyond that, all targets carry the same load and few answers cross.
"""

import trio
from attrs import define, field

# Time over which demand is averaged; longer than the waves in which a region's
# callers come and go would move objects, and each move is a cold run.
DEMAND_S = 60.0
# Demand's share of a region moves in steps, so that all VMs see the same.
STEP = 0.05
# A step is taken when the measured share lies this far beyond it.
HYSTERESIS = 0.07
# Most that a region's part changes in a second. Within 2 s under 15 % of a
# region's requests may change the region in which they run.
CHANGE_PER_S = 0.04


def divide(
    demand: dict[str, float], capacity: dict[str, float]
) -> dict[str, dict[str, float]]:
    """Return which part of each region's demand each region's targets take.

    Parameters
    ----------
    demand : dict of str to float
        Share of all requests, by the callers' region.
    capacity : dict of str to float
        Slots, by the targets' region.

    Returns
    -------
    dict of str to dict of str to float
        By callers' region, then by targets' region; parts sum to one.
    """
    total = sum(capacity.values())
    wanted = sum(demand.values())
    if total <= 0 or wanted <= 0:
        return {}
    share = {name: slots / total for name, slots in capacity.items()}
    asked = {name: part / wanted for name, part in demand.items()}
    kept = {name: min(part, share.get(name, 0.0)) for name, part in asked.items()}
    spare = {name: part - kept.get(name, 0.0) for name, part in share.items()}
    all_spare = sum(spare.values())
    parts = {}
    for name, part in asked.items():
        if part <= 0:
            continue
        over = (part - kept[name]) / part
        taken = {
            other: over * room / all_spare if all_spare > 0 else 0.0
            for other, room in spare.items()
        }
        taken[name] = taken.get(name, 0.0) + kept[name] / part
        parts[name] = {other: size for other, size in taken.items() if size > 0}
    return parts


@define
class _Average:
    rate: float = 0.0
    counted_at: float = field(factory=trio.current_time)
    began_at: float = field(factory=trio.current_time)

    def add(self):
        self.decay()
        self.rate += 1.0 / DEMAND_S

    def decay(self):
        now = trio.current_time()
        self.rate *= max(0.0, 1.0 - (now - self.counted_at) / DEMAND_S)
        self.counted_at = now


class RegionDemand:
    """Requests a second of this VM's callers, by pool."""

    def __init__(self):
        self._rates: dict[str, _Average] = {}

    def note_request(self, pool: str):
        """Count one request."""
        self._rates.setdefault(pool, _Average()).add()

    def rates(self) -> dict[str, float]:
        """Return the rates, for heartbeats."""
        for average in self._rates.values():
            average.decay()
        return {pool: round(a.rate, 1) for pool, a in self._rates.items()}


class RegionParts:
    """This VM's view of the division for its own region.

    Parameters
    ----------
    region : str
        Of this VM and its callers.
    regions : set of str
    """

    def __init__(self, region: str, regions: set[str]):
        self.region = region
        self.regions = regions
        self._steps: dict[str, dict[str, float]] = {}
        self._parts: dict[str, dict[str, float]] = {}

    def update(
        self,
        pool: str,
        demand: dict[str, float],
        capacity: dict[str, float],
        seconds: float,
    ):
        """Move a pool's parts towards what demand and capacity ask for.

        Parameters
        ----------
        pool : str
        demand, capacity : dict of str to float
            By region.
        seconds : float
            Time since the last update.
        """
        wanted = divide(self._stepped(pool, demand), capacity).get(self.region)
        if not wanted:
            return
        known = self._parts.get(pool)
        if known is None:
            self._parts[pool] = wanted
            return
        most = CHANGE_PER_S * seconds
        moved = sum(abs(wanted.get(r, 0.0) - known.get(r, 0.0)) for r in self.regions)
        pace = min(1.0, most / (moved / 2)) if moved > 0 else 1.0
        self._parts[pool] = {
            region: known.get(region, 0.0)
            + pace * (wanted.get(region, 0.0) - known.get(region, 0.0))
            for region in self.regions
        }

    def _stepped(self, pool: str, demand: dict[str, float]) -> dict[str, float]:
        """Return demand's shares in steps, equal ones before any is known."""
        even = round(1.0 / max(1, len(self.regions)) / STEP) * STEP
        steps = self._steps.setdefault(pool, {name: even for name in self.regions})
        total = sum(demand.values())
        if total <= 0:
            return steps
        for name in self.regions:
            share = demand.get(name, 0.0) / total
            if abs(share - steps[name]) > STEP / 2 + HYSTERESIS:
                steps[name] = max(STEP, round(share / STEP) * STEP)
        return steps

    def part_of(self, pool: str, region: str) -> float | None:
        """Return the part of own requests that go to a region's targets."""
        parts = self._parts.get(pool)
        return None if parts is None else round(parts.get(region, 0.0), 2)
