"""``python -m plantainshed_measure.limits_search``: search for violations of quotas.

An INI file lists the sizes of fleets, the distances between regions and the kinds of
fault. There is one simulation for each seed. Its random generator chooses a size, a
distance, a kind of fault and the load from callers. Each simulation runs on its own
virtual clock. At its end, the admitted requests are checked against the quotas. During
it, VMs that are in touch are checked to know the same VMs.
"""

import configparser
import itertools
import random
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from enum import IntEnum
from pathlib import Path

import fire
import trio
from attrs import define, field, frozen

from plantainshed_gateway.durations import parse_duration
from plantainshed_gateway.settings import Bounds
from plantainshed_standins.memory_network import run_deterministically

from .limits_checks import (
    Period,
    RequestHistory,
    Window,
    count_refusals_within_rate,
    fullest_window,
)
from .limits_demand import draw_load_phases, draw_workspaces, send_requests
from .limits_faults import (
    LOST_WRITES_SHARE,
    OLD_ANSWER_KINDS,
    OLD_ANSWER_S,
    UNLISTED_KINDS,
    UNREADABLE_S,
    Fault,
    FaultKind,
    draw_faults,
    period_at,
)
from .limits_membership import MembershipProblem, MembershipWatch
from .limits_model import ModelFleet, VmLocation
from .limits_network import LimitsNetwork, NetworkConditions

DEFAULT_FILE = "examples/experiments/limits.ini"
REGIONS = 3
FAILURE_DOMAINS = 6
# One-way latency between failure domains of a region, and within a failure domain.
SAME_REGION_ONE_WAY_S = 0.0005
SAME_DOMAIN_ONE_WAY_S = 0.00015
START_SPREAD_S = 0.5
FIRST_START_SPREAD_S = 2.0
LOSSES = (0.0, 0.01, 0.05)
LATE_SHARES = (0.0, 0.0, 0.02)
LATE_S = 1.5
JITTERS = (0.05, 0.5)
# The hot workspace starts to exceed its rate at a random time between this many
# seconds before the start of a fault and this many seconds after its end.
HOT_MARGIN_S = 3.0


class Exit(IntEnum):
    """Exit codes."""

    OK = 0
    RULE_BROKEN = 1


class BadLimits(ValueError):
    """The limits file is invalid; the message names the option."""


@frozen
class Limits:
    """The settings of a search, read from a limits file.

    Parameters
    ----------
    seeds : range
    seconds : float
        Length of a simulation.
    sizes : dict of int to float
        Weight of each fleet size (number of VMs) when a size is drawn.
    distances : dict of str to tuple of float
        One-way latencies between regions in seconds, by name. If there are several,
        one is drawn for each pair of regions.
    kinds : list of FaultKind
    bounds : Bounds
    """

    seeds: range
    seconds: float
    sizes: dict[int, float]
    distances: dict[str, tuple[float, ...]]
    kinds: list[FaultKind]
    bounds: Bounds


@frozen
class Case:
    """The parameters of one simulation, drawn from its seed."""

    seed: int
    size: int
    distance: str
    kind: FaultKind


@frozen
class SimulationResult:
    """The result of one simulation.

    Parameters
    ----------
    case : Case
    windows : list of Window
        The fullest window of each workspace.
    within_rate, refused : Counter
        Requests sent within the rate of their workspace, and how many of them were
        refused or delayed, by `Period`.
    requests : int
        Number of all requests.
    membership_problems : list of MembershipProblem
        Times at which VMs in touch did not know the same VMs.
    """

    case: Case
    windows: list[Window]
    within_rate: Counter
    refused: Counter
    requests: int
    membership_problems: list[MembershipProblem] = field(factory=list)

    @property
    def exceeded_windows(self) -> list[Window]:
        """The windows that exceed their bound, at most one for each workspace."""
        return [window for window in self.windows if window.exceeds_bound]

    @property
    def breaks_rule(self) -> bool:
        """Whether a quota was exceeded or VMs in touch did not know the same VMs."""
        return bool(self.exceeded_windows or self.membership_problems)

    @property
    def fullest(self) -> Window:
        """The fullest window of all workspaces."""
        return max(self.windows, key=lambda window: window.tolerance_used)


def search(
    file: str = DEFAULT_FILE,
    jobs: int = 4,
    seed: int | None = None,
    seeds: str | None = None,
    kind: str | None = None,
    size: int | None = None,
    distance: str | None = None,
) -> int:
    """Simulate all seeds and print a table; exit with 1 if a rule was broken.

    Parameters
    ----------
    file : str
    jobs : int
        Number of simulations that run in parallel.
    seed : int, optional
        Simulate only this seed.
    seeds : str, optional
        ``FIRST-LAST``; overrides the seeds of the file.
    kind, size, distance : optional
        Override the values that each seed draws.
    """
    limits = read_limits(Path(file))
    numbers = [seed] if seed is not None else _seeds(seeds) if seeds else limits.seeds
    cases = [draw_case(limits, number, kind, size, distance) for number in numbers]
    began_at = time.monotonic()
    results = []
    for result in simulate_all(limits, cases, jobs):
        results.append(result)
        _print_exceeded(result)
        _print_membership_problem(result)
    _print_table(results)
    print(f"{len(results)} plays in {time.monotonic() - began_at:.0f} s")
    is_broken = any(result.breaks_rule for result in results)
    raise SystemExit(Exit.RULE_BROKEN if is_broken else Exit.OK)


def read_limits(path: Path) -> Limits:
    """Read and validate a limits file; raise `BadLimits` if it is invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        section, bounds = parser["limits"], parser["bounds"]
        return Limits(
            seeds=_seeds(section["seeds"]),
            seconds=parse_duration(section["length"]),
            sizes={
                int(name): float(weight) for name, weight in parser["sizes"].items()
            },
            distances={
                name: tuple(parse_duration(one) for one in _list(text))
                for name, text in parser["distances"].items()
            },
            kinds=[FaultKind(one) for one in _list(section["kinds"])],
            bounds=Bounds(
                stop_within_s=0.0,
                longest_ttl_s=0.0,
                in_force_within_s=0.0,
                retry_ratio=0.0,
                retry_slack=0.0,
                retry_window_s=0.0,
                quota_window_s=parse_duration(bounds["quota_window"]),
                quota_over=float(bounds["quota_over"]),
                quota_slack=float(bounds["quota_slack"]),
                cold_over=0.0,
                cold_slack=0.0,
            ),
        )
    except (OSError, configparser.Error, KeyError, ValueError) as error:
        raise BadLimits(f"{path}: {error}") from error


def _list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _seeds(text: str) -> range:
    first, _, last = str(text).partition("-")
    return range(int(first), int(last or first) + 1)


def draw_case(
    limits: Limits,
    seed: int,
    kind: str | None = None,
    size: int | None = None,
    distance: str | None = None,
) -> Case:
    """Draw the parameters of a seed's simulation; arguments override drawn values."""
    rng = random.Random(f"case {seed}")
    drawn_size = rng.choices(list(limits.sizes), list(limits.sizes.values()))[0]
    drawn_distance = rng.choice(list(limits.distances))
    drawn_kind = rng.choice(limits.kinds)
    return Case(
        seed,
        size or drawn_size,
        distance or drawn_distance,
        FaultKind(kind or drawn_kind),
    )


def simulate_all(
    limits: Limits, cases: list[Case], jobs: int
) -> Iterator[SimulationResult]:
    """Simulate all cases, several in parallel, and yield their results."""
    if jobs == 1 or len(cases) == 1:
        yield from (simulate(limits, case) for case in cases)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(simulate, itertools.repeat(limits), cases, chunksize=4)


def simulate(
    limits: Limits, case: Case, on_vm_created=lambda vm: None
) -> SimulationResult:
    """Simulate one case and check the admitted requests against the quotas.

    Parameters
    ----------
    limits : Limits
    case : Case
    on_vm_created : callable
        Called with each VM before it runs. Tests use it to inject a defect.
    """

    async def run():
        simulation = Simulation(limits, case, on_vm_created)
        await simulation.run()
        return simulation.result()

    return run_deterministically(run, seed=case.seed)


@define
class Simulation:
    """The simulation of one case."""

    limits: Limits
    case: Case
    on_vm_created: object
    rng: random.Random = field(init=False)
    fleet: ModelFleet = field(init=False)
    locations: list[VmLocation] = field(init=False)
    faults: list[Fault] = field(init=False)
    began_at: float = field(init=False)
    watch: MembershipWatch = field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(f"play {self.case.seed}")
        self.locations = make_locations(self.case.size)
        network = LimitsNetwork(self._draw_delays(), self._draw_conditions(), self.rng)
        self.fleet = ModelFleet(
            self.limits.bounds, network, self.rng, RequestHistory(), self.on_vm_created
        )
        self.fleet.region_of = {
            one.failure_domain: one.region for one in self.locations
        }
        self.fleet.seeds = tuple(location.ip for location in self.locations[:REGIONS])
        if self.case.kind not in UNLISTED_KINDS:
            for location in self.locations:
                self.fleet.register(location)
        self.faults = draw_faults(
            self.case.kind, self.rng, self.locations, self.limits.seconds
        )
        self.began_at = trio.current_time()
        self.watch = MembershipWatch(self.fleet, self.faults, self.began_at)
        if self.case.kind in OLD_ANSWER_KINDS:
            self.fleet.store.max_age_s = OLD_ANSWER_S
            self.fleet.store.rng = random.Random(f"store {self.case.seed}")
        if self.case.kind is FaultKind.LOST_WRITES:
            self.fleet.store.lost_writes = LOST_WRITES_SHARE
            self.fleet.store.unreadable_s = UNREADABLE_S
            self.fleet.is_store_apart = True

    def _draw_conditions(self) -> NetworkConditions:
        return NetworkConditions(
            self.rng.choice(LOSSES),
            self.rng.choice(LATE_SHARES),
            LATE_S,
            self.rng.choice(JITTERS),
        )

    def _draw_delays(self):
        """Return a function that gives the one-way latency between two addresses."""
        location_of = {location.ip: location for location in self.locations}
        possible = self.limits.distances[self.case.distance]
        regions = sorted({location.region for location in self.locations})
        delays = {}
        for one, other in itertools.combinations(regions, 2):
            delays[one, other] = delays[other, one] = self.rng.choice(possible)

        def one_way_s(sender: str, receiver: str) -> float:
            here = location_of[sender.partition("-")[0]]
            there = location_of[receiver.partition("-")[0]]
            if here.region != there.region:
                return delays[here.region, there.region]
            if here.failure_domain != there.failure_domain:
                return SAME_REGION_ONE_WAY_S
            return SAME_DOMAIN_ONE_WAY_S

        return one_way_s

    async def run(self):
        """Run the simulation to its end."""
        async with trio.open_nursery() as nursery:
            self.fleet.nursery = nursery
            nursery.start_soon(self.fleet.network.run)
            for workspace in draw_workspaces(self.rng):
                self.fleet.workspaces[workspace.name] = workspace
                self.fleet.history.record_quota(workspace, trio.current_time())
            for location in self.locations:
                nursery.start_soon(self._start_later, location)
            nursery.start_soon(self.watch.run)
            self._start_callers(nursery)
            for fault in self.faults:
                nursery.start_soon(fault.inject, self.fleet)
            await trio.sleep(self.limits.seconds)
            nursery.cancel_scope.cancel()

    async def _start_later(self, location: VmLocation):
        is_first = self.case.kind in UNLISTED_KINDS
        spread_s = FIRST_START_SPREAD_S if is_first else START_SPREAD_S
        await trio.sleep(self.rng.uniform(0.0, spread_s))
        self.fleet.start(location)

    def _start_callers(self, nursery: trio.Nursery):
        hot_from = self._draw_hot_from()
        for workspace in list(self.fleet.workspaces.values()):
            phases = draw_load_phases(
                self.rng, workspace, self.locations, self.limits.seconds, hot_from
            )
            rng = random.Random(f"{workspace.name} {self.case.seed}")
            nursery.start_soon(send_requests, self.fleet, workspace.name, phases, rng)

    def _draw_hot_from(self) -> float:
        if not self.faults:
            return self.rng.uniform(0.0, self.limits.seconds)
        fault = self.rng.choice(self.faults)
        return self.rng.uniform(
            max(0.0, fault.starts_at - HOT_MARGIN_S), fault.ends_at + HOT_MARGIN_S
        )

    def result(self) -> SimulationResult:
        """Return the result of the simulation."""
        history, bounds = self.fleet.history, self.limits.bounds
        windows, within_rate, refused = [], Counter(), Counter()
        for name in history.requests:
            window = fullest_window(history, bounds, name)
            if window is not None:
                windows.append(window)
            counts = count_refusals_within_rate(history, bounds, name, self._period_at)
            within_rate.update(counts[0])
            refused.update(counts[1])
        requests = sum(len(outcomes) for outcomes in history.requests.values())
        return SimulationResult(
            self.case, windows, within_rate, refused, requests, self.watch.problems
        )

    def _period_at(self, moment: float) -> Period:
        return period_at(self.faults, moment - self.began_at)


def make_locations(size: int) -> list[VmLocation]:
    """Return VMs that are spread evenly over failure domains and regions."""
    locations = []
    for index in range(size):
        domain = index % FAILURE_DOMAINS
        region = f"r{domain % REGIONS}"
        failure_domain = f"{region}{'ab'[domain // REGIONS]}"
        location = VmLocation(
            f"vm{index}", f"10.0.{domain}.{index}", failure_domain, region
        )
        locations.append(location)
    return locations


def _print_table(results: list[SimulationResult]):
    groups: dict[tuple, list[SimulationResult]] = {}
    for result in results:
        groups.setdefault((result.case.distance, result.case.kind), []).append(result)
    names = ("distance", "fault", "plays", "over", "used", "by seed", *Period)
    print("  ".join(name.rjust(9) for name in names))
    for (distance, kind), of_group in sorted(groups.items()):
        exceeded = sum(len(one.exceeded_windows) for one in of_group)
        fullest = max(of_group, key=lambda result: result.fullest.tolerance_used)
        used = f"{fullest.fullest.tolerance_used:.3f}"
        row = [distance, kind.value, len(of_group), exceeded, used, fullest.case.seed]
        row += [_format_refusal_share(of_group, period) for period in Period]
        print("  ".join(str(cell).rjust(9) for cell in row))


def _format_refusal_share(results: list[SimulationResult], period: Period) -> str:
    within_rate = sum(result.within_rate[period] for result in results)
    refused = sum(result.refused[period] for result in results)
    return f"{refused / within_rate:.4f}" if within_rate else "-"


def _print_exceeded(result: SimulationResult):
    case = result.case
    for window in result.exceeded_windows:
        print(
            f"OVER: --seed {case.seed} --size {case.size} --distance {case.distance}"
            f" --kind {case.kind}: {window.workspace} admitted {window.count} requests,"
            f" more than the {window.bound:.1f} allowed, in the window that ends at"
            f" {window.ends_at:.3f} s",
            flush=True,
        )


def _print_membership_problem(result: SimulationResult):
    """Print the first membership problem of a simulation."""
    case = result.case
    for problem in result.membership_problems[:1]:
        print(
            f"FLEET: --seed {case.seed} --size {case.size} --distance {case.distance}"
            f" --kind {case.kind}: at {problem.at:.1f} s and"
            f" {len(result.membership_problems) - 1} times later, {problem.text}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(search)
