"""The parts that this VM holds, and the messages that change them."""

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
    """What this VM gave up for a version that is about to be written.

    Parameters
    ----------
    mark : str
        The attempt that asked.
    units : dict of str to int
        Units held before, by budget.
    levels : dict of str to float
        Tokens given up, by budget.
    """

    mark: str
    previous_units: dict[str, int] = field(factory=dict)
    released_tokens: dict[str, float] = field(factory=dict)


class Holdings:
    """All parts of this VM, by budget.

    Parameters
    ----------
    network : PeerNetwork
    is_awake : callable
        Whether this run may act; see `Membership.is_awake`.

    Attributes
    ----------
    parts : dict of str to RatePart or CountPart
    known_version : dict of str to int
        Newest ledger version that was seen of each shard. What an older one
        says is not believed any more.
    choose_from_group : callable
        Returns the count budget to lend from for a group's name, or None; its
        second argument says whether the request must be alone there.
    """

    def __init__(self, network: PeerNetwork, is_awake: Callable[[], bool]):
        self.network = network
        self.is_awake = is_awake
        self.parts: dict[str, AnyPart] = {}
        self.known_version: dict[str, int] = {}
        self.applied_version: dict[str, int] = {}
        self.rebalancer_by_shard: dict[str, str] = {}
        self.leaving = False
        self._pending_reductions: dict[str, PendingReduction] = {}
        self.choose_from_group: GroupChoice = lambda name, alone: None
        network.handlers["loan_request"] = self._on_loan_request
        network.handlers["loan_return"] = self._on_loan_return
        network.handlers["lower_parts"] = self._on_lower_parts
        network.handlers["restore_parts"] = self._on_restore_parts
        network.handlers["set_parts"] = self._on_set_parts

    def set_specs(self, specs: Iterable[BudgetSpec]):
        """Take over the budgets of the document in force."""
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
        """Tell whether a part is still one of this VM's.

        Whoever kept a part over an await asks: a document can have taken its
        budget away, and given back one of the same name whose parts start anew.
        Tokens of the old part would then be used beside those of the new ones.
        """
        return self.parts.get(part.spec.name) is part

    def shards(self) -> list[str]:
        """Return the shards that this VM's budgets stand in."""
        return sorted({shard_of(part.spec) for part in self.parts.values()})

    def leave(self):
        """Give up every part, as far as it is not in use, for good."""
        self.leaving = True
        for part in self.parts.values():
            part.lower_to(0)

    def report(self, shard: str, failure_domain: str) -> DemandReport:
        """Return what this VM wants and holds of a shard."""
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
        """Take over the parts that a ledger version gives this VM."""
        version = message.version
        if message.rebalancer:
            self.rebalancer_by_shard[message.shard] = message.rebalancer
        if self.leaving:
            # Everything was given up; what is on its way still was sent before.
            return
        if version == 0 or version < self.known_version.get(message.shard, 0):
            # Late: a newer version, or a promise to a newer one, stands.
            # Believing it would raise a part that was already given up.
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
            # Tokens that come with a version are added once, however often the
            # message arrives.
            part.set_units(assigned.units, assigned.level if is_new_version else 0.0)

    async def _on_set_parts(self, sender, message: SetParts):
        self.apply(message)
        return Ack()

    async def _on_lower_parts(self, sender, message: LowerParts):
        return self.lower(message)

    def lower(self, message: LowerParts) -> PartsLowered:
        """Give up parts for a ledger version that is about to be written.

        From then on only that version, or a newer one, can raise them.
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
        """Take back what was given up for a version that will not be written.

        Only the very attempt that this VM answered last can be taken back: if
        another rebalancer asked since, what was given up is promised to it.
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
        if not self.is_awake():
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
        # A borrower that never saw the answer cannot name the budget.
        parts = [self.parts.get(message.budget)]
        if not message.budget:
            parts = list(self.parts.values())
        for part in parts:
            if part is not None:
                part.reclaim_loan(message.grant)
        return Ack()

    def reclaim_loans_of_ended_runs(self, is_gone: Callable[[str, int], bool]):
        """Take back what was lent to runs that are certain to be over."""
        for part in self.parts.values():
            if isinstance(part, CountPart):
                part.reclaim_from_ended_runs(is_gone)
