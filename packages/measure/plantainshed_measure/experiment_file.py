"""Reads the INI file of an experiment."""

import configparser
from pathlib import Path

from attrs import frozen

from plantainshed_gateway.durations import parse_duration

from .placing_demand import Demand, Kind, Popularity, Waves
from .placing_policies import policies
from .placing_world import Noise, World

OPTIONS = {
    "experiment": {
        "policies",
        "round_trips",
        "vms",
        "popularities",
        "loads",
        "room",
        "seeds",
        "length",
        "count_from",
    },
    "callers": {
        "per_region",
        "rise",
        "waves",
        "phases",
        "priorities",
        "workspaces",
        "largest_workspace",
        "retries",
    },
    "world": {
        "targets_per_region",
        "domains_per_region",
        "vms_per_region",
        "slots",
        "queue",
        "remembers",
        "objects",
        "first_run",
        "later_run",
        "spread",
        "noise",
        "objective",
        "timeout",
        "reports",
    },
}


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
    vms : list of int
    popularities : list of Popularity
    loads : list of float
        In multiples of `room_per_s`.
    room_per_s : float
        Requests per second that all slots can run, or 1 if loads are rates.
    seeds : list of int
    seconds : float
        Length of a simulation.
    count_from_s : float
        Requests that are first sent before this time don't count.
    world : World
        Its number of VMs is that of the combination.
    demand : Demand
        Its rate and popularity are those of the combination.
    """

    policies: list[str]
    round_trips_s: list[float]
    vms: list[int]
    popularities: list[Popularity]
    loads: list[float]
    room_per_s: float
    seeds: list[int]
    seconds: float
    count_from_s: float
    world: World
    demand: Demand


def read_experiment(path: Path) -> Experiment:
    """Read and validate an experiment file; raise `BadExperiment` if it is invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        _reject_unknown(parser)
        section = parser["experiment"]
        world = _world(parser["world"])
        experiment = Experiment(
            policies=_list(section["policies"]),
            round_trips_s=[parse_duration(x) for x in _list(section["round_trips"])],
            vms=_vms(parser, world),
            popularities=[
                _popularity(x) for x in _list(section.get("popularities", "even"))
            ],
            loads=[float(x) for x in _list(section["loads"])],
            room_per_s=_room_per_s(section.get("room"), world),
            seeds=[int(x) for x in _list(section["seeds"])],
            seconds=parse_duration(section["length"]),
            count_from_s=parse_duration(section.get("count_from", "0s")),
            world=world,
            demand=_demand(parser, world),
        )
    except (OSError, configparser.Error, KeyError, ValueError, TypeError) as error:
        raise BadExperiment(f"{path}: {error}") from error
    unknown = set(experiment.policies) - policies().keys()
    if unknown:
        raise BadExperiment(f"{path}: unknown policy: {', '.join(sorted(unknown))}")
    return experiment


def _reject_unknown(parser: configparser.ConfigParser):
    for name in parser.sections():
        unknown = set(parser[name]) - OPTIONS.get(name, set())
        if name not in OPTIONS or unknown:
            raise ValueError(f"unknown in [{name}]: {', '.join(sorted(unknown))}")


def _world(section: configparser.SectionProxy) -> World:
    share, factor, every = _list(section.get("noise", "0, 1, 1s"))
    noise = Noise(float(share), float(factor), parse_duration(every))
    if not (0 <= noise.share <= 1 and noise.factor > 0 and noise.every_s > 0):
        raise ValueError("noise must be a share, a factor and a time, all positive")
    return World(
        targets_per_region=tuple(int(x) for x in _list(section["targets_per_region"])),
        domains_per_region=_positive_int(section.get("domains_per_region", "1")),
        slots=section.getint("slots"),
        queue=section.getint("queue"),
        remembers=section.getint("remembers"),
        first_run_s=parse_duration(section["first_run"]),
        later_run_s=parse_duration(section["later_run"]),
        spread=section.getfloat("spread", 0.0),
        noise=noise,
        objective_s=parse_duration(section["objective"]),
        timeout_s=parse_duration(section["timeout"]),
        has_reports=section.getboolean("reports", True),
    )


def _vms(parser: configparser.ConfigParser, world: World) -> list[int]:
    section = parser["experiment"]
    if ("vms" in section) == ("vms_per_region" in parser["world"]):
        raise ValueError("either vms or vms_per_region is needed")
    if "vms" in section:
        return [_positive_int(x) for x in _list(section["vms"])]
    per_region = _positive_int(parser["world"]["vms_per_region"])
    return [per_region * len(world.regions)]


def _demand(parser: configparser.ConfigParser, world: World) -> Demand:
    if not parser.has_section("callers"):
        parser.add_section("callers")
    section = parser["callers"]
    regions = tuple(float(x) for x in _list(section.get("per_region", "")))
    regions = regions or (1.0,) * len(world.regions)
    swing, period = _list(section.get("waves", "0, 1s"))
    phases = tuple(float(x) for x in _list(section.get("phases", "")))
    waves = Waves(float(swing), parse_duration(period), phases)
    if len(regions) != len(world.regions):
        raise ValueError("per_region needs one number for each region")
    if not 0 <= waves.swing <= 1:
        raise ValueError("the swing of waves must be from 0 to 1")
    if waves.swing and len(phases) != len(world.regions):
        raise ValueError("phases needs one number for each region")
    pairs = [pair.split(":") for pair in _list(section.get("priorities", "0: 1"))]
    return Demand(
        rate_per_s=1.0,
        objects=parser["world"].getint("objects"),
        regions=regions,
        rise_s=parse_duration(section.get("rise", "0s")),
        waves=waves,
        priorities={int(priority): float(share) for priority, share in pairs},
        workspaces=section.getint("workspaces", 0),
        largest_workspace=section.getfloat("largest_workspace", 0.0),
        retries=section.getint("retries", 0),
    )


def _popularity(text: str) -> Popularity:
    kind, *values = text.split()
    if kind == "even" and not values:
        return Popularity()
    if kind == "zipf" and len(values) == 1:
        return Popularity(Kind.ZIPF, exponent=float(values[0]))
    if kind == "one" and len(values) == 1:
        return Popularity(Kind.ONE, share=float(values[0]))
    if kind == "moving" and len(values) == 2:
        every_s = parse_duration(values[1])
        return Popularity(Kind.MOVING, share=float(values[0]), every_s=every_s)
    raise ValueError(
        f"popularity {text!r} must be 'even', 'zipf EXPONENT', 'one SHARE' or "
        "'moving SHARE DURATION'"
    )


def _room_per_s(room: str | None, world: World) -> float:
    if room is None:
        return 1.0
    if room == "warm":
        return world.warm_room_per_s
    if room == "cold":
        return world.cold_room_per_s
    raise ValueError("room must be 'warm' or 'cold'")


def _positive_int(text: str) -> int:
    number = int(text)
    if number < 1:
        raise ValueError(f"{text} must be at least 1")
    return number


def _list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]
