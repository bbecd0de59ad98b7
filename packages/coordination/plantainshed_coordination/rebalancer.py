"""Moving parts of budgets to where they are wanted, through the ledger.

Whoever holds the lease of a shard does it, about once a second: falls first,
then the ledger, then rises. The lease only avoids wasted work; what makes two
rebalancers harmless is the ledger's version, on which each write depends.
"""

import contextlib

import trio
from attrs import evolve

from .budgets import Lowered
from .digests import rendezvous_order
from .errors import CoordinationError, PeerError, PlatformUnavailable
from .holdings import Holdings
from .identity import holder_name, split_holder
from .leases import Lease
from .ledger import Ledger, read_ledger, write_ledger
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import DemandReport, LowerParts, Part, RestoreParts, SetParts
from .platform import Platform
from .rebalance_plan import (
    REPORT_FRESH_S,
    Fall,
    HeardReport,
    Kept,
    Levels,
    RebalancePlan,
)

PERIOD_S = 1.0
ASK_TIMEOUT_S = 0.5
FIRST_LOOK_S = 0.5
CANDIDACY_BASE_S = 2.0
CANDIDACY_MAX_S = 120.0


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
        self.plan = RebalancePlan(shard, membership, holdings)
        self.writes = 0
        self.marks = 0
        self.levels: Levels = {}

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
                await trio.sleep(self.lease.renew_interval_s)
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
        elif self.lease.observed and self.lease.observed.holder:
            vm, _ = split_holder(self.lease.observed.holder)
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
        self.plan.reports[holder] = HeardReport(report, trio.current_time(), wanted)
        if self.ledger is None or report.ledger_version > self.ledger.version:
            return SetParts(shard=self.shard, rebalancer=self.membership.identity.vm)
        return self._parts_message(self.ledger, holder)

    async def rebalance(self):
        """Move parts towards what is wanted: falls, ledger, rises."""
        if self.ledger is None:
            self.ledger = await read_ledger(self.platform, self.shard)
        before = self.ledger
        targets = self.plan.targets(before)
        after = evolve(before, entries=dict(before.entries))
        falls = list(self.plan.falls(before, targets))
        mark = self._next_mark(before.version + 1)
        lowered = await self._collect(falls, before.version + 1, mark)
        changed = False
        levels: Levels = {}
        # Asked anew: a document can have taken budgets away during the round
        # trip. They get no next entry, and the one they have goes, so that
        # nobody keeps a part of them.
        known = {spec.name: spec for spec in self.plan.specs()}
        for name, spec in known.items():
            if name not in targets:
                continue
            entry = self.plan.next_entry(before, spec, targets[name], lowered)
            changed |= entry != before.entries.get(name)
            after.entries[name] = entry
            levels.update(self.plan.pass_on_level(before, spec, entry, lowered))
        for name in before.entries.keys() - known.keys():
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
            for heard in self.plan.reports.values()
        )

    # Falls, ledger, rises.

    async def _collect(self, falls: list[Fall], for_version: int, mark: str):
        """Ask for all falls at once; return what each holder says it keeps."""
        kept: Kept = {}
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

    async def _publish(self, before: Ledger, after: Ledger, levels, mark: str):
        version = before.version + 1
        self.ledger = await write_ledger(
            self.platform, evolve(after, version=version, writer=mark)
        )
        self.writes += 1
        self.levels = levels
        for holder in list(self.plan.reports):
            if self.plan.is_over(holder):
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
