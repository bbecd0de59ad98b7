"""What callers send in a play of limits: how much, and to which VMs."""

import random

import trio
from attrs import frozen

from plantainshed_gateway.model import Workspace

from .limits_model import ModelFleet, Place

STEP_S = 0.01
# Part of workspaces whose callers move between VMs.
MOVING_PART = 0.6
HOT = "hot"
HOT_RATES = (4.0, 10.0, 26.0, 60.0)
QUIET = (Workspace("quiet", None, 8.0, 8.0), Workspace("small", None, 2.0, 4.0))
# Of a workspace's rate; the last at which requests count as within it is 1.
BASE_LOADS = (0.2, 0.9)
HOT_LOADS = (1.5, 12.0)
PATTERN_S = (1.0, 6.0)
# How often requests come to all VMs, a region's, a failure domain's, or one.
PATTERN_WEIGHTS = (4, 2, 1, 1)
# Share of requests that come to VMs which a pattern doesn't name.
ELSEWHERE = (0.0, 0.3)


@frozen
class Stretch:
    """What callers of a workspace send from a time on.

    Parameters
    ----------
    starts_at : float
    rate : float
        Requests a second in all.
    chosen : tuple of str
        VMs that most go to.
    elsewhere : float
        Share of requests that go to any VM.
    """

    starts_at: float
    rate: float
    chosen: tuple[str, ...]
    elsewhere: float


def draw_workspaces(rng: random.Random) -> list[Workspace]:
    """Return the workspaces of a play; the first is to go over its rate."""
    rate = rng.choice(HOT_RATES)
    hot = Workspace(HOT, None, rate, round(rate * rng.uniform(0.5, 2.0)))
    return [hot, *QUIET]


def draw_stretches(
    rng: random.Random,
    workspace: Workspace,
    places: list[Place],
    seconds: float,
    hot_from: float,
) -> list[Stretch]:
    """Return what a workspace's callers send, hot from a time on if it is to be."""
    stretches = []
    at = 0.0
    is_moving = rng.random() < MOVING_PART
    hot_until = hot_from + rng.uniform(3.0, 15.0)
    chosen = _chosen(rng, places)
    while at < seconds:
        is_hot = workspace.name == HOT and hot_from <= at < hot_until
        load = rng.uniform(*(HOT_LOADS if is_hot else BASE_LOADS))
        if is_moving:
            chosen = _chosen(rng, places)
        rate = workspace.rate_per_s * load
        stretches.append(Stretch(at, rate, chosen, rng.uniform(*ELSEWHERE)))
        ends_at = at + rng.uniform(*PATTERN_S)
        if workspace.name == HOT and at < hot_from:
            ends_at = min(ends_at, hot_from)
        at = ends_at
    return stretches


def _chosen(rng: random.Random, places: list[Place]) -> tuple[str, ...]:
    """Return all VMs, those of a region or of a failure domain, or one."""
    one = rng.choice(places)
    patterns = (
        places,
        [place for place in places if place.region == one.region],
        [place for place in places if place.failure_domain == one.failure_domain],
        [one],
    )
    chosen = rng.choices(patterns, PATTERN_WEIGHTS)[0]
    return tuple(place.vm for place in chosen)


async def send(
    fleet: ModelFleet, name: str, stretches: list[Stretch], rng: random.Random
):
    """Send a workspace's requests until the last stretch's fleet is stopped."""
    began_at = trio.current_time()
    upcoming = list(stretches)
    now_in = upcoming.pop(0)
    next_at = 0.0
    while True:
        at = trio.current_time() - began_at
        while upcoming and upcoming[0].starts_at <= at:
            now_in = upcoming.pop(0)
            next_at = at
        while next_at <= at:
            next_at += rng.expovariate(now_in.rate)
            _send_one(fleet, name, now_in, rng)
        await trio.sleep(STEP_S)


def _send_one(fleet: ModelFleet, name: str, stretch: Stretch, rng: random.Random):
    serving = fleet.serving()
    if not serving:
        return
    chosen = [vm for vm in stretch.chosen if vm in serving]
    if not chosen or rng.random() < stretch.elsewhere:
        chosen = sorted(serving)
    vm = serving[rng.choice(chosen)]
    vm.nursery.start_soon(vm.serve, name, trio.current_time())
