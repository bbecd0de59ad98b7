"""The load that callers send in a limits simulation: rates and receiving VMs."""

import random

import trio
from attrs import frozen

from plantainshed_gateway.model import Workspace

from .limits_model import ModelFleet, VmLocation

STEP_S = 0.01
# Share of workspaces whose callers change their preferred VMs in each phase.
MOVING_SHARE = 0.6
HOT_WORKSPACE = "hot"
HOT_RATES = (4.0, 10.0, 26.0, 60.0)
QUIET_WORKSPACES = (
    Workspace("quiet", None, 8.0, 8.0),
    Workspace("small", None, 2.0, 4.0),
)
# Load as a multiple of a workspace's rate; up to 1, requests are within the rate.
BASE_LOADS = (0.2, 0.9)
HOT_LOADS = (1.5, 12.0)
PHASE_S = (1.0, 6.0)
# Weights for sending to all VMs, to those of a region, to those of a failure domain,
# or to a single VM.
PATTERN_WEIGHTS = (4, 2, 1, 1)
# Range of the share of requests that are sent to any VM, preferred or not.
OTHER_VM_SHARES = (0.0, 0.3)


@frozen
class LoadPhase:
    """The load of a workspace from a point in time until the next phase.

    Parameters
    ----------
    starts_at : float
    rate : float
        Total requests per second.
    preferred_vms : tuple of str
        VMs that receive most of the requests.
    other_vm_share : float
        Share of requests that are sent to any VM.
    """

    starts_at: float
    rate: float
    preferred_vms: tuple[str, ...]
    other_vm_share: float


def draw_workspaces(rng: random.Random) -> list[Workspace]:
    """Draw the workspaces of a simulation; only the first, hot one exceeds its rate."""
    rate = rng.choice(HOT_RATES)
    hot = Workspace(HOT_WORKSPACE, None, rate, round(rate * rng.uniform(0.5, 2.0)))
    return [hot, *QUIET_WORKSPACES]


def draw_load_phases(
    rng: random.Random,
    workspace: Workspace,
    locations: list[VmLocation],
    seconds: float,
    hot_from: float,
) -> list[LoadPhase]:
    """Draw the load of a workspace.

    The hot workspace exceeds its rate for a while from `hot_from` on.
    """
    phases = []
    at = 0.0
    is_moving = rng.random() < MOVING_SHARE
    hot_until = hot_from + rng.uniform(3.0, 15.0)
    preferred_vms = _draw_vms(rng, locations)
    while at < seconds:
        is_hot = workspace.name == HOT_WORKSPACE and hot_from <= at < hot_until
        load = rng.uniform(*(HOT_LOADS if is_hot else BASE_LOADS))
        if is_moving:
            preferred_vms = _draw_vms(rng, locations)
        rate = workspace.rate_per_s * load
        phases.append(LoadPhase(at, rate, preferred_vms, rng.uniform(*OTHER_VM_SHARES)))
        ends_at = at + rng.uniform(*PHASE_S)
        if workspace.name == HOT_WORKSPACE and at < hot_from:
            ends_at = min(ends_at, hot_from)
        at = ends_at
    return phases


def _draw_vms(rng: random.Random, locations: list[VmLocation]) -> tuple[str, ...]:
    """Draw all VMs, those of a region, those of a failure domain, or a single one."""
    one = rng.choice(locations)
    patterns = (
        locations,
        [location for location in locations if location.region == one.region],
        [
            location
            for location in locations
            if location.failure_domain == one.failure_domain
        ],
        [one],
    )
    preferred_vms = rng.choices(patterns, PATTERN_WEIGHTS)[0]
    return tuple(location.vm for location in preferred_vms)


async def send_requests(
    fleet: ModelFleet, name: str, phases: list[LoadPhase], rng: random.Random
):
    """Send a workspace's requests phase by phase until cancelled."""
    began_at = trio.current_time()
    upcoming = list(phases)
    phase = upcoming.pop(0)
    next_at = 0.0
    while True:
        at = trio.current_time() - began_at
        while upcoming and upcoming[0].starts_at <= at:
            phase = upcoming.pop(0)
            next_at = at
        while next_at <= at:
            next_at += rng.expovariate(phase.rate)
            _send_one(fleet, name, phase, rng)
        await trio.sleep(STEP_S)


def _send_one(fleet: ModelFleet, name: str, phase: LoadPhase, rng: random.Random):
    serving = fleet.serving_vms()
    if not serving:
        return
    preferred_vms = [vm for vm in phase.preferred_vms if vm in serving]
    if not preferred_vms or rng.random() < phase.other_vm_share:
        preferred_vms = sorted(serving)
    vm = serving[rng.choice(preferred_vms)]
    vm.nursery.start_soon(vm.serve, name, trio.current_time())
