"""Where each home domain's callers are sent: the plan, worked out alike by all.

The plan depends only on what all VMs learn: the document, capacities, and
demand by home domain. Demand is counted by where callers come from, not where
they were sent, so a plan does not feed on its own effects: what was promised
stays counted at its home until the callers themselves change.
"""

from collections.abc import Mapping

from attrs import define, field, frozen

MAX_UTILIZATION = 0.9
CAP_FRACTION = 0.9
MAX_RETURN_STEP = 0.1
LINK_FRACTION = 0.5
EPSILON = 1e-9


@frozen
class PlannedDomain:
    """A failure domain as the plan sees it.

    Parameters
    ----------
    name, region : str
    capacity : float
        Requests a second that its targets can run; 0 when it takes none.
    demand : float
        Requests a second of callers that are near it.
    """

    name: str
    region: str
    capacity: float
    demand: float


@frozen
class PlannedShift:
    """A shift as the plan sees it.

    Parameters
    ----------
    from_region, to_region : str
        In the direction in which it moves now.
    cap : float
        Requests a second that may pass between the two regions at all.
    is_running : bool
        Whether it moves traffic at present.
    """

    from_region: str
    to_region: str
    cap: float
    is_running: bool = True


Shares = dict[str, dict[str, float]]


@define
class _Capacity:
    """Capacity that is not promised yet, by place."""

    left: dict[str, float] = field(factory=dict)

    def take(self, place: str, wanted: float) -> float:
        """Promise up to so much; return how much."""
        taken = min(wanted, max(0.0, self.left.get(place, 0.0)))
        self.left[place] = self.left.get(place, 0.0) - taken
        return taken


def plan_pool(
    domains: Mapping[str, PlannedDomain],
    shifts: list[PlannedShift],
    link_rate: Mapping[tuple[str, str], float],
) -> Shares:
    """Return, by home domain, the share of callers sent to each domain.

    What nobody has room for stays at home, to be refused there.

    Parameters
    ----------
    domains : mapping of str to PlannedDomain
    shifts : list of PlannedShift
    link_rate : mapping of (str, str) to float
        Requests a second that the link between two regions may carry.
    """
    domain_capacity = _Capacity(
        {name: p.capacity * MAX_UTILIZATION for name, p in domains.items()}
    )
    link_capacity = _Capacity(
        {pair: rate * LINK_FRACTION for pair, rate in link_rate.items()}
    )
    for shift in shifts:
        # Whatever crosses between its regions is under the shift's cap, also
        # what overflows: the link is narrowed to it.
        pair = _region_pair(shift.from_region, shift.to_region)
        capped = min(link_capacity.left.get(pair, 0.0), shift.cap * CAP_FRACTION)
        link_capacity.left[pair] = capped
    rates: Shares = {name: {} for name in domains}
    left = {name: place.demand for name, place in domains.items()}
    _apply_shifts(domains, shifts, domain_capacity, link_capacity, rates, left)
    for name in sorted(domains):
        _assign(rates, left, name, name, domain_capacity.take(name, left[name]))
    for name in sorted(domains):
        for other in _others_by_distance(domains, name):
            if left[name] <= EPSILON:
                break
            _assign_overflow(
                domains, domain_capacity, link_capacity, rates, left, name, other
            )
    return {name: _shares(domains[name], rates[name]) for name in domains}


def _apply_shifts(domains, shifts, domain_capacity, link_capacity, rates, left):
    for shift in shifts:
        sources = [p for p in domains.values() if p.region == shift.from_region]
        destinations = [p for p in domains.values() if p.region == shift.to_region]
        demand = sum(place.demand for place in sources)
        capacity = sum(place.capacity for place in destinations)
        if demand <= 0 or capacity <= 0 or not shift.is_running:
            continue
        moved = min(shift.cap * CAP_FRACTION, demand)
        for source in sources:
            for goal in destinations:
                rate = moved * source.demand / demand * goal.capacity / capacity
                given = link_capacity.take(_pair(source, goal), rate)
                given = domain_capacity.take(goal.name, given)
                _assign(rates, left, source.name, goal.name, given)


def _assign_overflow(domains, domain_capacity, link_capacity, rates, left, name, other):
    here, there = domains[name], domains[other]
    wanted = min(left[name], max(0.0, domain_capacity.left[other]))
    if here.region != there.region:
        wanted = link_capacity.take(_pair(here, there), wanted)
    _assign(rates, left, name, other, domain_capacity.take(other, wanted))


def _assign(rates, left, name, other, rate):
    if rate > EPSILON:
        rates[name][other] = rates[name].get(other, 0.0) + rate
        left[name] -= rate


def _others_by_distance(domains, name) -> list[str]:
    """Return other domains, those of the same region first, roomiest first."""
    region = domains[name].region
    others = [place for place in domains.values() if place.name != name]
    order = sorted(others, key=lambda p: (p.region != region, -p.capacity, p.name))
    return [place.name for place in order]


def _pair(here: PlannedDomain, there: PlannedDomain) -> tuple[str, str]:
    return _region_pair(here.region, there.region)


def _region_pair(region_a: str, region_b: str) -> tuple[str, str]:
    first, second = sorted((region_a, region_b))
    return first, second


def _shares(place: PlannedDomain, rates: dict[str, float]) -> dict[str, float]:
    if place.demand <= EPSILON:
        return {place.name: 1.0}
    shares = {name: rate / place.demand for name, rate in rates.items()}
    rest = 1.0 - sum(shares.values())
    if rest > EPSILON:
        shares[place.name] = shares.get(place.name, 0.0) + rest
    return shares


def step_towards_plan(before: dict[str, float], goal: dict[str, float], home: str):
    """Return shares on the way from one plan to the next.

    What leaves home does so at once: it is needed elsewhere. What comes back
    is taken in a step at a time, since caches there are cold and the
    measurement of what arrives lags behind.
    """
    if not before:
        return goal
    step = goal.get(home, 0.0) - before.get(home, 0.0)
    if step <= MAX_RETURN_STEP:
        return goal
    weight = MAX_RETURN_STEP / step
    names = before.keys() | goal.keys()
    mixed = {
        name: before.get(name, 0.0) * (1 - weight) + goal.get(name, 0.0) * weight
        for name in names
    }
    return {name: share for name, share in mixed.items() if share > EPSILON}
