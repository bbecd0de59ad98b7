"""The plan: the distribution of each home domain's callers over failure domains.

All VMs compute the same plan, because it depends only on data that all VMs receive: the
document, capacities, and demand by home domain. Demand is counted at the home domain of
the callers and not at the domain that they were sent to. Moving callers therefore does
not change the demand, and a plan does not react to its own effects.
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
    """A failure domain as input of the plan.

    Parameters
    ----------
    name, region : str
    capacity : float
        Requests per second that its targets can run; 0 if it accepts no callers.
    demand : float
        Requests per second of the callers whose home domain it is.
    """

    name: str
    region: str
    capacity: float
    demand: float


@frozen
class PlannedShift:
    """A shift as input of the plan.

    Parameters
    ----------
    from_region, to_region : str
        Regions in the current direction of the shift.
    cap : float
        Limit of all traffic between the two regions in requests per second.
    is_running : bool
        Whether the shift moves traffic at present.
    """

    from_region: str
    to_region: str
    cap: float
    is_running: bool = True


Shares = dict[str, dict[str, float]]


@define
class _Capacity:
    """Unallocated capacity, by failure domain or by pair of regions."""

    remaining: dict[str, float] = field(factory=dict)

    def allocate(self, key: str, wanted: float) -> float:
        """Allocate up to the wanted capacity; return the allocated amount."""
        taken = min(wanted, max(0.0, self.remaining.get(key, 0.0)))
        self.remaining[key] = self.remaining.get(key, 0.0) - taken
        return taken


def plan_pool(
    domains: Mapping[str, PlannedDomain],
    shifts: list[PlannedShift],
    link_rate: Mapping[tuple[str, str], float],
) -> Shares:
    """Return the share of callers sent to each domain, by home domain.

    Demand that exceeds all available capacity stays at its home domain and is refused
    there.

    Parameters
    ----------
    domains : mapping of str to PlannedDomain
    shifts : list of PlannedShift
    link_rate : mapping of (str, str) to float
        Capacity of the link between two regions in requests per second.
    """
    domain_capacity = _Capacity(
        {name: p.capacity * MAX_UTILIZATION for name, p in domains.items()}
    )
    link_capacity = _Capacity(
        {pair: rate * LINK_FRACTION for pair, rate in link_rate.items()}
    )
    for shift in shifts:
        # The cap of a shift limits all traffic between its regions, including
        # overflow, so the capacity of the link is reduced to the cap.
        pair = _region_pair(shift.from_region, shift.to_region)
        capped = min(link_capacity.remaining.get(pair, 0.0), shift.cap * CAP_FRACTION)
        link_capacity.remaining[pair] = capped
    rates: Shares = {name: {} for name in domains}
    unassigned = {name: domain.demand for name, domain in domains.items()}
    _apply_shifts(domains, shifts, domain_capacity, link_capacity, rates, unassigned)
    for name in sorted(domains):
        _assign(
            rates,
            unassigned,
            name,
            name,
            domain_capacity.allocate(name, unassigned[name]),
        )
    for name in sorted(domains):
        for other in _others_by_distance(domains, name):
            if unassigned[name] <= EPSILON:
                break
            _assign_overflow(
                domains, domain_capacity, link_capacity, rates, unassigned, name, other
            )
    return {name: _shares(domains[name], rates[name]) for name in domains}


def _apply_shifts(domains, shifts, domain_capacity, link_capacity, rates, unassigned):
    for shift in shifts:
        sources = [p for p in domains.values() if p.region == shift.from_region]
        destinations = [p for p in domains.values() if p.region == shift.to_region]
        demand = sum(domain.demand for domain in sources)
        capacity = sum(domain.capacity for domain in destinations)
        if demand <= 0 or capacity <= 0 or not shift.is_running:
            continue
        moved = min(shift.cap * CAP_FRACTION, demand)
        for source in sources:
            for destination in destinations:
                rate = moved * source.demand / demand * destination.capacity / capacity
                allocated = link_capacity.allocate(_pair(source, destination), rate)
                allocated = domain_capacity.allocate(destination.name, allocated)
                _assign(rates, unassigned, source.name, destination.name, allocated)


def _assign_overflow(
    domains, domain_capacity, link_capacity, rates, unassigned, name, other
):
    here, there = domains[name], domains[other]
    wanted = min(unassigned[name], max(0.0, domain_capacity.remaining[other]))
    if here.region != there.region:
        wanted = link_capacity.allocate(_pair(here, there), wanted)
    _assign(rates, unassigned, name, other, domain_capacity.allocate(other, wanted))


def _assign(rates, unassigned, name, other, rate):
    if rate > EPSILON:
        rates[name][other] = rates[name].get(other, 0.0) + rate
        unassigned[name] -= rate


def _others_by_distance(domains, name) -> list[str]:
    """Return the other domains: own region first, then by descending capacity."""
    region = domains[name].region
    others = [domain for domain in domains.values() if domain.name != name]
    order = sorted(others, key=lambda p: (p.region != region, -p.capacity, p.name))
    return [domain.name for domain in order]


def _pair(here: PlannedDomain, there: PlannedDomain) -> tuple[str, str]:
    return _region_pair(here.region, there.region)


def _region_pair(region_a: str, region_b: str) -> tuple[str, str]:
    first, second = sorted((region_a, region_b))
    return first, second


def _shares(domain: PlannedDomain, rates: dict[str, float]) -> dict[str, float]:
    if domain.demand <= EPSILON:
        return {domain.name: 1.0}
    shares = {name: rate / domain.demand for name, rate in rates.items()}
    rest = 1.0 - sum(shares.values())
    if rest > EPSILON:
        shares[domain.name] = shares.get(domain.name, 0.0) + rest
    return shares


def step_towards_plan(before: dict[str, float], goal: dict[str, float], home: str):
    """Return the shares for the next step from the current plan to a new one.

    Callers leave their home domain at once, because they need the capacity elsewhere.
    They return in steps of at most `MAX_RETURN_STEP`, because caches at home are cold
    and the measured load lags behind.
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
