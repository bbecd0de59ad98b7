"""The placement policies that an experiment compares."""

import itertools
import math
from collections.abc import Mapping
from typing import Protocol

import trio
from attrs import frozen

from plantainshed_coordination.digests import rendezvous_order, weighted_score
from plantainshed_gateway.call import Call
from plantainshed_gateway.model import Route
from plantainshed_gateway.selection.load_reports import FleetLoad
from plantainshed_gateway.selection.placement import Placement
from plantainshed_gateway.selection.registry import Registry, TargetState

from .placing_world import World

# Averaging time of the rates at which objects are requested.
RATE_AVERAGING_S = 3.0
# Offered work per slot above which `Informed` gives no object a further owner. A first
# run takes as long as three others, for which there is then too little room.
MAX_OFFERED_FOR_OWNERS = 0.9
# Longest wait of less urgent requests if the work offered exceeds the slots, as a
# fraction of a later run. Urgent requests can then wait for the slots instead.
LESS_URGENT_WAIT_RATIO = 0.25
# Time between two further owners of an object. The first has begun to help by then.
OWNER_INTERVAL_S = 1.0


class PolicyTarget(Protocol):
    """The true state of a target, which only reference policies use."""

    failure_domain: str
    outstanding: int

    def will_remember(self, name: str) -> bool:
        """Return whether the next run for an object won't be a first one."""

    def expected_wait_s(self) -> float:
        """Return how long a request that arrives now would wait for a slot."""

    def slowdown_at(self, at: float) -> float:
        """Return how long work takes at a time, as a multiple of the usual."""


class PolicyFleet(Protocol):
    """The part of a fleet that reference policies use."""

    world: World
    routes: Mapping[int, Route]
    targets: Mapping[str, PolicyTarget]

    def round_trip_s(self, domain: str, other: str) -> float:
        """Return the round-trip time between two failure domains."""


class PolicyVm(Protocol):
    """The part of a VM that policies use.

    Attributes
    ----------
    load : FleetLoad
        The load that the VMs report. Its `own` tracker counts requests and what is in
        flight without the policy's help.
    """

    failure_domain: str
    fleet: PolicyFleet
    load: FleetLoad
    placement: Placement
    placement_by_answers: Placement
    registry: Registry

    def states(self) -> list[TargetState]:
        """Return all targets as the VM sees them."""


@frozen
class Refusal:
    """Refuses a request.

    Parameters
    ----------
    retry_after_s : float or None
        When the caller is told to come back; None if it is told nothing.
    """

    retry_after_s: float | None = None


class ChooseTarget(Protocol):
    """Returns the target for a request; None or a `Refusal` refuses the request."""

    def __call__(self, vm: PolicyVm, call: Call) -> TargetState | Refusal | None:
        """Choose a target for one request."""


@frozen
class PlacementPolicy:
    """A named way to choose targets for requests.

    Parameters
    ----------
    name : str
    choose : ChooseTarget
    counts_requests : bool
        Whether `choose` records itself what callers ask for.
    """

    name: str
    choose: ChooseTarget
    counts_requests: bool = False


def choose_like_gateway(vm: PolicyVm, call: Call) -> TargetState | Refusal:
    """Choose a target with the gateway's own placement."""
    state = vm.placement.choose(call, vm.registry.configuration, set(), [])
    return state or Refusal(vm.placement.retry_after_s(call) or None)


def choose_by_answers(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose like the gateway while no VM reports its load."""
    return vm.placement_by_answers.choose(call, vm.registry.configuration, set(), [])


def choose_single_owner(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose the object's owner among all targets of the fleet, regardless of its load.

    The owner is the target with the highest rendezvous hashing score.
    """
    name = call.request.affinity
    return max(
        vm.states(), key=lambda state: weighted_score(name, state.entry.instance, 1.0)
    )


def choose_least_loaded(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose the target with the lowest load, as far as this VM knows."""
    tie_breaker = vm.placement.random.random
    return min(vm.states(), key=lambda state: (state.occupancy, tie_breaker()))


def choose_random(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose a target at random."""
    return vm.placement.random.choice(vm.states())


class RoundRobin:
    """Chooses the targets in turn, regardless of the object."""

    def __init__(self):
        self.counter = itertools.count()

    def __call__(self, vm: PolicyVm, call: Call) -> TargetState | None:
        """Choose the next target."""
        states = vm.states()
        return states[next(self.counter) % len(states)]


class Informed:
    """Chooses with the true state of all targets, to show about what is possible.

    Each object has one owner, the target with the highest rendezvous score. It gets
    further owners when none of those that remember it would answer in time. A request
    is refused if its wait and a later run together exceed the objective. If the work
    offered exceeds the slots, less urgent requests may wait only briefly, and the time
    since a request's first attempt counts.
    """

    def __init__(self):
        self.rankings: dict[str, list[str]] = {}
        self.rate_per_s = 0.0
        self.rate_at = 0.0
        self.owner_added_at: dict[str, float] = {}

    def __call__(self, vm: PolicyVm, call: Call) -> TargetState | Refusal | None:
        """Choose a target for one request."""
        now, name = trio.current_time(), call.request.affinity
        elapsed_s = round(call.route.timeout_s - call.seconds_left, 6)
        self._count_request(now, is_retry=elapsed_s > 0)
        offered = self.rate_per_s / vm.fleet.world.warm_room_per_s
        left_s = call.route.objective_s - (elapsed_s if offered > 1 else 0)
        max_wait_s = math.inf
        if offered > 1 and call.route.priority > min(vm.fleet.routes):
            max_wait_s = LESS_URGENT_WAIT_RATIO * vm.fleet.world.later_run_s
        waits = {
            state: _true_target(vm, state).expected_wait_s()
            for state in self._ranking(vm, name)
        }
        in_time = {
            state: response_s
            for state, wait_s in waits.items()
            if wait_s <= max_wait_s
            and (response_s := _later_response_s(vm, state, wait_s)) <= left_s
        }
        owners = [
            state for state in waits if _true_target(vm, state).will_remember(name)
        ]
        in_time_owners = [state for state in owners if state in in_time]
        if in_time_owners:
            return min(in_time_owners, key=in_time.get)
        free = [state for state in in_time if not waits[state]]
        if not owners:
            return next(iter(free or in_time), None)
        if (
            offered > MAX_OFFERED_FOR_OWNERS
            or now - self.owner_added_at.get(name, 0.0) < OWNER_INTERVAL_S
            or not free
        ):
            return None
        self.owner_added_at[name] = now
        return free[0]

    def _count_request(self, now: float, is_retry: bool):
        decay = math.exp((self.rate_at - now) / RATE_AVERAGING_S)
        self.rate_per_s *= decay
        if not is_retry:
            self.rate_per_s += 1 / RATE_AVERAGING_S
        self.rate_at = now

    def _ranking(self, vm: PolicyVm, name: str) -> list[TargetState]:
        instances = self.rankings.get(name)
        if instances is None:
            instances = rendezvous_order(name, vm.registry.states)
            self.rankings[name] = instances
        return [vm.registry.states[instance] for instance in instances]


def choose_least_loaded_informed(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose the target with the lowest true load, regardless of the object."""
    tie_breaker = vm.placement.random.random
    return min(
        vm.states(), key=lambda s: (_true_target(vm, s).outstanding, tie_breaker())
    )


def _true_target(vm: PolicyVm, state: TargetState) -> PolicyTarget:
    return vm.fleet.targets[state.entry.address]


def _later_response_s(vm: PolicyVm, state: TargetState, wait_s: float) -> float:
    """Return the expected response time of a run that is not a first one."""
    target = _true_target(vm, state)
    round_trip_s = vm.fleet.round_trip_s(vm.failure_domain, target.failure_domain)
    slowdown = target.slowdown_at(trio.current_time())
    return round_trip_s + wait_s + vm.fleet.world.later_run_s * slowdown


def policies() -> dict[str, PlacementPolicy]:
    """Return new instances of all policies, by name."""
    known = (
        PlacementPolicy("chosen", choose_like_gateway, counts_requests=True),
        PlacementPolicy("by-answers", choose_by_answers),
        PlacementPolicy("one-owner", choose_single_owner),
        PlacementPolicy("least-loaded", choose_least_loaded),
        PlacementPolicy("informed", Informed()),
        PlacementPolicy("least-loaded-informed", choose_least_loaded_informed),
        PlacementPolicy("random", choose_random),
        PlacementPolicy("round-robin", RoundRobin()),
    )
    return {policy.name: policy for policy in known}
