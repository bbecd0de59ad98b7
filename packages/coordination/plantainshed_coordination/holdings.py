"""This VM's parts of all budgets, and the handlers of messages that change them."""

from collections.abc import Callable, Iterable

from attrs import define, field

from .budgets import BudgetKind, BudgetSpec, LowerResult
from .count_part import CountPart
from .ledger import shard_of
from .network import PeerNetwork
from .peer_pb2 import (
    Ack,
    Demand,
    DemandReport,
    LoanGrant,
    LoanRequest,
    LoanReturn,
    LowerParts,
    Part,
    PartsLowered,
    RestoreParts,
    SetParts,
)
from .rate_part import RatePart

AnyPart = RatePart | CountPart
PART_CLASS_BY_KIND = {BudgetKind.RATE: RatePart, BudgetKind.COUNT: CountPart}
GroupChoice = Callable[[str, bool], str | None]


@define
class PendingReduction:
    """Parts that this VM lowered for a ledger version that is not written yet.

    Parameters
    ----------
    mark : str
        Identifier of the rebalancing attempt that requested the reduction.
    previous_units : dict of str to int
        Units held before the reduction, by budget.
    released_tokens : dict of str to float
        Tokens given up, by budget.
    """

    mark: str
    previous_units: dict[str, int] = field(factory=dict)
    released_tokens: dict[str, float] = field(factory=dict)


class Holdings:
    """This VM's parts of all budgets.

    Parameters
    ----------
    network : PeerNetwork
    is_caught_up : callable
        Returns whether this run may act; see `Membership.is_caught_up`.

    Attributes
    ----------
    parts : dict of str to RatePart or CountPart
        By budget.
    known_version : dict of str to int
        Newest known ledger version of each shard. Messages with older versions are
        ignored.
    choose_from_group : callable
        Takes the name of a group of count budgets and returns the budget to lend
        from, or None. The second argument is whether the borrower's request is
        suspected of crashing targets and must not share a target with another such
        request.
    """

    def __init__(self, network: PeerNetwork, is_caught_up: Callable[[], bool]):
        self.network = network
        self.is_caught_up = is_caught_up
        self.parts: dict[str, AnyPart] = {}
        self.known_version: dict[str, int] = {}
        self.applied_version: dict[str, int] = {}
        self.rebalancer_by_shard: dict[str, str] = {}
        self.leaving = False
        self._pending_reductions: dict[str, PendingReduction] = {}
        self.choose_from_group: GroupChoice = lambda name, exclusive: None
        network.handlers["loan_request"] = self._on_loan_request
        network.handlers["loan_return"] = self._on_loan_return
        network.handlers["lower_parts"] = self._on_lower_parts
        network.handlers["restore_parts"] = self._on_restore_parts
        network.handlers["set_parts"] = self._on_set_parts

    def set_specs(self, specs: Iterable[BudgetSpec]):
        """Replace the budgets by those of the document in force."""
        wanted = {spec.name: spec for spec in specs}
        for name in self.parts.keys() - wanted.keys():
            del self.parts[name]
        for name, spec in wanted.items():
            part = self.parts.get(name)
            if part is None or part.spec.kind is not spec.kind:
                self.parts[name] = PART_CLASS_BY_KIND[spec.kind](spec)
            elif part.spec != spec:
                part.set_spec(spec)

    def rate_part(self, name: str) -> RatePart | None:
        """Return the part of a rate budget, None if there is no such budget."""
        part = self.parts.get(name)
        return part if isinstance(part, RatePart) else None

    def count_part(self, name: str) -> CountPart | None:
        """Return the part of a count budget, None if there is no such budget."""
        part = self.parts.get(name)
        return part if isinstance(part, CountPart) else None

    def is_current(self, part: AnyPart) -> bool:
        """Return whether a part is still in use.

        Callers must check this after an await. Meanwhile a new document may have
        removed the budget, or removed it and added one of the same name with new
        parts. The tokens of the old part would then be used in addition to those of
        the new one.
        """
        return self.parts.get(part.spec.name) is part

    def shards(self) -> list[str]:
        """Return the ledger shards that contain this VM's budgets."""
        return sorted({shard_of(part.spec) for part in self.parts.values()})

    def leave(self):
        """Give up every part permanently, except for the units in use."""
        self.leaving = True
        for part in self.parts.values():
            part.lower_to(0)

    def report(self, shard: str, failure_domain: str) -> DemandReport:
        """Return this VM's demand and parts for the budgets of a shard."""
        report = DemandReport(
            shard=shard,
            ledger_version=self.known_version.get(shard, 0),
            failure_domain=failure_domain,
            leaving=self.leaving,
        )
        for name, part in self.parts.items():
            if shard_of(part.spec) != shard:
                continue
            if self.leaving:
                part.lower_to(0)
            wanted = part.estimate_demand()
            if wanted > 0 or part.units:
                report.demands.append(
                    Demand(budget=name, wanted=wanted, units=part.units)
                )
        return report

    def apply(self, message: SetParts):
        """Apply the parts that a ledger version assigns to this VM."""
        version = message.version
        if message.rebalancer:
            self.rebalancer_by_shard[message.shard] = message.rebalancer
        if self.leaving:
            # Every part was given up; this message was sent before that.
            return
        if version == 0 or version < self.known_version.get(message.shard, 0):
            # The message is outdated: this VM has applied a newer version or lowered
            # its parts for one. Applying it would raise a part already given up.
            return
        self._pending_reductions.pop(message.shard, None)
        is_new_version = version > self.applied_version.get(message.shard, 0)
        self.known_version[message.shard] = version
        self.applied_version[message.shard] = version
        assigned = {part.budget: part for part in message.parts}
        for name, part in self.parts.items():
            if shard_of(part.spec) != message.shard:
                continue
            if name not in assigned:
                part.lower_to(0)
                continue
            self._assign(part, assigned[name], is_new_version)

    def _assign(self, part: AnyPart, assigned: Part, is_new_version: bool):
        if part.spec.kind is BudgetKind.COUNT:
            part.set_units(assigned.units, total=assigned.total)
        else:
            # Add the tokens of a version only once, even if the message is repeated.
            part.set_units(assigned.units, assigned.level if is_new_version else 0.0)

    async def _on_set_parts(self, sender, message: SetParts):
        self.apply(message)
        return Ack()

    async def _on_lower_parts(self, sender, message: LowerParts):
        return self.lower(message)

    def lower(self, message: LowerParts) -> PartsLowered:
        """Lower parts for a ledger version that is about to be written.

        After that, only this version or a newer one can raise them.
        """
        applied = self.applied_version.get(message.shard, 0)
        known = self.known_version.get(message.shard, 0)
        if message.for_version <= applied or message.for_version < known:
            return PartsLowered()
        self.known_version[message.shard] = message.for_version
        lowered = PartsLowered()
        pending = self._pending_reductions[message.shard] = PendingReduction(
            message.mark
        )
        for item in message.parts:
            part = self.parts.get(item.budget)
            units = part.units if part else 0
            result = part.lower_to(item.units) if part else LowerResult(0)
            pending.previous_units[item.budget] = units
            pending.released_tokens[item.budget] = result.released_tokens
            lowered.parts.append(
                Part(
                    budget=item.budget, units=result.units, level=result.released_tokens
                )
            )
        return lowered

    async def _on_restore_parts(self, sender, message: RestoreParts):
        self.restore(message)
        return Ack()

    def restore(self, message: RestoreParts):
        """Undo a reduction for a ledger version that will not be written.

        Only the reduction of the latest attempt that this VM answered can be undone:
        if another rebalancer has sent a request since, the units are promised to it.
        """
        pending = self._pending_reductions.pop(message.shard, None)
        if pending is None or pending.mark != message.mark or self.leaving:
            return
        for name, units in pending.previous_units.items():
            part = self.parts.get(name)
            if part is not None:
                part.restore(units, pending.released_tokens[name])
        self.known_version[message.shard] = self.applied_version.get(message.shard, 0)

    async def _on_loan_request(self, sender, message: LoanRequest):
        if not self.is_caught_up():
            return LoanGrant()
        part = self.parts.get(message.budget)
        if isinstance(part, RatePart):
            amount = part.lend(message.amount, message.grant)
            return LoanGrant(amount=amount, left=part.level)
        return self._lend_from_group(sender, message)

    def _lend_from_group(self, sender, message: LoanRequest) -> LoanGrant:
        name = self.choose_from_group(message.budget, message.alone)
        part = self.parts.get(name) if name else None
        if part is None:
            return LoanGrant()
        borrower = (sender.vm, sender.incarnation)
        if not part.lend(message.grant, borrower):
            return LoanGrant()
        if message.alone:
            part.exclusive_loans.add(message.grant)
        return LoanGrant(amount=1, grant=message.grant, budget=name, left=part.free)

    async def _on_loan_return(self, sender, message: LoanReturn):
        # A borrower that did not receive the answer does not know the budget's name.
        parts = [self.parts.get(message.budget)]
        if not message.budget:
            parts = list(self.parts.values())
        for part in parts:
            if part is not None:
                part.reclaim_loan(message.grant)
        return Ack()

    def reclaim_loans_of_ended_runs(self, is_gone: Callable[[str, int], bool]):
        """Reclaim loans to VM runs that have certainly ended."""
        for part in self.parts.values():
            if isinstance(part, CountPart):
                part.reclaim_from_ended_runs(is_gone)
