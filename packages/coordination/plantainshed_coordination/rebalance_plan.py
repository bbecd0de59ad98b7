"""Computing the parts of a shard's budgets and the next ledger entries.

This module only computes; `rebalancer` sends messages and writes the ledger.
"""

from collections.abc import Iterable

import trio
from attrs import frozen

from .budgets import BudgetKind, BudgetSpec, LowerResult
from .division import divide
from .holdings import Holdings
from .identity import split_holder
from .ledger import Ledger, LedgerEntry, shard_of
from .membership import Membership
from .peer_pb2 import DemandReport

REPORT_TTL_S = 6.0
MIN_MOVE_FRACTION = 0.08

DesiredParts = dict[str, dict[str, int]]
LowerResults = dict[tuple[str, str], LowerResult]
TransferredTokens = dict[tuple[str, str], float]


@frozen
class ReceivedReport:
    """A demand report and the time at which it arrived."""

    report: DemandReport
    received_at: float
    demands: dict[str, float]


@frozen
class Reduction:
    """A request to a holder to lower its part to a number of units."""

    holder: str
    budget: str
    units: int


class RebalancePlan:
    """Computes parts from demand reports.

    Parameters
    ----------
    shard : str
    membership : Membership
    holdings : Holdings

    Attributes
    ----------
    reports : dict of str to ReceivedReport
        By holder.
    """

    def __init__(self, shard: str, membership: Membership, holdings: Holdings):
        self.shard = shard
        self.membership = membership
        self.holdings = holdings
        self.reports: dict[str, ReceivedReport] = {}

    def specs(self) -> list[BudgetSpec]:
        """Return the budgets of the shard that this VM knows of."""
        specs = [part.spec for part in self.holdings.parts.values()]
        return [spec for spec in specs if shard_of(spec) == self.shard]

    def desired_parts(self, ledger: Ledger) -> DesiredParts:
        """Return the desired parts of each budget whose parts should change."""
        desired_parts = {}
        for spec in self.specs():
            entry = ledger.entries.get(spec.name, LedgerEntry(spec.units, {}))
            current_parts = self.current_parts(spec.name, entry)
            adjustable = self._adjustable_holders(spec)
            fixed = {
                holder: units
                for holder, units in current_parts.items()
                if holder not in adjustable
            }
            free_units = max(0, spec.units - sum(fixed.values()))
            demands = {holder: self._demand_of(holder, spec) for holder in adjustable}
            desired = {**fixed, **divide(free_units, demands)}
            if self._is_significant(spec, entry, desired):
                desired_parts[spec.name] = desired
        return desired_parts

    def current_parts(self, name: str, entry: LedgerEntry) -> dict[str, int]:
        """Return a budget's parts, without those that can be reclaimed.

        A run that is leaving keeps only the units that it last reported. It uses them
        until its last request ends.
        """
        current_parts = {}
        for holder, units in entry.parts.items():
            if self.is_reclaimable(holder):
                continue
            received = self.reports.get(holder)
            if received is not None and received.report.leaving:
                kept = {item.budget: item.units for item in received.report.demands}
                units = min(units, kept.get(name, 0))
            if units:
                current_parts[holder] = units
        return current_parts

    def _adjustable_holders(self, spec: BudgetSpec) -> list[str]:
        """Return the holders whose parts can be changed now."""
        fresh = [
            (holder, received)
            for holder, received in self.reports.items()
            if trio.current_time() - received.received_at < REPORT_TTL_S
            and not received.report.leaving
            and not self.is_reclaimable(holder)
        ]
        if spec.failure_domain:
            in_domain = [
                holder
                for holder, received in fresh
                if received.report.failure_domain == spec.failure_domain
            ]
            return sorted(in_domain)
        return sorted(holder for holder, _ in fresh)

    def _demand_of(self, holder: str, spec: BudgetSpec) -> float:
        return self.reports[holder].demands.get(spec.name, 0.0)

    def is_reclaimable(self, holder: str) -> bool:
        """Return whether a holder's parts can be given to other VMs.

        See `MemberTable.is_reclaimable` for the conditions.
        """
        now = trio.current_time()
        return self.membership.table.is_reclaimable(*split_holder(holder), now)

    def _is_significant(self, spec: BudgetSpec, entry: LedgerEntry, desired) -> bool:
        if entry.total != spec.units or entry.held_units < sum(desired.values()):
            return True
        if any(holder not in desired for holder in entry.parts):
            return True
        moved = max(
            (
                abs(units - entry.parts.get(holder, 0))
                for holder, units in desired.items()
            ),
            default=0,
        )
        least = 1 if spec.kind is BudgetKind.COUNT else MIN_MOVE_FRACTION * spec.units
        return moved > least

    def reductions(
        self, ledger: Ledger, desired_parts: DesiredParts
    ) -> Iterable[Reduction]:
        """Yield the reductions needed to reach the desired parts."""
        for name, desired in desired_parts.items():
            entry = ledger.entries.get(name)
            if entry is None:
                continue
            for holder, units in entry.parts.items():
                if not self.is_reclaimable(holder) and desired.get(holder, 0) < units:
                    yield Reduction(holder, name, desired.get(holder, 0))

    def next_entry(
        self,
        ledger: Ledger,
        spec: BudgetSpec,
        desired: dict[str, int],
        lower_results: LowerResults,
    ) -> LedgerEntry:
        """Return a budget's next entry, with units from lowered parts reassigned."""
        name = spec.name
        entry = ledger.entries.get(name)
        if entry is None:
            return LedgerEntry(spec.units, dict(desired))
        parts = {
            holder: min(
                units, lower_results.get((holder, name), LowerResult(units)).units
            )
            for holder, units in self.current_parts(name, entry).items()
        }
        total = max(spec.units, sum(parts.values()))
        shortfalls = {
            holder: float(units - parts.get(holder, 0))
            for holder, units in desired.items()
            if units > parts.get(holder, 0)
        }
        free = min(
            max(0, spec.units - sum(parts.values())), int(sum(shortfalls.values()))
        )
        for holder, units in divide(free, shortfalls, equal_share=0.0).items():
            parts[holder] = parts.get(holder, 0) + units
        return LedgerEntry(
            total, {holder: units for holder, units in parts.items() if units}
        )

    def tokens_for_raised_parts(
        self,
        before: Ledger,
        spec: BudgetSpec,
        entry: LedgerEntry,
        lower_results: LowerResults,
    ) -> TransferredTokens:
        """Return the tokens to add to each raised part, by (holder, budget).

        These are the tokens that the lowered parts released. Without them, a
        workspace would lose its burst whenever its callers move to another VM. A
        budget that is new in the ledger starts with a full bucket.
        """
        name = spec.name
        if spec.kind is not BudgetKind.RATE:
            return {}
        old = before.entries.get(name)
        if old is None:
            released = spec.burst
        else:
            released = sum(
                result.released_tokens
                for (_, budget), result in lower_results.items()
                if budget == name
            )
        old_parts = old.parts if old else {}
        raised = {
            holder: units - old_parts.get(holder, 0)
            for holder, units in entry.parts.items()
            if units > old_parts.get(holder, 0)
        }
        total = sum(raised.values())
        return {
            (holder, name): released * units / total for holder, units in raised.items()
        }
