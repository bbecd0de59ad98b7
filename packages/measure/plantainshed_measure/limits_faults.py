"""Faults of a play of limits, drawn from its seed."""

import contextlib
import random
from collections.abc import Callable, Iterator
from enum import StrEnum

import trio
from attrs import evolve, frozen

from .limits_checks import Period
from .limits_demand import HOT
from .limits_model import ModelFleet, Place

# Time after a fault in which VMs hear of each other again and shares move.
HEALING_S = 8.0
# Time that a fleet has before the first fault.
WARM_S = 0.3
# When a cut begins that VMs which have just started do not see coming.
EARLY_S = (0.1, 2.0)
LENGTHS_S = (1.0, 14.0)
SHORT_S = (0.3, 5.0)
QUOTA_FACTORS = (0.3, 0.5, 1.5, 3.0)
# Time between a VM's word that it leaves and its end.
LEAVING_S = 2.0
# Longest time that a VM looks for a target before it gives a request up.
ROUTE_TIMEOUT_S = 1.2
# Part of a mix's faults that do not begin while the first goes on.
APART_PART = 0.3


class Kind(StrEnum):
    """What goes wrong."""

    CALM = "calm"
    ISOLATED = "isolated"
    SPLIT = "split"
    ONE_WAY = "one-way"
    FROZEN = "frozen"
    RESTARTED = "restarted"
    JOINING = "joining"
    QUOTA = "quota"
    ALL_OFF = "all-off"
    STORE = "store"
    TARGETS = "targets"
    EARLY = "early"
    MIXED = "mixed"


CUTS = (Kind.ISOLATED, Kind.SPLIT, Kind.ONE_WAY)


@frozen
class Fault:
    """One fault of a play.

    Parameters
    ----------
    kind : Kind
    starts_at, ends_at : float
        Seconds from the start of the play.
    vms : tuple of str
    choice : float
        From 0 to 1; draws what else a kind leaves open.
    """

    kind: Kind
    starts_at: float
    ends_at: float
    vms: tuple[str, ...]
    choice: float

    async def play(self, fleet: ModelFleet):
        """Let it happen and end."""
        await trio.sleep(self.starts_at)
        async with _FAULTS[self.kind](fleet, self):
            await trio.sleep(self.ends_at - self.starts_at)


def draw_faults(
    kind: Kind, rng: random.Random, places: list[Place], seconds: float
) -> list[Fault]:
    """Return a play's faults."""
    if kind is Kind.CALM:
        return []
    if kind is Kind.EARLY:
        fault = _draw(rng.choice(CUTS), rng, places, seconds)
        length_s = fault.ends_at - fault.starts_at
        starts_at = rng.uniform(*EARLY_S)
        return [evolve(fault, starts_at=starts_at, ends_at=starts_at + length_s)]
    if kind is not Kind.MIXED:
        return [_draw(kind, rng, places, seconds)]
    kinds = [one for one in _FAULTS if one is not Kind.ALL_OFF]
    count = rng.choice((2, 2, 3, 4))
    first, *others = [
        _draw(rng.choice(kinds), rng, places, seconds) for _ in range(count)
    ]
    return [first, *(_moved(fault, first, rng) for fault in others)]


def _moved(fault: Fault, first: Fault, rng: random.Random) -> Fault:
    """Return a fault that mostly begins while the first goes on."""
    if rng.random() < APART_PART:
        return fault
    starts_at = rng.uniform(first.starts_at, first.ends_at)
    ends_at = starts_at + fault.ends_at - fault.starts_at
    return evolve(fault, starts_at=starts_at, ends_at=ends_at)


def _draw(kind: Kind, rng: random.Random, places: list[Place], seconds: float) -> Fault:
    is_short = kind in (Kind.FROZEN, Kind.RESTARTED, Kind.ALL_OFF)
    length_s = rng.uniform(*(SHORT_S if is_short else LENGTHS_S))
    latest = max(WARM_S, seconds - length_s - HEALING_S)
    starts_at = rng.uniform(WARM_S, latest)
    vms = _drawn_vms(rng, places)
    return Fault(kind, starts_at, starts_at + length_s, vms, rng.random())


def _drawn_vms(rng: random.Random, places: list[Place]) -> tuple[str, ...]:
    """Return some VMs, all of a failure domain, or all of a region."""
    one = rng.choice(places)
    patterns = (
        rng.sample(places, rng.randint(1, max(1, len(places) // 2))),
        [place for place in places if place.failure_domain == one.failure_domain],
        [place for place in places if place.region == one.region],
    )
    return tuple(place.vm for place in rng.choice((patterns[0], *patterns)))


def period_at(faults: list[Fault], at: float) -> Period:
    """Return what the fleet goes through at a time of the play."""
    if any(fault.starts_at <= at < fault.ends_at for fault in faults):
        return Period.FAULT
    if any(fault.ends_at <= at < fault.ends_at + HEALING_S for fault in faults):
        return Period.HEALING
    return Period.CALM


def _ips(fleet: ModelFleet, fault: Fault) -> set[str]:
    return {fleet.places[vm].ip for vm in fault.vms if vm in fleet.places}


@contextlib.contextmanager
def _cut(fleet: ModelFleet, is_cut: Callable[[str, str], bool]) -> Iterator[None]:
    fleet.network.cuts.append(is_cut)
    try:
        yield
    finally:
        fleet.network.cuts.remove(is_cut)


@contextlib.asynccontextmanager
async def _isolated(fleet: ModelFleet, fault: Fault):
    """Cut each VM off from all others."""
    ips = _ips(fleet, fault)
    with _cut(fleet, lambda sender, receiver: sender in ips or receiver in ips):
        yield


@contextlib.asynccontextmanager
async def _split(fleet: ModelFleet, fault: Fault):
    """Let some VMs reach each other only, and the others each other."""
    ips = _ips(fleet, fault)
    with _cut(fleet, lambda sender, receiver: (sender in ips) != (receiver in ips)):
        yield


@contextlib.asynccontextmanager
async def _one_way(fleet: ModelFleet, fault: Fault):
    """Let some VMs be heard by nobody, or hear nobody."""
    ips = _ips(fleet, fault)
    is_mute = fault.choice < 0.5

    def is_cut(sender, receiver):
        if is_mute:
            return sender in ips and receiver not in ips
        return receiver in ips and sender not in ips

    with _cut(fleet, is_cut):
        yield


@contextlib.asynccontextmanager
async def _frozen(fleet: ModelFleet, fault: Fault):
    """Let processes stand still."""
    frozen_vms = [fleet.running[vm] for vm in fault.vms if vm in fleet.running]
    for vm in frozen_vms:
        vm.freeze()
    yield
    for vm in frozen_vms:
        await vm.thaw()


@contextlib.asynccontextmanager
async def _restarted(fleet: ModelFleet, fault: Fault):
    """End VMs at once and start them anew."""
    for vm in fault.vms:
        fleet.stop(vm)
    yield
    for vm in fault.vms:
        if vm not in fleet.running:
            fleet.start(fleet.places[vm])


@contextlib.asynccontextmanager
async def _all_off(fleet: ModelFleet, fault: Fault):
    """End all VMs at once and start them anew, a little apart."""
    places = [vm.place for vm in fleet.running.values()]
    for place in places:
        fleet.stop(place.vm)
    yield
    for place in places:
        fleet.start(place)
        await trio.sleep(fault.choice * 0.1)


@contextlib.asynccontextmanager
async def _joining(fleet: ModelFleet, fault: Fault):
    """Let as many new VMs join, and leave again."""
    joined = []
    for vm in fault.vms:
        beside = fleet.places[vm]
        ip = f"{beside.ip}-{fleet.incarnation}"
        name = f"{vm}-more-{fleet.incarnation}"
        place = Place(name, ip, beside.failure_domain, beside.region)
        joined.append(fleet.start(place))
    yield
    for vm in joined:
        await vm.leave()
    await trio.sleep(LEAVING_S)
    for vm in joined:
        fleet.stop(vm.place.vm)


@contextlib.asynccontextmanager
async def _quota(fleet: ModelFleet, fault: Fault):
    """Change a quota, and change it back."""
    before = fleet.workspaces[HOT]
    factor = QUOTA_FACTORS[int(fault.choice * len(QUOTA_FACTORS))]
    fleet.change_quota(HOT, before.rate_per_s * factor, before.burst * factor)
    yield
    fleet.change_quota(HOT, before.rate_per_s, before.burst)


@contextlib.asynccontextmanager
async def _store(fleet: ModelFleet, fault: Fault):
    """Let the store answer nobody."""
    fleet.is_store_away = True
    yield
    fleet.is_store_away = False


@contextlib.asynccontextmanager
async def _targets(fleet: ModelFleet, fault: Fault):
    """Let no target take a request, so that VMs give tokens back."""
    fleet.looks_s = fault.choice * ROUTE_TIMEOUT_S
    yield
    fleet.looks_s = None


_FAULTS = {
    Kind.ISOLATED: _isolated,
    Kind.SPLIT: _split,
    Kind.ONE_WAY: _one_way,
    Kind.FROZEN: _frozen,
    Kind.RESTARTED: _restarted,
    Kind.JOINING: _joining,
    Kind.QUOTA: _quota,
    Kind.ALL_OFF: _all_off,
    Kind.STORE: _store,
    Kind.TARGETS: _targets,
}
