"""The production policy and the baselines that replays compare it with."""

import itertools

from attrs import frozen

from plantainshed_coordination.budgets import (
    RATE_UNITS,
)
from plantainshed_coordination.rate_part import RatePart
from plantainshed_entry.in_force import budget_specs
from plantainshed_entry.targets import TargetState
from plantainshed_model.document import Document


class StaticSplit:
    """Rate limiter that gives each VM a fixed, equal share of every rate.

    VMs do not lend tokens to each other.

    Parameters
    ----------
    document : Document
    vm_count : int
    """

    def __init__(self, document: Document, vm_count: int):
        self.parts: dict[str, RatePart] = {}
        for spec in budget_specs(document, failure_domain=""):
            part = RatePart(spec)
            part.set_units(RATE_UNITS // vm_count, level=spec.burst)
            self.parts[spec.name] = part

    async def take(self, name: str) -> bool:
        """Take a token from this VM's share; return whether the request may pass."""
        part = self.parts.get(name)
        return part is None or part.try_take()


class RoundRobin:
    """Orders targets in rotation, regardless of their load."""

    def __init__(self):
        self.turns = itertools.count()

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Return the candidates, starting at the next position of the rotation."""
        if not candidates:
            return candidates
        turn = next(self.turns) % len(candidates)
        return candidates[turn:] + candidates[:turn]


@frozen
class Policy:
    """The parts of a node that are replaced by a baseline in a replay.

    Parameters
    ----------
    name : str
    static_split : bool
        Use `StaticSplit` as rate limiter.
    round_robin : bool
        Use `RoundRobin` as order of targets.
    """

    name: str
    static_split: bool = False
    round_robin: bool = False

    def limiter(self, document: Document, vm_count: int):
        """Return the rate limiter of one node, or None for the production one."""
        return StaticSplit(document, vm_count) if self.static_split else None

    def order(self):
        """Return the order of targets, or None for the production one."""
        return RoundRobin() if self.round_robin else None


CHOSEN = Policy("chosen")
POLICIES = (
    CHOSEN,
    Policy("static-split", static_split=True),
    Policy("round-robin", round_robin=True),
)
