"""Moving budget parts to the VMs that have demand, through the ledger.

The VM that holds the lease of a shard rebalances it about once a second. It first
asks holders to lower parts, then writes the ledger, then raises other parts. The
lease only avoids redundant work. If two VMs rebalance at once, the budgets are still
safe, because each ledger write is conditional on the version that was read.
"""

import contextlib
from collections.abc import Callable

import trio
from attrs import evolve

from .budgets import LowerResult
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
    REPORT_TTL_S,
    LowerResults,
    RebalancePlan,
    ReceivedReport,
    Reduction,
    TransferredTokens,
)

PERIOD_S = 1.0
ASK_TIMEOUT_S = 0.5
INITIAL_LEASE_DELAY_S = 0.5
LEASE_RETRY_BASE_S = 2.0
LEASE_RETRY_MAX_S = 120.0

FailureListener = Callable[[str, CoordinationError], None]


class Rebalancer:
    """Competes for the lease of one shard and rebalances the shard while holding it.

    Parameters
    ----------
    shard : str
    platform : Platform
    network : PeerNetwork
    membership : Membership
    holdings : Holdings

    Attributes
    ----------
    on_failure : callable
        Called with the shard and the error when a rebalancing attempt failed. If the
        error is `OutcomeUnknown`, the parts lowered for this attempt stay low until
        the ledger can be read again.
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
        self.attempts = 0
        self.transferred_tokens: TransferredTokens = {}
        self.on_failure: FailureListener = lambda shard, error: None

    async def run(self, candidates):
        """Acquire and renew the lease, and rebalance while it is held.

        Parameters
        ----------
        candidates : callable
            Returns the VMs that may hold the lease of this shard, in any order.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease, candidates)
            while True:
                await trio.sleep(PERIOD_S)
                if self.lease.is_held and self.membership.is_caught_up():
                    await self._try_rebalance()

    async def _keep_lease(self, candidates):
        await trio.sleep(INITIAL_LEASE_DELAY_S * (1 + self._rank(candidates())))
        while True:
            await self._try_lease()
            if self.lease.is_held:
                await trio.sleep(self.lease.renew_interval_s)
            else:
                rank = self._rank(candidates())
                await trio.sleep(min(LEASE_RETRY_MAX_S, LEASE_RETRY_BASE_S * 2**rank))

    def _rank(self, candidates) -> int:
        # The retry interval doubles with each rank. If the first candidate is cut off
        # from the store, another one takes over within seconds, and the fleet as a
        # whole does not keep polling the store for a lease that is held.
        order = rendezvous_order(self.shard, candidates)
        vm = self.membership.identity.vm
        return order.index(vm) if vm in order else len(order)

    async def _try_lease(self):
        self.lease.holder = self.membership.identity.holder
        was_held = self.lease.is_held
        if await self.lease.try_hold():
            if not was_held:
                self.ledger = None
                self.transferred_tokens = {}
        elif self.lease.observed and self.lease.observed.holder:
            vm, _ = split_holder(self.lease.observed.holder)
            self.holdings.rebalancer_by_shard[self.shard] = vm

    async def _try_rebalance(self):
        try:
            await self.rebalance()
        except CoordinationError as error:
            self.on_failure(self.shard, error)
            # Read the ledger again, as the stored version is authoritative. Parts
            # that were lowered meanwhile only make the fleet's budget smaller.
            self.ledger = None
            self.transferred_tokens = {}

    async def on_report(self, sender, report: DemandReport) -> SetParts:
        """Record a demand report; answer with the sender's current parts."""
        holder = holder_name(sender.vm, sender.incarnation)
        if not self.lease.is_held:
            return SetParts(
                shard=self.shard,
                rebalancer=self.holdings.rebalancer_by_shard.get(self.shard, ""),
            )
        demands = {item.budget: item.wanted for item in report.demands}
        self.plan.reports[holder] = ReceivedReport(report, trio.current_time(), demands)
        if self.ledger is None or report.ledger_version > self.ledger.version:
            return SetParts(shard=self.shard, rebalancer=self.membership.identity.vm)
        return self._parts_message(self.ledger, holder)

    async def rebalance(self):
        """Move parts towards demand: lower parts, write the ledger, raise parts."""
        if self.ledger is None:
            self.ledger = await read_ledger(self.platform, self.shard)
        before = self.ledger
        desired_parts = self.plan.desired_parts(before)
        after = evolve(before, entries=dict(before.entries))
        reductions = list(self.plan.reductions(before, desired_parts))
        attempt_id = self._next_attempt_id(before.version + 1)
        lower_results = await self._request_reductions(
            reductions, before.version + 1, attempt_id
        )
        changed = False
        transferred_tokens: TransferredTokens = {}
        # Read the specs again, as a new document may have removed budgets during the
        # round trip. The entries of removed budgets are deleted, so that no holder
        # keeps a part of them.
        known_specs = {spec.name: spec for spec in self.plan.specs()}
        for name, spec in known_specs.items():
            if name not in desired_parts:
                continue
            entry = self.plan.next_entry(
                before, spec, desired_parts[name], lower_results
            )
            changed |= entry != before.entries.get(name)
            after.entries[name] = entry
            transferred_tokens.update(
                self.plan.tokens_for_raised_parts(before, spec, entry, lower_results)
            )
        for name in before.entries.keys() - known_specs.keys():
            changed = True
            del after.entries[name]
        if changed or self._holder_awaits_newer_version(before.version):
            try:
                await self._publish(before, after, transferred_tokens, attempt_id)
            except PlatformUnavailable:
                await self._undo_reductions(reductions, attempt_id)
                raise

    async def _undo_reductions(self, reductions: list[Reduction], attempt_id: str):
        """Restore lowered parts after a write that has certainly not taken effect.

        Parts are lowered before the write. Without this, the fleet would be left with
        a fraction of each rate until an outage of the store is over. If the outcome of
        the write is unknown, the parts stay low: other VMs may already use the units,
        and whoever reads the ledger next assigns all of them again.
        """
        message = RestoreParts(shard=self.shard, mark=attempt_id)
        async with trio.open_nursery() as nursery:
            for holder in {reduction.holder for reduction in reductions}:
                nursery.start_soon(self._restore, holder, message)

    async def _restore(self, holder: str, message: RestoreParts):
        vm, _ = split_holder(holder)
        if vm == self.membership.identity.vm:
            self.holdings.restore(message)
            return
        with contextlib.suppress(PeerError):
            await self.network.ask(vm, "restore_parts", message, ASK_TIMEOUT_S)

    def _next_attempt_id(self, version: int) -> str:
        self.attempts += 1
        return f"{self.membership.identity.holder}/{version}/{self.attempts}"

    def _holder_awaits_newer_version(self, version: int) -> bool:
        """Return whether a holder lowered a part for a version that was not written.

        Such a holder ignores older versions, so its part would stay low forever.
        """
        return any(
            received.report.ledger_version > version
            and trio.current_time() - received.received_at < REPORT_TTL_S
            for received in self.plan.reports.values()
        )

    async def _request_reductions(
        self, reductions: list[Reduction], for_version: int, attempt_id: str
    ):
        """Request all reductions concurrently; return the answer of each holder."""
        results: LowerResults = {}
        by_holder: dict[str, list[Reduction]] = {}
        for reduction in reductions:
            by_holder.setdefault(reduction.holder, []).append(reduction)
        async with trio.open_nursery() as nursery:
            for holder, items in by_holder.items():
                message = LowerParts(
                    shard=self.shard, for_version=for_version, mark=attempt_id
                )
                nursery.start_soon(self._ask_to_lower, holder, items, message, results)
        return results

    async def _ask_to_lower(self, holder, reductions, message, results):
        for reduction in reductions:
            message.parts.append(Part(budget=reduction.budget, units=reduction.units))
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
            results[holder, part.budget] = LowerResult(part.units, part.level)

    async def _publish(
        self, before: Ledger, after: Ledger, transferred_tokens, attempt_id: str
    ):
        version = before.version + 1
        self.ledger = await write_ledger(
            self.platform, evolve(after, version=version, writer=attempt_id)
        )
        self.writes += 1
        self.transferred_tokens = transferred_tokens
        for holder in list(self.plan.reports):
            if self.plan.is_reclaimable(holder):
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
                    level=self.transferred_tokens.get((holder, name), 0.0),
                    total=entry.total,
                )
            )
        return message
