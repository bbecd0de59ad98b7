"""All components of one VM, connected to each other but not to sockets.

The daemon runs a node on real sockets. Replays run several nodes on an
in-memory network. Both serve callers through `Serving.serve`.
"""

import contextlib
from collections.abc import Awaitable, Callable

import trio

from plantainshed_coordination.demand_reporter import DemandReporter
from plantainshed_coordination.errors import (
    CoordinationError,
    OutcomeUnknown,
    PlatformError,
)
from plantainshed_coordination.follower import DocumentFollower
from plantainshed_coordination.holdings import Holdings
from plantainshed_coordination.ledger import domain_shard, fleet_shards
from plantainshed_coordination.lending import Lending
from plantainshed_coordination.members import MemberState
from plantainshed_coordination.membership import Membership, SeedMember
from plantainshed_coordination.network import PeerNetwork
from plantainshed_coordination.operations import OperationRegistry
from plantainshed_coordination.peer_pb2 import MemberRecord
from plantainshed_coordination.rebalancer import Rebalancer
from plantainshed_coordination.rumors import RumorBook
from plantainshed_coordination.versioned import DocumentStore, Revision

from .admission import KEY_WITHDRAWN_TOPIC, Admission, RateLimiter
from .attempts import Attempts, Relay
from .context import Context
from .facts import RunStatistics
from .heartbeat_extra import HeartbeatExtra
from .in_force import budget_specs, empty_indexed_document, index_document
from .loads import DomainLoad, LoadTracker
from .lookup import TTL_S, Lookup
from .poison import PoisonTracker
from .probing import Probe, Probing
from .routing import Routing
from .serving import Serving
from .steering import Steering
from .targets import TargetOrder, TargetTable

MAINTENANCE_PERIOD_S = 1.0
LEAVE_NOTICE_S = TTL_S + 1.0


class Node:
    """All components of one VM.

    Parameters
    ----------
    context : Context
    relay : callable
        Sends one attempt to a target.
    probe : callable
        Checks one target's health.
    limiter : RateLimiter, optional
        Rate limiter to compare with the default, which divides each budget
        into parts and lends tokens between VMs.
    order : TargetOrder, optional
        Order of targets to compare with the default, least loaded first.
    """

    def __init__(
        self,
        context: Context,
        relay: Relay,
        probe: Probe,
        limiter: RateLimiter | None = None,
        order: TargetOrder | None = None,
    ):
        settings = context.settings
        self.context = context
        self.log = context.log
        self.in_force = empty_indexed_document()
        self.network = PeerNetwork(context.identity, context.transport)
        self.membership = Membership(
            context.identity,
            self.network,
            context.platform,
            [SeedMember(s.vm, s.failure_domain, s.peer) for s in settings.seeds],
            _initial_record(context),
        )
        self.rumors = RumorBook(self.network, self.membership)
        self.holdings = Holdings(self.network, self.membership.is_caught_up)
        self.lending = Lending(self.network, self.membership, self.holdings)
        shards = [*fleet_shards(), domain_shard(settings.failure_domain)]
        self.rebalancers = {shard: self._rebalancer(shard) for shard in shards}
        self.reporter = DemandReporter(
            self.network, self.membership, self.holdings, self.rebalancers
        )
        self.operations = OperationRegistry(self.network, self.membership)
        self.targets = TargetTable(self.holdings, order)
        self.loads = LoadTracker(settings.failure_domain)
        self.steering = Steering(self.membership, self.targets, self.loads)
        self.lookup = Lookup(self.membership, self.steering)
        self.routing = Routing(self.membership, self.lending, self.targets)
        self.admission = Admission(
            self.rumors, limiter or self.lending, context.metrics
        )
        self.poison = PoisonTracker(self.rumors)
        self.attempts = Attempts(
            self.routing, self.targets, self.poison, context.metrics, relay
        )
        self.statistics = RunStatistics(self.membership, self.targets)
        self.serving = Serving(
            context,
            self.membership,
            self.admission,
            self.attempts,
            self.operations,
            self.loads,
            self.lookup,
            self.statistics,
        )
        self.probing = Probing(self.membership, self.targets, probe)
        self.follower = DocumentFollower(
            DocumentStore(context.platform),
            context.bulk,
            self.membership,
            self._activate_document,
        )
        self._connect_components()
        self._distribute_document()

    def _rebalancer(self, shard: str) -> Rebalancer:
        rebalancer = Rebalancer(
            shard,
            self.context.platform,
            self.network,
            self.membership,
            self.holdings,
        )
        rebalancer.on_failure = self._on_rebalancing_failure
        return rebalancer

    def _on_rebalancing_failure(self, shard: str, error: CoordinationError):
        self.log.warning(
            "ledger not rebalanced",
            extra={
                "shard": shard,
                "problem": str(error),
                "outcome_unknown": isinstance(error, OutcomeUnknown),
            },
        )

    def _connect_components(self):
        self.holdings.choose_from_group = self.routing.choose_slots_to_lend
        self.membership.make_heartbeat_extra = self._make_heartbeat_extra
        self.membership.on_heartbeat_extra = self._on_heartbeat_extra
        self.membership.make_summary_extra = self._make_summary_extra
        self.membership.on_summary_extra = self._on_summary_extra
        self.rumors.listeners[KEY_WITHDRAWN_TOPIC] = self._on_key_withdrawn

    async def run(self):
        """Run all components until cancelled."""
        async with trio.open_nursery() as nursery:
            for component in (
                self.network,
                self.membership,
                self.rumors,
                self.lending,
                self.reporter,
                self.operations,
                self.follower,
                self.probing,
                self.routing,
                self.steering,
            ):
                nursery.start_soon(component.run)
            for shard, rebalancer in self.rebalancers.items():
                nursery.start_soon(rebalancer.run, self._candidates_of(shard))
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._run_maintenance)

    def _candidates_of(self, shard: str):
        own = self.context.settings.failure_domain
        if shard == domain_shard(own):
            return lambda: self.membership.live_in_domain(own)
        return self.membership.usable_vms

    async def _become_ready(self):
        await self.follower.installed.wait()
        self.steering.make_plans()
        self.membership.update_record(state=MemberState.READY)
        self.log.info("ready", extra={"document_version": self.version})

    async def _run_maintenance(self):
        while True:
            await trio.sleep(MAINTENANCE_PERIOD_S)
            self.holdings.reclaim_loans_of_ended_runs(self.membership.table.is_gone)
            self.lookup.clear_cache()
            self._update_outside_contact()
            self.statistics.observe(
                self.follower.store_heard_at, self.follower.is_watching
            )

    # State.

    @property
    def version(self) -> int:
        """Version of the document in force, 0 before the first one arrives."""
        return self.in_force.revision.version

    @property
    def is_ready(self) -> bool:
        """Whether this VM accepts callers' requests."""
        return (
            self.membership.record.state == MemberState.READY
            and self.membership.is_caught_up()
        )

    # Document and keys.

    def _activate_document(self, revision: Revision, segments: dict[str, bytes]):
        self.in_force = index_document(revision, segments, self.in_force)
        self._distribute_document()
        self.log.info(
            "document in force",
            extra={"document_version": revision.version, "change": revision.change_id},
        )

    def _distribute_document(self):
        in_force = self.in_force
        domain = self.context.settings.failure_domain
        self.holdings.set_specs(budget_specs(in_force.document, domain))
        for component in (
            self.admission,
            self.routing,
            self.steering,
            self.lookup,
            self.serving,
        ):
            component.in_force = in_force
        self.targets.update_document(in_force)
        self.lookup.clear_cache()
        for key in in_force.document.keys:
            if key.withdrawn:
                self.serving.cancel_calls_with_key(key.key_id)

    def withdraw_key(self, key_id: str):
        """Withdraw a key on this VM and publish the withdrawal to the fleet."""
        self.rumors.publish(KEY_WITHDRAWN_TOPIC, key_id)

    def _on_key_withdrawn(self, key_id: str, rumor):
        cancelled = self.serving.cancel_calls_with_key(key_id)
        self.log.info("key withdrawn", extra={"key_id": key_id, "cut": cancelled})

    # Application data in heartbeats and summaries.

    def _make_heartbeat_extra(self) -> bytes:
        load = self.loads.own_load({})
        silence_s = trio.current_time() - self.admission.outside_contact_at
        return HeartbeatExtra(
            load, self.probing.results, max(0.0, silence_s)
        ).to_bytes()

    def _on_heartbeat_extra(self, vm: str, data: bytes):
        if not data:
            return
        extra = HeartbeatExtra.from_bytes(data)
        self.loads.note_peer(vm, extra.load)
        for name, result in extra.probes.items():
            self.targets.note_probe(name, result)
        self._record_outside_contact(trio.current_time() - extra.outside_silence_s)

    def _make_summary_extra(self) -> bytes:
        return self.loads.domain_load(self.steering.own_capacity()).to_bytes()

    def _on_summary_extra(self, failure_domain: str, data: bytes):
        if data and failure_domain != self.context.settings.failure_domain:
            self.loads.note_domain(failure_domain, DomainLoad.from_bytes(data))

    def _update_outside_contact(self):
        heard_at = self.membership.table.domain_heard_at.values()
        self._record_outside_contact(max(heard_at, default=0.0))
        self._record_outside_contact(self.follower.store_heard_at)

    def _record_outside_contact(self, at: float):
        self.admission.outside_contact_at = max(self.admission.outside_contact_at, at)

    # Stopping.

    async def leave(self, close: Callable[[], Awaitable[None]], timeout_s: float):
        """Shut down gracefully, without cancelling requests.

        The VM announces that it is leaving, waits until cached look-ups have
        expired, completes the running requests and releases its resources.

        If it closed its listeners earlier, every caller with a cached look-up
        would get a failed connection. If it released its budget parts before it
        closed them, it would refuse its last callers.

        Parameters
        ----------
        close : callable
            Stops accepting connections and returns when all exchanges have
            ended.
        timeout_s : float
            Time after which the shutdown is abandoned, in seconds.
        """
        self.log.info("leaving", extra={"in_flight": self.serving.in_flight})
        self.membership.update_record(state=MemberState.LEAVING)
        with trio.move_on_after(timeout_s):
            await trio.sleep(LEAVE_NOTICE_S)
            await close()
            await self._release_resources()

    async def _release_resources(self):
        """Release budget parts and leases, and announce the departure."""
        self.holdings.leave()
        await self.reporter.report_all()
        for rebalancer in self.rebalancers.values():
            with contextlib.suppress(PlatformError):
                await rebalancer.lease.release()
        await self.membership.announce_leaving()


def _initial_record(context: Context) -> MemberRecord:
    settings = context.settings
    return MemberRecord(
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        incarnation=context.identity.incarnation,
        revision=1,
        state=MemberState.JOINING,
        listen=settings.listen,
        peer=settings.peer,
        control=settings.control,
        operation_epoch=1,
    )
