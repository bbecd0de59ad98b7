"""Assembles the components of one gateway VM, without its listening sockets."""

from math import inf

import trio
from attrs import evolve

from plantainshed_http.server import ConnectionLimits, Exchange

from .admission import Admission
from .connections import TargetConnections
from .context import Context
from .crash_checks import CrashChecks
from .datagrams import Message
from .distance_prober import DistanceProber
from .errors import BadRequest
from .fleet_view import FleetView
from .forwarding import Forwarder
from .freshness_poller import FreshnessPoller, poll_interval_s
from .health_checks import HealthChecks
from .heartbeats import Heartbeat, VmState
from .load_sharing import LoadSharing
from .loans import Loans
from .lookup import LookupTable
from .members import Members
from .memory_budget import answer_budget, request_budget
from .pauses import PauseDetector
from .peer_messages import PeerMessageHandler
from .peers import Peers, StateHandler
from .permits import Permits
from .poison import PoisonTracker
from .ports import Collection
from .quota import Quotas
from .reach_prober import ReachProber
from .relay_choice import RelayChoice
from .relay_messages import RELAY_HEADER
from .relaying import Relaying
from .replication import Follower
from .request_bodies import RequestBodies
from .retry_budget import RetryBudgets
from .selection.choice import LoadAwareChoice
from .selection.cold import ColdTargets
from .selection.placement import Placement
from .selection.queueing import QueueLimits
from .selection.registry import Registry
from .selection.round_trips import RoundTrips
from .selection.target_limits import TargetLimits
from .serving import Serving
from .settings import Settings
from .speakers import Speakers
from .start_order import StartOrder
from .state_applier import StateApplier
from .store_contact import StoreContact
from .target_reach import TargetReach
from .vm_list import VmListReader
from .watch_lease import WatchLease

FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)
UPKEEP_INTERVAL_S = 0.25
# Maximum time for which a VM that has just started waits for a complete list of VMs
# before it accepts callers. Without it, the VM has no tokens of its own.
VM_LIST_WAIT_S = 3.0
# Maximum time after a pause in which callers are refused. If the store is still
# unavailable then, this VM serves with its last known state, as it would have
# without the pause.
CATCH_UP_S = 1.5
CATCH_UP_STEP_S = 0.02


class Gateway:
    """All components of one gateway VM.

    Attributes
    ----------
    state : VmState
    limits : ConnectionLimits
        Limits of callers' connections from the configuration in force.
    """

    def __init__(self, context: Context):
        settings = context.settings
        platform_adapter = context.platform_adapter
        self.context = context
        self.log = context.log
        self.state = VmState.STARTING
        self.limits = ConnectionLimits()
        self.heartbeat_number = 0
        self.followers: dict[Collection, Follower] = {}
        self.request_memory = request_budget(settings.memory_mb)
        self.answer_memory = answer_budget(settings.memory_mb)
        self.poison = PoisonTracker()
        self.contact = StoreContact(self._poll_interval_s)
        self.members = Members(self._own_heartbeat({}, {}))
        self.speakers = Speakers(self.members)
        self.registry = Registry(settings.region_of)
        self.round_trips = RoundTrips(settings.region_of, context.log)
        self.quotas = Quotas(self.members, settings.bounds, self.round_trips)
        self.retries = RetryBudgets(settings.bounds)
        self.cold = ColdTargets(settings.bounds, settings.vm)
        self.reach = TargetReach(
            self.registry, settings.region, settings.failure_domain
        )
        self.connections = TargetConnections(self.round_trips, self.reach)
        self.reach_prober = ReachProber(
            self.reach,
            self.registry,
            self.connections,
            HealthChecks(self.registry, self.round_trips),
            self._announce_reach,
            context.log,
        )
        self.peers = Peers(
            self.members,
            self.speakers,
            settings.ip,
            settings.datagram_port,
            self._make_heartbeat,
            self._on_message,
            context.log,
        )
        self.peers.seeds = _ips(settings.seeds)
        self.vm_list = VmListReader(
            platform_adapter.store,
            self.members,
            settings.ip,
            self.peers,
            context.log,
        )
        self.start_order = StartOrder(
            self.members, self.vm_list, has_seeds=bool(settings.seeds)
        )
        self.fleet_view = FleetView(self.members, self.quotas, context)
        self.loans = Loans(self.quotas, self.members, self.peers.send, self.round_trips)
        self.admission = Admission(platform_adapter.wire, self.quotas, self.loans)
        self.target_limits = TargetLimits(self.registry, self.members, context.log)
        self.permits = Permits(self.target_limits, self.peers.send, self.round_trips)
        self.queues = QueueLimits(self.round_trips)
        self.load_sharing = LoadSharing(
            settings.share_load, self.members, self.registry, context.log
        )
        self.placement = Placement(
            settings.region,
            self.registry,
            self.cold,
            self.target_limits,
            self.queues,
            self.connections,
            self.round_trips,
            LoadAwareChoice(self.load_sharing.fleet_load, self.round_trips),
        )
        self.forwarder = Forwarder(
            platform_adapter.wire,
            self.connections,
            self.target_limits,
            context.metrics,
            context.log,
            self.answer_memory,
        )
        self.distance_prober = DistanceProber(
            self.registry, self.connections, self.round_trips, context.log
        )
        self.serving = Serving(
            context,
            self.admission,
            self.placement,
            self.permits,
            self.forwarder,
            self.retries,
            self.members,
            CrashChecks(
                self.poison,
                self.connections,
                self.reach_prober,
                self.members,
                context.log,
            ),
            self.reach_prober,
            Relaying(
                settings.vm,
                settings.listen.control.rpartition(":")[2],
                RelayChoice(self.members),
                self.round_trips,
                context.log,
                self.answer_memory,
            ),
            self.load_sharing,
            RequestBodies(platform_adapter.wire, self.request_memory, self.limits),
        )
        self.lookup = LookupTable(self.members, settings.bounds.longest_ttl_s)
        self.followers = {
            collection: Follower(
                platform_adapter.store,
                collection,
                self._on_change,
                context.log,
                self.speakers.is_store_watched_by_speakers,
                self.start_order.await_turn,
                self.contact,
            )
            for collection in FOLLOWED
        }
        self.freshness_poller = FreshnessPoller(
            self.followers, self.speakers.is_store_poller, settings.vm
        )
        self.watch_lease = WatchLease(
            self.speakers,
            self.freshness_poller,
            self._poll_interval_s,
            lambda: self.peers.send_now(False),
            context.log,
        )
        self.state_applier = StateApplier(
            platform_adapter.decoder,
            self.followers,
            self.admission,
            self.registry,
            self.limits,
            self.contact,
            context.log,
        )
        self.messages = PeerMessageHandler(
            self.peers,
            self.members,
            self.speakers,
            self.loans,
            self.permits,
            self.load_sharing,
            self.poison,
            self.followers,
            self.contact,
            context.log,
        )
        self.state_handler = StateHandler(self.replicas)
        self.has_awaited_vm_list = False
        self._nursery: trio.Nursery | None = None

    def apply_settings(self, new: Settings) -> Settings:
        """Apply the settings that may change at run time.

        These are the bounds, the seeds, and whether load reports are exchanged.
        Returns the settings in force. All other settings need a restart: a changed
        address would be announced to other VMs and callers although nothing listens
        on it yet, and requests to it would be lost.
        """
        settings = evolve(
            self.context.settings,
            bounds=new.bounds,
            seeds=new.seeds,
            share_load=new.share_load,
        )
        self.context.settings = settings
        self.retries.bounds = settings.bounds
        self.cold.bounds = settings.bounds
        self.quotas.bounds = settings.bounds
        self.lookup.limit_ttl(settings.bounds.longest_ttl_s)
        self.load_sharing.share_load = settings.share_load
        self.peers.seeds = _ips(settings.seeds)
        return settings

    @property
    def replicas(self):
        """This VM's replicas, by collection."""
        return {name: follower.replica for name, follower in self.followers.items()}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run all components until cancelled; started once messages can be sent."""
        async with self.peers.open(), trio.open_nursery() as nursery:
            task_status.started()
            self._nursery = self.messages.nursery = nursery
            for follower in self.followers.values():
                nursery.start_soon(follower.run)
            nursery.start_soon(self.freshness_poller.run, self._poll_interval_s)
            nursery.start_soon(self.watch_lease.run)
            nursery.start_soon(self.peers.send_heartbeats)
            nursery.start_soon(self.peers.receive)
            nursery.start_soon(self.vm_list.run)
            nursery.start_soon(self.reach_prober.run)
            nursery.start_soon(self._await_vm_list)
            nursery.start_soon(self._upkeep)

    def _poll_interval_s(self) -> float:
        return poll_interval_s(self.context.settings.bounds.in_force_within_s)

    def _on_change(self, collection: Collection):
        self.state_applier.apply(collection)
        self._become_ready()
        if self._nursery is not None and self.speakers.is_speaker:
            # The other VMs of this failure domain get changes from this speaker.
            self._nursery.start_soon(self.peers.send_now, False)

    async def _await_vm_list(self):
        with trio.move_on_after(VM_LIST_WAIT_S):
            await self.members.listed.wait()
        self.has_awaited_vm_list = True
        self._become_ready()

    def _become_ready(self):
        if self.state is not VmState.STARTING or not self.has_awaited_vm_list:
            return
        if self.admission.configuration is None:
            return
        if all(replica.is_initialized for replica in self.replicas.values()):
            self.state = VmState.READY
            self.serving.is_ready.set()
            if self._nursery is not None:
                # After this heartbeat, other VMs reserve a share of the quotas for
                # this VM and include it in look-ups.
                self._nursery.start_soon(self.peers.send_now)
            self.log.event(
                "ready",
                configuration=self.admission.configuration.version,
                targets=len(self.registry.states),
            )

    # Communication with other VMs.

    def _own_heartbeat(self, newest_revisions: dict, usage: dict, **more) -> Heartbeat:
        settings = self.context.settings
        self.heartbeat_number += 1
        return Heartbeat(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=self.context.incarnation,
            number=self.heartbeat_number,
            state=self.state,
            weight=settings.link_mbps,
            is_store_reachable=all(f.is_connected for f in self.followers.values()),
            caller_address=settings.listen.callers,
            control_address=settings.listen.control,
            newest_revisions=newest_revisions,
            usage=usage,
            crashes=self.poison.recent_crashes(),
            **more,
        )

    def _make_heartbeat(self) -> Heartbeat:
        newest = {
            name.value: replica.changed_at_revision
            for name, replica in self.replicas.items()
        }
        return self._own_heartbeat(
            newest,
            self.quotas.usage(),
            known_vm_count=self.members.count,
            known_vms_digest=self.members.digest,
            is_vm_list_complete=self.members.is_listed,
            is_cut_off=self.reach.is_cut_off,
            limits=self.target_limits.reports(),
            needs_load=self.load_sharing.needs_reports,
            load=self.load_sharing.make_report(),
            contact=self.contact.report(),
            copy_age_s=self.freshness_poller.copy_age_s(),
        )

    async def _announce_reach(self):
        await self.peers.send_now()

    async def _on_message(self, message: Message, ip: str):
        await self.messages.handle(message, ip)

    async def _upkeep(self):
        pauses = PauseDetector()
        while True:
            await trio.sleep(UPKEEP_INTERVAL_S)
            paused_s = pauses.check(UPKEEP_INTERVAL_S)
            if paused_s:
                await self._catch_up_after(paused_s)
            self.quotas.recompute_shares()
            self.target_limits.refresh()
            self.load_sharing.refresh()
            self.reach.check_silence()
            self.registry.drop_expired()
            self.connections.close_idle(set(self.registry.states))
            self.distance_prober.measure_unknown(self._nursery)
            self.fleet_view.report()
            for vm in self.members.forget_gone():
                self.log.event("vm forgotten", peer=vm)
            self.log.flush()

    def measure(self):
        """Update the metrics that are only needed when they are read."""
        metrics = self.context.metrics
        for domain, seconds in self.round_trips.by_domain().items():
            metrics.round_trip.set({"failure_domain": domain}, seconds)
        for collection, replica in self.replicas.items():
            labels = {"collection": collection.value}
            metrics.copy_revision.set(labels, replica.revision)
            if replica.current_at > -inf:
                metrics.copy_age.set(labels, trio.current_time() - replica.current_at)
        configuration = self.admission.configuration
        if configuration is not None:
            metrics.configuration_problems.set({}, len(configuration.problems))
        metrics.targets_unreachable.set({}, int(self.reach.is_cut_off))
        metrics.body_bytes.set({"of": "requests"}, self.request_memory.reserved)
        metrics.body_bytes.set({"of": "answers"}, self.answer_memory.reserved)
        metrics.limited_targets.set({}, len(self.target_limits.limited))
        self.load_sharing.measure(metrics)
        self.fleet_view.measure()

    async def _catch_up_after(self, paused_s: float):
        """After a process pause, refuse callers until the replicas are up to date.

        The time is limited to `CATCH_UP_S`.
        """
        self.log.event("was paused", seconds=round(paused_s, 3))
        self.serving.is_caught_up = False
        self.state_applier.note_pause()
        for follower in self.followers.values():
            follower.relist()
        with trio.move_on_after(CATCH_UP_S):
            while not all(replica.is_confirmed for replica in self.replicas.values()):
                await trio.sleep(CATCH_UP_STEP_S)
        self.serving.is_caught_up = True
        self.log.event(
            "caught up",
            confirmed=[n for n, copy in self.replicas.items() if copy.is_confirmed],
        )

    # HTTP handlers.

    async def answer_lookup(self, exchange: Exchange):
        """Answer a caller's look-up with the addresses of VMs to use."""
        wire = self.context.platform_adapter.wire
        try:
            lookup = wire.read_lookup(exchange.request)
        except BadRequest as error:
            await exchange.reply(400, [], str(error).encode())
            return
        body = self.lookup.answer(lookup, wire.write_lookup)
        self.context.metrics.lookups.inc({"region": lookup.region})
        if body is None:
            # An empty address list would leave the caller without any VM to use.
            await exchange.reply(503, [], b"no VM takes callers now\n")
            return
        await exchange.reply(200, [(b"content-type", b"application/json")], body)

    async def answer_peer(self, exchange: Exchange):
        """Answer another VM's request for state, or one that it cannot forward."""
        if exchange.request.header(RELAY_HEADER) is None:
            await self.state_handler.handle(exchange)
        else:
            await self.serving.serve_relayed(exchange)

    async def answer_readiness(self, exchange: Exchange):
        """Answer a readiness check."""
        if self.state is VmState.READY:
            await exchange.reply(200, [], b"ready\n")
        else:
            await exchange.reply(503, [], f"{self.state}\n".encode())

    async def announce_leaving(self):
        """Announce to all VMs that look-ups must no longer include this VM."""
        self.state = VmState.LEAVING
        await self.peers.send_now()


def _ips(addresses: tuple[str, ...]) -> set[str]:
    return {address.rpartition(":")[0] for address in addresses}
