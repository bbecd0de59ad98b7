"""Moving parts of budgets to where they are wanted, through the ledger.

Whoever holds the lease of a shard does it, about once a second: falls first,
then the ledger, then rises. The lease only avoids wasted work; what makes two
rebalancers harmless is the ledger's version, on which each write depends.
"""

import contextlib
from collections.abc import Iterable

import trio
from attrs import evolve, frozen

from .budgets import BudgetKind, BudgetSpec, Lowered
from .digests import rendezvous_order
from .division import divide
from .errors import CoordinationError, PeerError, PlatformUnavailable
from .holdings import Holdings
from .identity import holder_name, split_holder
from .leases import Lease
from .ledger import Ledger, LedgerEntry, read_ledger, shard_of, write_ledger
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import DemandReport, LowerParts, Part, RestoreParts, SetParts
from .platform import Platform

PERIOD_S = 1.0
REPORT_PERIOD_S = 1.0
REPORTS_A_SECOND = 200
REPORT_FRESH_S = 6.0
ASK_TIMEOUT_S = 0.5
MIN_MOVE = 0.08
FIRST_LOOK_S = 0.5
CANDIDACY_BASE_S = 2.0
CANDIDACY_MAX_S = 120.0


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


class Rebalancer:
    """This VM's candidacy for one shard, and the work while it holds it.

    Parameters
    ----------
    shard : str
    platform : Platform
    network : PeerNetwork
    membership : Membership
    holdings : Holdings
    """

    def __init__(
        self,
        shard: str,
        platform: Platform,
        network: PeerNetwork,
        membership: Membership,
        holdings: Holdings,
    ):
        self.shard = shard
        self.platform = platform
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.lease = Lease(platform, f"rebalancer-{shard}", membership.identity.holder)
        self.ledger: Ledger | None = None
        self.reports: dict[str, HeardReport] = {}
        self.writes = 0
        self.marks = 0
        self.levels: dict[tuple[str, str], float] = {}

    async def run(self, candidates):
        """Hold the lease when it can be had, and rebalance while it is held.

        Parameters
        ----------
        candidates : callable
            Returns the VMs that may hold this shard, in any order.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease, candidates)
            while True:
                await trio.sleep(PERIOD_S)
                if self.lease.is_held and self.membership.is_awake():
                    await self._try_rebalance()

    async def _keep_lease(self, candidates):
        await trio.sleep(FIRST_LOOK_S * (1 + self._rank(candidates())))
        while True:
            await self._try_lease()
            if self.lease.is_held:
                await trio.sleep(self.lease.renewal_s)
            else:
                rank = self._rank(candidates())
                await trio.sleep(min(CANDIDACY_MAX_S, CANDIDACY_BASE_S * 2**rank))

    def _rank(self, candidates) -> int:
        # The first in the order tries often, the others ever more rarely: one
        # that is cut off from the store is passed over within seconds, and a
        # whole fleet does not poll the store for a lease that is held.
        order = rendezvous_order(self.shard, candidates)
        vm = self.membership.identity.vm
        return order.index(vm) if vm in order else len(order)

    async def _try_lease(self):
        self.lease.holder = self.membership.identity.holder
        was_held = self.lease.is_held
        if await self.lease.try_hold():
            if not was_held:
                self.ledger = None
                self.levels = {}
        elif self.lease.seen and self.lease.seen.holder:
            vm, _ = split_holder(self.lease.seen.holder)
            self.holdings.rebalancer_of[self.shard] = vm

    async def _try_rebalance(self):
        try:
            await self.rebalance()
        except CoordinationError:
            # Whatever went wrong, what stands in the store is the truth, and
            # every part that was lowered meanwhile only lost budget.
            self.ledger = None
            self.levels = {}

    async def on_report(self, sender, report: DemandReport) -> SetParts:
        """Take in a demand report; answer with the sender's present parts."""
        holder = holder_name(sender.vm, sender.incarnation)
        if not self.lease.is_held:
            return SetParts(
                shard=self.shard,
                rebalancer=self.holdings.rebalancer_of.get(self.shard, ""),
            )
        wanted = {item.budget: item.wanted for item in report.demands}
        self.reports[holder] = HeardReport(report, trio.current_time(), wanted)
        if self.ledger is None or report.ledger_version > self.ledger.version:
            return SetParts(shard=self.shard, rebalancer=self.membership.identity.vm)
        return self._parts_message(self.ledger, holder)

    async def rebalance(self):
        """Move parts towards what is wanted: falls, ledger, rises."""
        if self.ledger is None:
            self.ledger = await read_ledger(self.platform, self.shard)
        before = self.ledger
        targets = self._targets(before)
        after = evolve(before, entries=dict(before.entries))
        falls = list(self._falls(before, targets))
        mark = self._next_mark(before.version + 1)
        lowered = await self._collect(falls, before.version + 1, mark)
        changed = False
        levels: dict[tuple[str, str], float] = {}
        for name, wanted_parts in targets.items():
            entry = self._next_entry(before, name, wanted_parts, lowered)
            changed |= entry != before.entries.get(name)
            after.entries[name] = entry
            levels.update(self._pass_on_level(before, name, entry, lowered))
        for name in before.entries.keys() - {spec.name for spec in self._specs()}:
            changed = True
            del after.entries[name]
        if changed or self._somebody_waits_for(before.version):
            try:
                await self._publish(before, after, levels, mark)
            except PlatformUnavailable:
                await self._take_back(falls, mark)
                raise

    async def _take_back(self, falls: list[Fall], mark: str):
        """Give lowered parts back after a write that certainly failed.

        Falls come before the write, so that an outage of the store would
        leave the fleet with a fraction of each rate until it is over.
        """
        message = RestoreParts(shard=self.shard, mark=mark)
        async with trio.open_nursery() as nursery:
            for holder in {fall.holder for fall in falls}:
                nursery.start_soon(self._restore, holder, message)

    async def _restore(self, holder: str, message: RestoreParts):
        vm, _ = split_holder(holder)
        if vm == self.membership.identity.vm:
            self.holdings.restore(message)
            return
        with contextlib.suppress(PeerError):
            await self.network.ask(vm, "restore_parts", message, ASK_TIMEOUT_S)

    def _next_mark(self, version: int) -> str:
        self.marks += 1
        return f"{self.membership.identity.holder}/{version}/{self.marks}"

    def _somebody_waits_for(self, version: int) -> bool:
        """Tell whether a holder gave something up for a version never written.

        It believes no older one, so that its part would stay low for ever.
        """
        return any(
            heard.report.ledger_version > version
            and trio.current_time() - heard.at < REPORT_FRESH_S
            for heard in self.reports.values()
        )

    # What should be.

    def _specs(self) -> list[BudgetSpec]:
        specs = [part.spec for part in self.holdings.parts.values()]
        return [spec for spec in specs if shard_of(spec) == self.shard]

    def _targets(self, ledger: Ledger) -> dict[str, dict[str, int]]:
        """Return the parts that each budget should have, where it should change."""
        targets = {}
        for spec in self._specs():
            entry = ledger.entries.get(spec.name, LedgerEntry(spec.units, {}))
            present = self._present(spec.name, entry)
            movable = self._movable_holders(spec)
            fixed = {h: u for h, u in present.items() if h not in movable}
            free_units = max(0, spec.units - sum(fixed.values()))
            wanted = {h: self._wanted(h, spec) for h in movable}
            target = {**fixed, **divide(free_units, wanted)}
            if self._is_worth_it(spec, entry, target):
                targets[spec.name] = target
        return targets

    def _present(self, name: str, entry: LedgerEntry) -> dict[str, int]:
        """Return the parts that are still held: not of runs that are over.

        A leaving run has said what it keeps until its last request has ended.
        """
        present = {}
        for holder, units in entry.parts.items():
            if self._is_over(holder):
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
            and not self._is_over(holder)
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

    def _is_over(self, holder: str) -> bool:
        """Tell whether a holder's part can go to others.

        Certainty that the run will not act again comes from the platform or
        from its successor. It must also have been silent for a while: should
        it only be paused, it finds on waking that it was and stops.
        """
        now = trio.current_time()
        return self.membership.table.is_over(*split_holder(holder), now)

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

    # Falls, ledger, rises.

    def _falls(self, ledger: Ledger, targets) -> Iterable[Fall]:
        for name, target in targets.items():
            entry = ledger.entries.get(name)
            if entry is None:
                continue
            for holder, units in entry.parts.items():
                if not self._is_over(holder) and target.get(holder, 0) < units:
                    yield Fall(holder, name, target.get(holder, 0))

    async def _collect(self, falls: list[Fall], for_version: int, mark: str):
        """Ask for all falls at once; return what each holder says it keeps."""
        kept: dict[tuple[str, str], Lowered] = {}
        by_holder: dict[str, list[Fall]] = {}
        for fall in falls:
            by_holder.setdefault(fall.holder, []).append(fall)
        async with trio.open_nursery() as nursery:
            for holder, items in by_holder.items():
                message = LowerParts(
                    shard=self.shard, for_version=for_version, mark=mark
                )
                nursery.start_soon(self._ask_to_lower, holder, items, message, kept)
        return kept

    async def _ask_to_lower(self, holder, falls, message, kept):
        for fall in falls:
            message.parts.append(Part(budget=fall.budget, units=fall.units))
        vm, incarnation = split_holder(holder)
        if vm == self.membership.identity.vm:
            if incarnation != self.membership.identity.incarnation:
                return
            answer = self.holdings.lower(message)
        else:
            try:
                answer = await self.network.ask(
                    vm, "lower_parts", message, ASK_TIMEOUT_S
                )
            except PeerError:
                return
        for part in answer.parts:
            kept[holder, part.budget] = Lowered(part.units, part.level)

    def _next_entry(self, ledger: Ledger, name, target, lowered) -> LedgerEntry:
        spec = self.holdings.parts[name].spec
        entry = ledger.entries.get(name)
        if entry is None:
            return LedgerEntry(spec.units, dict(target))
        parts = {
            holder: min(units, lowered.get((holder, name), Lowered(units)).units)
            for holder, units in self._present(name, entry).items()
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

    def _pass_on_level(self, before: Ledger, name, entry: LedgerEntry, lowered):
        """Return the tokens that come with each raised part, by (holder, budget).

        They are those that lowered parts gave up. Without this a workspace
        would lose its burst whenever its callers move to another VM. A budget
        that never was in the ledger starts full.
        """
        spec = self.holdings.parts[name].spec
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

    async def _publish(self, before: Ledger, after: Ledger, levels, mark: str):
        version = before.version + 1
        self.ledger = await write_ledger(
            self.platform, evolve(after, version=version, writer=mark)
        )
        self.writes += 1
        self.levels = levels
        for holder in list(self.reports):
            if self._is_over(holder):
                continue
            vm, incarnation = split_holder(holder)
            message = self._parts_message(self.ledger, holder)
            if vm == self.membership.identity.vm:
                if incarnation == self.membership.identity.incarnation:
                    self.holdings.apply(message)
            else:
                await self.network.send(vm, "set_parts", message)

    def _parts_message(self, ledger: Ledger, holder: str) -> SetParts:
        message = SetParts(
            shard=self.shard,
            version=ledger.version,
            rebalancer=self.membership.identity.vm,
        )
        for name, units in ledger.parts_of(holder).items():
            entry = ledger.entries[name]
            message.parts.append(
                Part(
                    budget=name,
                    units=units,
                    level=self.levels.get((holder, name), 0.0),
                    total=entry.total,
                )
            )
        return message


class DemandReporter:
    """Reports this VM's demand to the rebalancer of each shard.

    Parameters
    ----------
    network : PeerNetwork
    membership : Membership
    holdings : Holdings
    rebalancers : dict of str to Rebalancer
        This VM's own candidacies by shard.
    """

    def __init__(self, network, membership, holdings, rebalancers):
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.rebalancers = rebalancers
        network.handlers["demand_report"] = self._on_report

    async def run(self):
        """Report until cancelled."""
        while True:
            await self.report_all()
            fleet = len(self.membership.table.members)
            await trio.sleep(max(REPORT_PERIOD_S, fleet / REPORTS_A_SECOND))

    async def report_all(self):
        """Report every shard once."""
        async with trio.open_nursery() as nursery:
            for shard in self.holdings.shards():
                if shard in self.rebalancers:
                    nursery.start_soon(self._report, shard)

    async def _report(self, shard: str):
        identity = self.membership.identity
        report = self.holdings.report(shard, identity.failure_domain)
        vm = self.holdings.rebalancer_of.get(shard) or self._guess(shard)
        rebalancer = self.rebalancers[shard]
        if rebalancer.lease.is_held:
            self.holdings.apply(await rebalancer.on_report(identity, report))
            return
        if vm == identity.vm:
            self.holdings.rebalancer_of.pop(shard, None)
            return
        try:
            answer = await self.network.ask(vm, "demand_report", report, ASK_TIMEOUT_S)
        except PeerError:
            self.holdings.rebalancer_of.pop(shard, None)
            return
        self.holdings.apply(answer)

    def _guess(self, shard: str) -> str:
        usable = self.membership.usable_vms()
        return rendezvous_order(shard, usable)[0]

    async def _on_report(self, sender, report: DemandReport):
        rebalancer = self.rebalancers.get(report.shard)
        if rebalancer is None:
            return None
        return await rebalancer.on_report(sender, report)
