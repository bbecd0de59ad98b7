"""``python -m plantainshed_measure.limits_search``: look for quotas that are broken.

An INI file names sizes of fleets, distances between regions and kinds of fault.
Each seed draws one of each, and what callers send; it is played on a clock of its
own, and what was let through is checked.
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

from .limits_checks import Period, Record, Window, fullest_window, wrongful
from .limits_demand import draw_stretches, draw_workspaces, send
from .limits_faults import Fault, Kind, draw_faults, period_at
from .limits_model import ModelFleet, Place
from .limits_network import LimitsNetwork, Weather

DEFAULT_FILE = "examples/experiments/limits.ini"
REGIONS = 3
DOMAINS = 6
# Between failure domains of a region, and inside a failure domain.
NEAR_ONE_WAY_S = 0.0005
SAME_ONE_WAY_S = 0.00015
START_APART_S = 0.5
LOSSES = (0.0, 0.01, 0.05)
LATE_PARTS = (0.0, 0.0, 0.02)
LATE_S = 1.5
JITTERS = (0.05, 0.5)
# Around a fault, so many seconds before its start and after its end, a workspace
# begins to send more than its rate.
HOT_AROUND_S = 3.0


class Exit(IntEnum):
    """Exit codes."""

    KEPT = 0
    OVER = 1


class BadLimits(ValueError):
    """A file of limits cannot be used; says which option."""


@frozen
class Limits:
    """What is searched.

    Parameters
    ----------
    seeds : range
    seconds : float
        Length of a play.
    sizes : dict of int to float
        How often a fleet has so many VMs.
    distances : dict of str to tuple of float
        Seconds one way between regions, by name; of several, each pair of regions
        draws one.
    kinds : list of Kind
    bounds : Bounds
    """

    seeds: range
    seconds: float
    sizes: dict[int, float]
    distances: dict[str, tuple[float, ...]]
    kinds: list[Kind]
    bounds: Bounds


@frozen
class Case:
    """What a seed has drawn."""

    seed: int
    size: int
    distance: str
    kind: Kind


@frozen
class Played:
    """What a play showed.

    Parameters
    ----------
    windows : list of Window
        The fullest of each workspace.
    owed, refused : Counter
        Requests of workspaces within their rate, by `Period`.
    requests : int
    """

    case: Case
    windows: list[Window]
    owed: Counter
    refused: Counter
    requests: int

    @property
    def over(self) -> list[Window]:
        """The windows that break the rule, one a workspace at most."""
        return [window for window in self.windows if window.is_over]

    @property
    def fullest(self) -> Window:
        """The fullest of all workspaces' windows."""
        return max(self.windows, key=lambda window: window.used)


def search(
    file: str = DEFAULT_FILE,
    jobs: int = 4,
    seed: int | None = None,
    seeds: str | None = None,
    kind: str | None = None,
    size: int | None = None,
    distance: str | None = None,
) -> int:
    """Play seeds and print a table; exit with 1 if a quota was broken.

    Parameters
    ----------
    file : str
    jobs : int
        Plays that run at a time.
    seed : int, optional
        The only one that is played.
    seeds : str, optional
        ``FIRST-LAST``, in place of the file's.
    kind, size, distance : optional
        In place of what seeds draw.
    """
    limits = read_limits(Path(file))
    numbers = [seed] if seed is not None else _seeds(seeds) if seeds else limits.seeds
    cases = [draw_case(limits, number, kind, size, distance) for number in numbers]
    began_at = time.monotonic()
    plays = []
    for played in play_all(limits, cases, jobs):
        plays.append(played)
        _print_over(played)
    _print_table(plays)
    print(f"{len(plays)} plays in {time.monotonic() - began_at:.0f} s")
    is_over = any(played.over for played in plays)
    raise SystemExit(Exit.OVER if is_over else Exit.KEPT)


def read_limits(path: Path) -> Limits:
    """Read and check a file of limits, or raise `BadLimits`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        section, bounds = parser["limits"], parser["bounds"]
        return Limits(
            seeds=_seeds(section["seeds"]),
            seconds=parse_duration(section["length"]),
            sizes={int(name): float(often) for name, often in parser["sizes"].items()},
            distances={
                name: tuple(parse_duration(one) for one in _list(text))
                for name, text in parser["distances"].items()
            },
            kinds=[Kind(one) for one in _list(section["kinds"])],
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
    """Return what a seed plays; what is given is not drawn."""
    rng = random.Random(f"case {seed}")
    drawn_size = rng.choices(list(limits.sizes), list(limits.sizes.values()))[0]
    drawn_distance = rng.choice(list(limits.distances))
    drawn_kind = rng.choice(limits.kinds)
    return Case(
        seed, size or drawn_size, distance or drawn_distance, Kind(kind or drawn_kind)
    )


def play_all(limits: Limits, cases: list[Case], jobs: int) -> Iterator[Played]:
    """Play cases, several at a time, and yield what each showed."""
    if jobs == 1 or len(cases) == 1:
        yield from (play(limits, case) for case in cases)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play, itertools.repeat(limits), cases, chunksize=4)


def play(limits: Limits, case: Case, alter=lambda vm: None) -> Played:
    """Play one case and check what was let through.

    Parameters
    ----------
    alter : callable
        Called with each VM that is made; tests spoil one with it.
    """

    async def run():
        made = Play(limits, case, alter)
        await made.run()
        return made.checked()

    return run_deterministically(run, seed=case.seed)


@define
class Play:
    """One case while it is played."""

    limits: Limits
    case: Case
    alter: object
    rng: random.Random = field(init=False)
    fleet: ModelFleet = field(init=False)
    places: list[Place] = field(init=False)
    faults: list[Fault] = field(init=False)
    began_at: float = field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(f"play {self.case.seed}")
        self.places = make_places(self.case.size)
        network = LimitsNetwork(self._draw_ways(), self._draw_weather(), self.rng)
        self.fleet = ModelFleet(
            self.limits.bounds, network, self.rng, Record(), self.alter
        )
        self.fleet.region_of = {p.failure_domain: p.region for p in self.places}
        self.fleet.seeds = tuple(place.ip for place in self.places[:REGIONS])
        self.fleet.listed = {place.vm: place for place in self.places}
        self.faults = draw_faults(
            self.case.kind, self.rng, self.places, self.limits.seconds
        )
        self.began_at = trio.current_time()

    def _draw_weather(self) -> Weather:
        return Weather(
            self.rng.choice(LOSSES),
            self.rng.choice(LATE_PARTS),
            LATE_S,
            self.rng.choice(JITTERS),
        )

    def _draw_ways(self):
        """Return a function with the seconds from one address to another."""
        place_of = {place.ip: place for place in self.places}
        possible = self.limits.distances[self.case.distance]
        regions = sorted({place.region for place in self.places})
        ways = {}
        for one, other in itertools.combinations(regions, 2):
            ways[one, other] = ways[other, one] = self.rng.choice(possible)

        def one_way_s(sender: str, receiver: str) -> float:
            here = place_of[sender.partition("-")[0]]
            there = place_of[receiver.partition("-")[0]]
            if here.region != there.region:
                return ways[here.region, there.region]
            if here.failure_domain != there.failure_domain:
                return NEAR_ONE_WAY_S
            return SAME_ONE_WAY_S

        return one_way_s

    async def run(self):
        """Play it to its end."""
        async with trio.open_nursery() as nursery:
            self.fleet.nursery = nursery
            nursery.start_soon(self.fleet.network.run)
            for workspace in draw_workspaces(self.rng):
                self.fleet.workspaces[workspace.name] = workspace
                self.fleet.record.note_quota(workspace, trio.current_time())
            for place in self.places:
                nursery.start_soon(self._start_later, place)
            self._start_callers(nursery)
            for fault in self.faults:
                nursery.start_soon(fault.play, self.fleet)
            await trio.sleep(self.limits.seconds)
            nursery.cancel_scope.cancel()

    async def _start_later(self, place: Place):
        await trio.sleep(self.rng.uniform(0.0, START_APART_S))
        self.fleet.start(place)

    def _start_callers(self, nursery: trio.Nursery):
        hot_from = self._draw_hot_from()
        for workspace in list(self.fleet.workspaces.values()):
            stretches = draw_stretches(
                self.rng, workspace, self.places, self.limits.seconds, hot_from
            )
            rng = random.Random(f"{workspace.name} {self.case.seed}")
            nursery.start_soon(send, self.fleet, workspace.name, stretches, rng)

    def _draw_hot_from(self) -> float:
        if not self.faults:
            return self.rng.uniform(0.0, self.limits.seconds)
        fault = self.rng.choice(self.faults)
        return self.rng.uniform(
            max(0.0, fault.starts_at - HOT_AROUND_S), fault.ends_at + HOT_AROUND_S
        )

    def checked(self) -> Played:
        """Return what the play showed."""
        record, bounds = self.fleet.record, self.limits.bounds
        windows, owed, refused = [], Counter(), Counter()
        for name in record.asked:
            window = fullest_window(record, bounds, name)
            if window is not None:
                windows.append(window)
            of_one = wrongful(record, bounds, name, self._period_at)
            owed.update(of_one[0])
            refused.update(of_one[1])
        requests = sum(len(asked) for asked in record.asked.values())
        return Played(self.case, windows, owed, refused, requests)

    def _period_at(self, moment: float) -> Period:
        return period_at(self.faults, moment - self.began_at)


def make_places(size: int) -> list[Place]:
    """Return VMs in failure domains of regions, as evenly as can be."""
    places = []
    for index in range(size):
        domain = index % DOMAINS
        region = f"r{domain % REGIONS}"
        failure_domain = f"{region}{'ab'[domain // REGIONS]}"
        place = Place(f"vm{index}", f"10.0.{domain}.{index}", failure_domain, region)
        places.append(place)
    return places


def _print_table(plays: list[Played]):
    groups: dict[tuple, list[Played]] = {}
    for played in plays:
        groups.setdefault((played.case.distance, played.case.kind), []).append(played)
    names = ("distance", "fault", "plays", "over", "used", "by seed", *Period)
    print("  ".join(name.rjust(9) for name in names))
    for (distance, kind), of_group in sorted(groups.items()):
        over = sum(len(one.over) for one in of_group)
        most = max(of_group, key=lambda played: played.fullest.used)
        used = f"{most.fullest.used:.3f}"
        row = [distance, kind.value, len(of_group), over, used, most.case.seed]
        row += [_share(of_group, period) for period in Period]
        print("  ".join(str(cell).rjust(9) for cell in row))


def _share(plays: list[Played], period: Period) -> str:
    owed = sum(played.owed[period] for played in plays)
    refused = sum(played.refused[period] for played in plays)
    return f"{refused / owed:.4f}" if owed else "-"


def _print_over(played: Played):
    case = played.case
    for window in played.over:
        print(
            f"OVER: --seed {case.seed} --size {case.size} --distance {case.distance}"
            f" --kind {case.kind}: {window.workspace} let {window.count} through where"
            f" {window.bound:.1f} are allowed, in the window that ends at"
            f" {window.ends_at:.3f} s",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(search)
