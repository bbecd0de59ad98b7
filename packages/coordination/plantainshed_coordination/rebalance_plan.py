"""What the parts of a shard's budgets should be, and what follows from falls.

Only works things out; asking holders and writing the ledger is the rebalancer's.
"""

from collections.abc import Iterable

import trio
from attrs import frozen

from .budgets import BudgetKind, BudgetSpec, Lowered
from .division import divide
from .holdings import Holdings
from .identity import split_holder
from .ledger import Ledger, LedgerEntry, shard_of
from .membership import Membership
from .peer_pb2 import DemandReport

REPORT_FRESH_S = 6.0
MIN_MOVE = 0.08

Targets = dict[str, dict[str, int]]
Kept = dict[tuple[str, str], Lowered]
Levels = dict[tuple[str, str], float]


@frozen
class HeardReport:
    """A demand report and when it came."""

    report: DemandReport
    at: float
    wanted: dict[str, float]


@frozen
class Fall:
    """A part that its holder is asked to lower."""

    holder: str
    budget: str
    units: int


class RebalancePlan:
    """Works out parts from demand reports.

    Parameters
    ----------
    shard : str
    membership : Membership
    holdings : Holdings

    Attributes
    ----------
    reports : dict of str to HeardReport
        By holder.
    """

    def __init__(self, shard: str, membership: Membership, holdings: Holdings):
        self.shard = shard
        self.membership = membership
        self.holdings = holdings
        self.reports: dict[str, HeardReport] = {}

    def specs(self) -> list[BudgetSpec]:
        """Return the budgets of the shard that this VM knows."""
        specs = [part.spec for part in self.holdings.parts.values()]
        return [spec for spec in specs if shard_of(spec) == self.shard]

    def targets(self, ledger: Ledger) -> Targets:
        """Return the parts that each budget should have, where it should change."""
        targets = {}
        for spec in self.specs():
            entry = ledger.entries.get(spec.name, LedgerEntry(spec.units, {}))
            present = self.present(spec.name, entry)
            movable = self._movable_holders(spec)
            fixed = {h: u for h, u in present.items() if h not in movable}
            free_units = max(0, spec.units - sum(fixed.values()))
            wanted = {h: self._wanted(h, spec) for h in movable}
            target = {**fixed, **divide(free_units, wanted)}
            if self._is_worth_it(spec, entry, target):
                targets[spec.name] = target
        return targets

    def present(self, name: str, entry: LedgerEntry) -> dict[str, int]:
        """Return the parts that are still held: not of runs that are over.

        A leaving run has said what it keeps until its last request has ended.
        """
        present = {}
        for holder, units in entry.parts.items():
            if self.is_over(holder):
                continue
            heard = self.reports.get(holder)
            if heard is not None and heard.report.leaving:
                kept = {item.budget: item.units for item in heard.report.demands}
                units = min(units, kept.get(name, 0))
            if units:
                present[holder] = units
        return present

    def _movable_holders(self, spec: BudgetSpec) -> list[str]:
        """Return the holders whose parts can change now."""
        fresh = [
            (holder, heard)
            for holder, heard in self.reports.items()
            if trio.current_time() - heard.at < REPORT_FRESH_S
            and not heard.report.leaving
            and not self.is_over(holder)
        ]
        if spec.failure_domain:
            near = [
                holder
                for holder, heard in fresh
                if heard.report.failure_domain == spec.failure_domain
            ]
            return sorted(near)
        return sorted(holder for holder, _ in fresh)

    def _wanted(self, holder: str, spec: BudgetSpec) -> float:
        return self.reports[holder].wanted.get(spec.name, 0.0)

    def is_over(self, holder: str) -> bool:
        """Tell whether a holder's part can go to others.

        Certainty that the run will not act again comes from the platform or
        from its successor. It must also have been silent for a while: should
        it only be paused, it finds on waking that it was and stops.
        """
        now = trio.current_time()
        return self.membership.table.is_reclaimable(*split_holder(holder), now)

    def _is_worth_it(self, spec: BudgetSpec, entry: LedgerEntry, target) -> bool:
        if entry.total != spec.units or entry.held < sum(target.values()):
            return True
        if any(holder not in target for holder in entry.parts):
            return True
        moved = max(
            (abs(units - entry.parts.get(h, 0)) for h, units in target.items()),
            default=0,
        )
        least = 1 if spec.kind is BudgetKind.COUNT else MIN_MOVE * spec.units
        return moved > least

    def falls(self, ledger: Ledger, targets: Targets) -> Iterable[Fall]:
        """Yield the parts that their holders are to lower."""
        for name, target in targets.items():
            entry = ledger.entries.get(name)
            if entry is None:
                continue
            for holder, units in entry.parts.items():
                if not self.is_over(holder) and target.get(holder, 0) < units:
                    yield Fall(holder, name, target.get(holder, 0))

    def next_entry(
        self, ledger: Ledger, spec: BudgetSpec, target: dict[str, int], lowered: Kept
    ) -> LedgerEntry:
        """Return a budget's next entry: what was lowered can be given to others."""
        name = spec.name
        entry = ledger.entries.get(name)
        if entry is None:
            return LedgerEntry(spec.units, dict(target))
        parts = {
            holder: min(units, lowered.get((holder, name), Lowered(units)).units)
            for holder, units in self.present(name, entry).items()
        }
        total = max(spec.units, sum(parts.values()))
        lacking = {
            holder: float(units - parts.get(holder, 0))
            for holder, units in target.items()
            if units > parts.get(holder, 0)
        }
        free = min(max(0, spec.units - sum(parts.values())), int(sum(lacking.values())))
        for holder, units in divide(free, lacking, equal_share=0.0).items():
            parts[holder] = parts.get(holder, 0) + units
        return LedgerEntry(total, {h: u for h, u in parts.items() if u})

    def pass_on_level(
        self, before: Ledger, spec: BudgetSpec, entry: LedgerEntry, lowered: Kept
    ) -> Levels:
        """Return the tokens that come with each raised part, by (holder, budget).

        They are those that lowered parts gave up. Without this a workspace
        would lose its burst whenever its callers move to another VM. A budget
        that never was in the ledger starts full.
        """
        name = spec.name
        if spec.kind is not BudgetKind.RATE:
            return {}
        old = before.entries.get(name)
        if old is None:
            given_up = spec.burst
        else:
            given_up = sum(
                low.level for (_, budget), low in lowered.items() if budget == name
            )
        old_parts = old.parts if old else {}
        raised = {
            holder: units - old_parts.get(holder, 0)
            for holder, units in entry.parts.items()
            if units > old_parts.get(holder, 0)
        }
        total = sum(raised.values())
        return {
            (holder, name): given_up * units / total for holder, units in raised.items()
        }
