"""``python -m plantainshed_measure.experiment``: compare placement policies.

An INI file lists policies, loads, round-trip times and seeds. Each combination is
simulated on its own virtual clock. The table shows means over the seeds, and the
spread between the seeds of the share of requests that are answered in time.
"""

import configparser
import itertools
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean

import fire
from attrs import frozen

from plantainshed_gateway.durations import parse_duration
from plantainshed_standins.memory_network import run_deterministically

from .placing_model import ModelFleet, World
from .placing_policies import policies

DEFAULT_FILE = "examples/experiments/far-regions.ini"
COLUMNS = ("in_time", "spread", "refused", "crossed", "first_runs", "opened", "mean_ms")


class BadExperiment(ValueError):
    """The experiment file is invalid; the message names the option."""


@frozen
class Experiment:
    """The combinations to compare.

    Parameters
    ----------
    policies : list of str
    round_trips_s : list of float
        Round-trip times between regions.
    loads : list of float
        Requests per second.
    seeds : list of int
    seconds : float
        Length of a simulation.
    world : World
    """

    policies: list[str]
    round_trips_s: list[float]
    loads: list[float]
    seeds: list[int]
    seconds: float
    world: World


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


def read_experiment(path: Path) -> Experiment:
    """Read and validate an experiment file; raise `BadExperiment` if it is invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        section, world = parser["experiment"], parser["world"]
        experiment = Experiment(
            policies=_list(section["policies"]),
            round_trips_s=[parse_duration(x) for x in _list(section["round_trips"])],
            loads=[float(x) for x in _list(section["loads"])],
            seeds=[int(x) for x in _list(section["seeds"])],
            seconds=parse_duration(section["length"]),
            world=World(
                targets_per_region=tuple(
                    int(x) for x in _list(world["targets_per_region"])
                ),
                vms_per_region=world.getint("vms_per_region"),
                slots=world.getint("slots"),
                queue=world.getint("queue"),
                remembers=world.getint("remembers"),
                objects=world.getint("objects"),
                first_run_s=parse_duration(world["first_run"]),
                later_run_s=parse_duration(world["later_run"]),
                objective_s=parse_duration(world["objective"]),
                timeout_s=parse_duration(world["timeout"]),
            ),
        )
    except (OSError, configparser.Error, KeyError, ValueError, TypeError) as error:
        raise BadExperiment(f"{path}: {error}") from error
    unknown = set(experiment.policies) - policies().keys()
    if unknown:
        raise BadExperiment(f"{path}: unknown policy: {', '.join(sorted(unknown))}")
    return experiment


def _list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def simulate_all(experiment: Experiment, jobs: int) -> list[dict]:
    """Simulate all combinations and return a row of figures for each."""
    combinations = list(
        itertools.product(
            experiment.round_trips_s, experiment.loads, experiment.policies
        )
    )
    with ProcessPoolExecutor(jobs) as pool:
        simulations = [
            [pool.submit(simulate, experiment, *one, seed) for seed in experiment.seeds]
            for one in combinations
        ]
        figures = [[future.result() for future in futures] for futures in simulations]
    return [
        _row(combination, of_seeds)
        for combination, of_seeds in zip(combinations, figures, strict=True)
    ]


def simulate(
    experiment: Experiment, round_trip_s: float, load: float, policy: str, seed: int
) -> dict[str, float]:
    """Simulate one combination with one seed and return its figures."""

    async def run():
        fleet = ModelFleet(experiment.world, policies()[policy], round_trip_s)
        await fleet.run(load, experiment.seconds, seed)
        return fleet.tally.figures()

    return run_deterministically(run, seed=seed)


def _row(combination: tuple[float, float, str], of_seeds: list[dict]) -> dict:
    round_trip_s, load, policy = combination
    means = {name: fmean(one[name] for one in of_seeds) for name in of_seeds[0]}
    in_time = [one["in_time"] for one in of_seeds]
    row = {"round_trip_ms": round(1000 * round_trip_s, 1), "load": load}
    row |= {"policy": policy, "spread": round(max(in_time) - min(in_time), 3)}
    return row | {name: round(value, 3) for name, value in means.items()}


def _print_table(rows: list[dict]):
    names = ("round_trip_ms", "load", "policy", *COLUMNS)
    widths = {
        name: max(len(name), *(len(str(row[name])) for row in rows)) for name in names
    }
    print("  ".join(name.ljust(widths[name]) for name in names))
    for row in rows:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in names))


if __name__ == "__main__":
    fire.Fire(compare)
