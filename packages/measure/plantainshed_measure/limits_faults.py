"""Faults that a limits simulation injects, drawn from its seed."""

import contextlib
import random
from collections.abc import Callable, Iterator
from enum import StrEnum

import trio
from attrs import evolve, frozen

from .limits_checks import Period
from .limits_demand import HOT_WORKSPACE
from .limits_model import ModelFleet, VmLocation

# Time after the end of a fault until the VMs have received each other's heartbeats
# again and have redistributed the shares of the quota.
HEALING_S = 8.0
# Earliest start of a fault, except for an early network cut.
WARMUP_S = 0.3
# Start of an early network cut, which hits VMs that have only just started.
EARLY_START_S = (0.1, 2.0)
LENGTHS_S = (1.0, 14.0)
SHORT_LENGTHS_S = (0.3, 5.0)
QUOTA_FACTORS = (0.3, 0.5, 1.5, 3.0)
# Time between a VM's announcement that it is leaving and its stop.
LEAVE_DELAY_S = 2.0
# Longest time that a VM searches for a target before it gives up on a request.
ROUTE_TIMEOUT_S = 1.2
# Share of the later faults of a mix whose start is not moved into the first fault.
SEPARATE_SHARE = 0.3


class FaultKind(StrEnum):
    """The kinds of fault."""

    CALM = "calm"
    ISOLATED = "isolated"
    SPLIT = "split"
    ONE_WAY = "one-way"
    FROZEN = "frozen"
    RESTARTED = "restarted"
    JOINING = "joining"
    REPLACED = "replaced"
    FIRST_START = "first-start"
    LOST_WRITES = "lost-writes"
    QUOTA = "quota"
    ALL_OFF = "all-off"
    STORE = "store"
    TARGETS = "targets"
    EARLY = "early"
    MIXED = "mixed"


# Kinds in which answers of the store may be old, and the largest age of one.
OLD_ANSWER_KINDS = (FaultKind.REPLACED, FaultKind.FIRST_START, FaultKind.LOST_WRITES)
OLD_ANSWER_S = 3.0
# Kinds in which the store does not list the VMs before they start.
UNLISTED_KINDS = (FaultKind.FIRST_START, FaultKind.LOST_WRITES)
# Share of the writes whose answers are lost, and how long the store then answers
# nothing to the writer.
LOST_WRITES_SHARE = 0.5
UNREADABLE_S = 1.0
# Kinds that faults drawn for a mix do not include.
NOT_MIXED = (FaultKind.ALL_OFF, FaultKind.REPLACED)
CUT_KINDS = (FaultKind.ISOLATED, FaultKind.SPLIT, FaultKind.ONE_WAY)


@frozen
class Fault:
    """One fault of a simulation.

    Parameters
    ----------
    kind : FaultKind
    starts_at, ends_at : float
        Seconds from the start of the simulation.
    vms : tuple of str
        The VMs that it affects.
    variant : float
        A random number from 0 to 1 that selects a variant of the fault, such as its
        direction or its size.
    """

    kind: FaultKind
    starts_at: float
    ends_at: float
    vms: tuple[str, ...]
    variant: float

    async def inject(self, fleet: ModelFleet):
        """Wait for the start of the fault, inject it, and revert it at its end."""
        await trio.sleep(self.starts_at)
        async with _INJECTORS[self.kind](fleet, self):
            await trio.sleep(self.ends_at - self.starts_at)


def draw_faults(
    kind: FaultKind, rng: random.Random, locations: list[VmLocation], seconds: float
) -> list[Fault]:
    """Draw the faults of a simulation."""
    if kind in (FaultKind.CALM, FaultKind.FIRST_START):
        return []
    if kind in (FaultKind.EARLY, FaultKind.LOST_WRITES):
        fault = _draw_fault(rng.choice(CUT_KINDS), rng, locations, seconds)
        length_s = fault.ends_at - fault.starts_at
        starts_at = rng.uniform(*EARLY_START_S)
        return [evolve(fault, starts_at=starts_at, ends_at=starts_at + length_s)]
    if kind is not FaultKind.MIXED:
        return [_draw_fault(kind, rng, locations, seconds)]
    kinds = [one for one in _INJECTORS if one not in NOT_MIXED]
    count = rng.choice((2, 2, 3, 4))
    first, *others = [
        _draw_fault(rng.choice(kinds), rng, locations, seconds) for _ in range(count)
    ]
    return [first, *(_move_into_first(fault, first, rng) for fault in others)]


def _move_into_first(fault: Fault, first: Fault, rng: random.Random) -> Fault:
    """Let a fault begin during the first one, except for a share of the faults."""
    if rng.random() < SEPARATE_SHARE:
        return fault
    starts_at = rng.uniform(first.starts_at, first.ends_at)
    ends_at = starts_at + fault.ends_at - fault.starts_at
    return evolve(fault, starts_at=starts_at, ends_at=ends_at)


def _draw_fault(
    kind: FaultKind, rng: random.Random, locations: list[VmLocation], seconds: float
) -> Fault:
    is_short = kind in (FaultKind.FROZEN, FaultKind.RESTARTED, FaultKind.ALL_OFF)
    length_s = rng.uniform(*(SHORT_LENGTHS_S if is_short else LENGTHS_S))
    latest = max(WARMUP_S, seconds - length_s - HEALING_S)
    starts_at = rng.uniform(WARMUP_S, latest)
    vms = _draw_vms(rng, locations)
    return Fault(kind, starts_at, starts_at + length_s, vms, rng.random())


def _draw_vms(rng: random.Random, locations: list[VmLocation]) -> tuple[str, ...]:
    """Draw several VMs, all VMs of a failure domain, or all VMs of a region."""
    one = rng.choice(locations)
    patterns = (
        rng.sample(locations, rng.randint(1, max(1, len(locations) // 2))),
        [
            location
            for location in locations
            if location.failure_domain == one.failure_domain
        ],
        [location for location in locations if location.region == one.region],
    )
    return tuple(location.vm for location in rng.choice((patterns[0], *patterns)))


def period_at(faults: list[Fault], at: float) -> Period:
    """Return the period that a time of the simulation belongs to."""
    if any(fault.starts_at <= at < fault.ends_at for fault in faults):
        return Period.FAULT
    if any(fault.ends_at <= at < fault.ends_at + HEALING_S for fault in faults):
        return Period.HEALING
    return Period.CALM


def _fault_ips(fleet: ModelFleet, fault: Fault) -> set[str]:
    return {fleet.locations[vm].ip for vm in fault.vms if vm in fleet.locations}


@contextlib.contextmanager
def _block_datagrams(
    fleet: ModelFleet, is_blocked: Callable[[str, str], bool]
) -> Iterator[None]:
    fleet.network.block_rules.append(is_blocked)
    try:
        yield
    finally:
        fleet.network.block_rules.remove(is_blocked)


@contextlib.asynccontextmanager
async def _isolated(fleet: ModelFleet, fault: Fault):
    """Block all datagrams from and to the affected VMs."""
    ips = _fault_ips(fleet, fault)
    with _block_datagrams(
        fleet, lambda sender, receiver: sender in ips or receiver in ips
    ):
        yield


@contextlib.asynccontextmanager
async def _split(fleet: ModelFleet, fault: Fault):
    """Partition the network between the affected VMs and all others."""
    ips = _fault_ips(fleet, fault)
    with _block_datagrams(
        fleet, lambda sender, receiver: (sender in ips) != (receiver in ips)
    ):
        yield


@contextlib.asynccontextmanager
async def _one_way(fleet: ModelFleet, fault: Fault):
    """Block the datagrams from the affected VMs to all others, or the reverse."""
    ips = _fault_ips(fleet, fault)
    blocks_outgoing = fault.variant < 0.5

    def is_blocked(sender, receiver):
        if blocks_outgoing:
            return sender in ips and receiver not in ips
        return receiver in ips and sender not in ips

    with _block_datagrams(fleet, is_blocked):
        yield


@contextlib.asynccontextmanager
async def _frozen(fleet: ModelFleet, fault: Fault):
    """Pause the processes of the affected VMs."""
    paused_vms = [fleet.running[vm] for vm in fault.vms if vm in fleet.running]
    for vm in paused_vms:
        vm.pause()
    yield
    for vm in paused_vms:
        await vm.resume()


@contextlib.asynccontextmanager
async def _restarted(fleet: ModelFleet, fault: Fault):
    """Stop the affected VMs immediately, and start them again at the end."""
    for vm in fault.vms:
        fleet.stop(vm)
    yield
    for vm in fault.vms:
        if vm not in fleet.running:
            fleet.start(fleet.locations[vm])


@contextlib.asynccontextmanager
async def _all_off(fleet: ModelFleet, fault: Fault):
    """Stop all VMs immediately, and start them again one after another."""
    locations = [vm.location for vm in fleet.running.values()]
    for location in locations:
        fleet.stop(location.vm)
    yield
    for location in locations:
        fleet.start(location)
        await trio.sleep(fault.variant * 0.1)


@contextlib.asynccontextmanager
async def _joining(fleet: ModelFleet, fault: Fault):
    """Add one new VM for each affected VM, and remove the new VMs again."""
    joined = []
    for vm in fault.vms:
        if vm in fleet.locations:
            joined.append(fleet.start(_new_location(fleet, vm, f"{vm}-more")))
    yield
    for vm in joined:
        await vm.announce_leaving()
    await trio.sleep(LEAVE_DELAY_S)
    for vm in joined:
        fleet.stop(vm.location.vm)


@contextlib.asynccontextmanager
async def _replaced(fleet: ModelFleet, fault: Fault):
    """Stop the affected VMs; start others at new addresses, some with the same names.

    The entries of VMs whose names are not used again are removed from the store.
    """
    replaced = [vm for vm in fault.vms if vm in fleet.running]
    for vm in replaced:
        fleet.stop(vm)
    yield
    for index, vm in enumerate(replaced):
        keeps_name = (index + fault.variant) % 2 < 1
        location = _new_location(fleet, vm, f"{vm}-new")
        if keeps_name:
            location = evolve(location, vm=vm)
        else:
            fleet.store.delete(vm)
        fleet.start(location)


def _new_location(fleet: ModelFleet, vm: str, name: str) -> VmLocation:
    """Return a location with a new name and address in the failure domain of a VM."""
    existing = fleet.locations[vm]
    number = fleet.incarnation
    return evolve(existing, vm=f"{name}-{number}", ip=f"{existing.ip}-{number}")


@contextlib.asynccontextmanager
async def _quota(fleet: ModelFleet, fault: Fault):
    """Change the quota of the hot workspace, and restore it."""
    before = fleet.workspaces[HOT_WORKSPACE]
    factor = QUOTA_FACTORS[int(fault.variant * len(QUOTA_FACTORS))]
    fleet.change_quota(HOT_WORKSPACE, before.rate_per_s * factor, before.burst * factor)
    yield
    fleet.change_quota(HOT_WORKSPACE, before.rate_per_s, before.burst)


@contextlib.asynccontextmanager
async def _store(fleet: ModelFleet, fault: Fault):
    """Make the store unavailable to all VMs."""
    fleet.is_store_down = True
    yield
    fleet.is_store_down = False


@contextlib.asynccontextmanager
async def _targets(fleet: ModelFleet, fault: Fault):
    """Make all targets reject requests, so that VMs return quota tokens."""
    fleet.target_search_s = fault.variant * ROUTE_TIMEOUT_S
    yield
    fleet.target_search_s = None


_INJECTORS = {
    FaultKind.ISOLATED: _isolated,
    FaultKind.SPLIT: _split,
    FaultKind.ONE_WAY: _one_way,
    FaultKind.FROZEN: _frozen,
    FaultKind.RESTARTED: _restarted,
    FaultKind.JOINING: _joining,
    FaultKind.REPLACED: _replaced,
    FaultKind.QUOTA: _quota,
    FaultKind.ALL_OFF: _all_off,
    FaultKind.STORE: _store,
    FaultKind.TARGETS: _targets,
}
