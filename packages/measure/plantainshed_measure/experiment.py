"""``python -m plantainshed_measure.experiment``: compare placement policies.

An INI file lists policies, loads, round-trip times and seeds. Each combination is
simulated on its own virtual clock. The table shows means over the seeds, and the
spread between the seeds of the share of requests that are answered in time.
"""

import itertools
import json
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean

import fire
from attrs import evolve, frozen

from plantainshed_standins.memory_network import run_deterministically

from .experiment_file import Experiment, read_experiment
from .experiment_plot import plot_by_second
from .placing_demand import Popularity
from .placing_model import ModelFleet
from .placing_policies import policies
from .placing_tally import Tally

DEFAULT_FILE = "examples/experiments/far-regions.ini"
COLUMNS = (
    "in_time",
    "spread",
    "late",
    "refused",
    "crossed",
    "first_runs",
    "opened",
    "mean_ms",
)
# Columns of figures that only some experiments have.
OPTIONAL_COLUMNS = ("in_time_priority", "refused_priority", "worst_workspace")


@frozen
class Combination:
    """One setting of all options of which an experiment lists several."""

    vms: int
    round_trip_s: float
    popularity: Popularity
    load: float
    policy: str

    @property
    def text(self) -> str:
        """The options other than the policy."""
        round_trip_ms = round(1000 * self.round_trip_s, 1)
        return (
            f"{self.vms} VMs, {round_trip_ms} ms round trip, popularity "
            f"{self.popularity.text}, load {self.load:g}"
        )


def compare(
    file: str = DEFAULT_FILE, jobs: int = 3, as_json: bool = False, plot: int = 0
):
    """Simulate an experiment and print a table, or one line of JSON for each row.

    Parameters
    ----------
    file : str
    jobs : int
        Number of simulations that run in parallel, each on its own virtual clock.
    as_json : bool
    plot : int
        With ``--plot``, only the first combination of the options other than the
        policy is simulated, and for each policy the outcomes are plotted by second;
        with ``--plot=N``, the N-th.
    """
    experiment = read_experiment(Path(file))
    if plot:
        _plot(experiment, int(plot), jobs)
        return
    rows = simulate_all(experiment, jobs)
    if as_json:
        for row in rows:
            print(json.dumps(row))
    else:
        _print_table(rows)


def _plot(experiment: Experiment, number: int, jobs: int):
    count = len(experiment.policies)
    chosen = combinations(experiment)[(number - 1) * count : number * count]
    if number < 1 or not chosen:
        raise SystemExit(f"There is no combination {number} of the options.")
    print(chosen[0].text)
    for one, of_seeds in zip(
        chosen, _simulate_each(experiment, chosen, jobs), strict=True
    ):
        print(plot_by_second(one.policy, of_seeds))


def simulate_all(experiment: Experiment, jobs: int) -> list[dict]:
    """Simulate all combinations and return a row of figures for each."""
    chosen = combinations(experiment)
    return [
        _row(one, [tally.figures() for tally in of_seeds])
        for one, of_seeds in zip(
            chosen, _simulate_each(experiment, chosen, jobs), strict=True
        )
    ]


def _simulate_each(
    experiment: Experiment, chosen: list[Combination], jobs: int
) -> Iterator[list[Tally]]:
    """Yield the outcomes of each combination with all seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        simulations = [
            [pool.submit(simulate, experiment, one, seed) for seed in experiment.seeds]
            for one in chosen
        ]
        for futures in simulations:
            yield [future.result() for future in futures]


def combinations(experiment: Experiment) -> list[Combination]:
    """Return all combinations in the order of the table."""
    return [
        Combination(*one)
        for one in itertools.product(
            experiment.vms,
            experiment.round_trips_s,
            experiment.popularities,
            experiment.loads,
            experiment.policies,
        )
    ]


def simulate(experiment: Experiment, one: Combination, seed: int) -> Tally:
    """Simulate one combination with one seed and return its outcomes."""
    world = evolve(experiment.world, vms=one.vms)
    demand = evolve(
        experiment.demand,
        rate_per_s=one.load * experiment.room_per_s,
        popularity=one.popularity,
    )

    async def run():
        fleet = ModelFleet(world, policies()[one.policy], one.round_trip_s, demand)
        await fleet.run(experiment.seconds, seed, experiment.count_from_s)
        return fleet.tally

    return run_deterministically(run, seed=seed)


def _row(one: Combination, of_seeds: list[dict]) -> dict:
    in_time = [figures["in_time"] for figures in of_seeds]
    row = {
        "vms": one.vms,
        "round_trip_ms": round(1000 * one.round_trip_s, 1),
        "popularity": one.popularity.text,
        "load": one.load,
        "policy": one.policy,
        "spread": round(max(in_time) - min(in_time), 3),
    }
    # A rare priority may be missing from some of the seeds.
    names = {name: None for figures in of_seeds for name in figures}
    return row | {
        name: round(fmean(f[name] for f in of_seeds if name in f), 3) for name in names
    }


def _print_table(rows: list[dict]):
    # Options with one value, and figures that don't apply, are left out.
    names = [
        name
        for name in ("vms", "round_trip_ms", "popularity", "load")
        if name == "load" or len({row[name] for row in rows}) > 1
    ]
    names += ["policy", *COLUMNS]
    names += [name for name in rows[0] if name.startswith(OPTIONAL_COLUMNS)]
    widths = {
        name: max(len(name), *(len(str(row[name])) for row in rows)) for name in names
    }
    print("  ".join(name.ljust(widths[name]) for name in names))
    for row in rows:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in names))


if __name__ == "__main__":
    fire.Fire(compare)
