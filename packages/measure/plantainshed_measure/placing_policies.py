"""The placement policies that an experiment compares."""

import itertools
from typing import Protocol

from attrs import frozen

from plantainshed_coordination.digests import weighted_score
from plantainshed_gateway.call import Call
from plantainshed_gateway.selection.placement import Placement
from plantainshed_gateway.selection.registry import Registry, TargetState


class PolicyVm(Protocol):
    """The part of a VM that policies use."""

    placement: Placement
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
    """

    name: str
    choose: ChooseTarget


def choose_like_gateway(vm: PolicyVm, call: Call) -> TargetState | None:
    """Choose a target with the gateway's own placement."""
    return vm.placement.choose(call, vm.registry.configuration, set(), [])


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


def policies() -> dict[str, PlacementPolicy]:
    """Return new instances of all policies, by name."""
    known = (
        PlacementPolicy("chosen", choose_like_gateway),
        PlacementPolicy("one-owner", choose_single_owner),
        PlacementPolicy("least-loaded", choose_least_loaded),
        PlacementPolicy("random", choose_random),
        PlacementPolicy("round-robin", RoundRobin()),
    )
    return {policy.name: policy for policy in known}
