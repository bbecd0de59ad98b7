"""``python -m plantainshed_measure.experiment``: compare placement policies.

An INI file lists policies, loads, round-trip times and seeds. Each combination is
simulated on its own virtual clock. The table shows means over the seeds, and the
spread between the seeds of the share of requests that are answered in time.
"""

import itertools
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean

import fire
from attrs import evolve, frozen

from plantainshed_standins.memory_network import run_deterministically

from .experiment_file import Experiment, read_experiment
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


def compare(file: str = DEFAULT_FILE, jobs: int = 3, as_json: bool = False):
    """Simulate an experiment and print a table, or one line of JSON for each row.

    Parameters
    ----------
    file : str
    jobs : int
        Number of simulations that run in parallel, each on its own virtual clock.
    as_json : bool
    """
    experiment = read_experiment(Path(file))
    rows = simulate_all(experiment, jobs)
    if as_json:
        for row in rows:
            print(json.dumps(row))
    else:
        _print_table(rows)


def simulate_all(experiment: Experiment, jobs: int) -> list[dict]:
    """Simulate all combinations and return a row of figures for each."""
    all_combinations = combinations(experiment)
    with ProcessPoolExecutor(jobs) as pool:
        simulations = [
            [pool.submit(simulate, experiment, one, seed) for seed in experiment.seeds]
            for one in all_combinations
        ]
        figures = [
            [future.result().figures() for future in futures] for futures in simulations
        ]
    return [
        _row(combination, of_seeds)
        for combination, of_seeds in zip(all_combinations, figures, strict=True)
    ]


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
