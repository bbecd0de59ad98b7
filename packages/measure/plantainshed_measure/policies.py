"""The chosen policy, and the baselines that it is compared with."""

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
    """Each VM has an equal share of every rate for good, and lends nothing.

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
        """Take a token of the own share."""
        part = self.parts.get(name)
        return part is None or part.try_take()


class RoundRobin:
    """Takes targets in turn, whatever their load."""

    def __init__(self):
        self.turns = itertools.count()

    def __call__(self, candidates: list[TargetState]) -> list[TargetState]:
        """Return the candidates, beginning with the next one."""
        if not candidates:
            return candidates
        turn = next(self.turns) % len(candidates)
        return candidates[turn:] + candidates[:turn]


@frozen
class Policy:
    """What differs between the runs of a comparison.

    Parameters
    ----------
    name : str
    static_split, round_robin : bool
        Which part is replaced by its baseline.
    """

    name: str
    static_split: bool = False
    round_robin: bool = False

    def limiter(self, document: Document, vm_count: int):
        """Return the limiter of one node, None for the chosen one."""
        return StaticSplit(document, vm_count) if self.static_split else None

    def order(self):
        """Return the order of targets, None for the chosen one."""
        return RoundRobin() if self.round_robin else None


CHOSEN = Policy("chosen")
POLICIES = (
    CHOSEN,
    Policy("static-split", static_split=True),
    Policy("round-robin", round_robin=True),
)
