"""Simulated VMs that share the quotas of workspaces, without sockets.

Each VM runs the gateway's own, unchanged parts that quotas depend on, and exchanges
its datagrams in memory. The network, the callers, the answers of the store and the
clock are simulated.
"""

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field, frozen

from plantainshed_gateway.admission import Admission
from plantainshed_gateway.errors import Refusal
from plantainshed_gateway.gateway import UPKEEP_INTERVAL_S
from plantainshed_gateway.heartbeats import Heartbeat, VmState
from plantainshed_gateway.load_sharing import LoadSharing
from plantainshed_gateway.loans import Loans
from plantainshed_gateway.members import Members
from plantainshed_gateway.model import Workspace
from plantainshed_gateway.peer_messages import PeerMessageHandler
from plantainshed_gateway.peers import HEARTBEAT_S, HEARTBEATS_PER_SUMMARY, Peers
from plantainshed_gateway.permits import Permits
from plantainshed_gateway.poison import PoisonTracker
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.selection.round_trips import RoundTrips
from plantainshed_gateway.selection.target_limits import TargetLimits
from plantainshed_gateway.settings import Bounds, ShareLoad
from plantainshed_gateway.speakers import Speakers
from plantainshed_gateway.store_contact import StoreContact
from plantainshed_gateway.vm_list import VmListReader

from .limits_checks import RequestHistory, RequestOutcome
from .limits_network import LimitsNetwork
from .limits_store import ModelStore, StoreConnection

PORT = 7000
LINK_MBPS = 100.0
# Time from the start of a VM until it has its configuration and targets.
START_DURATION_S = (0.02, 0.3)
# Delay until a changed configuration arrives at a VM that can reach the store.
CHANGE_DELAY_S = (0.01, 1.0)
STORE_POLL_S = 0.05


class NullLog:
    """Stands in for an event log and discards every event."""

    def event(self, event: str, **fields):
        """Discard an event."""


@frozen
class VmLocation:
    """The name, IP address, failure domain and region of a VM."""

    vm: str
    ip: str
    failure_domain: str
    region: str


class ModelVm:
    """One incarnation of a VM, made of the gateway's parts that quotas depend on.

    Parameters
    ----------
    fleet : ModelFleet
    location : VmLocation
    incarnation : int

    Attributes
    ----------
    is_resumed : trio.Event
        Set while the process is not paused.
    """

    def __init__(self, fleet: "ModelFleet", location: VmLocation, incarnation: int):
        self.fleet = fleet
        self.location = location
        self.incarnation = incarnation
        self.state = VmState.STARTING
        self.heartbeat_number = 0
        self.poison = PoisonTracker()
        log = NullLog()
        self.members = Members(self._heartbeat({}))
        self.speakers = Speakers(self.members)
        self.round_trips = RoundTrips(fleet.region_of, log)
        self.quotas = Quotas(self.members, fleet.bounds, self.round_trips)
        self.peers = Peers(
            self.members,
            self.speakers,
            location.ip,
            PORT,
            self._make_heartbeat,
            self._on_message,
            log,
        )
        self.peers.seeds = set(fleet.seeds)
        self.peers.socket = fleet.network.open_socket(location.ip)
        self.loans = Loans(self.quotas, self.members, self.peers.send, self.round_trips)
        self.admission = Admission(None, self.quotas, self.loans)
        registry = Registry(fleet.region_of)
        limits = TargetLimits(registry, self.members, log)
        self.messages = PeerMessageHandler(
            self.peers,
            self.members,
            self.speakers,
            self.loans,
            Permits(limits, self.peers.send, self.round_trips),
            LoadSharing(ShareLoad.AUTO, self.members, registry, log),
            self.poison,
            {},
            StoreContact(),
            log,
        )
        self.vm_list = VmListReader(
            StoreConnection(fleet.store, self),
            self.members,
            location.ip,
            self.peers,
            log,
        )
        self.started_at = trio.current_time()
        self.workspaces: dict[str, Workspace] = {}
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.is_resumed = trio.Event()
        self.is_resumed.set()
        self.inbox: list[tuple[bytes, str]] = []

    async def run(self):
        """Run all parts until the VM is stopped."""
        self.fleet.network.receivers[self.location.ip] = self.receive
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = self.messages.nursery = nursery
                nursery.start_soon(self._send_heartbeats)
                nursery.start_soon(self.vm_list.run)
                nursery.start_soon(self._become_ready)
                nursery.start_soon(self._upkeep)

    def stop(self):
        """Stop the VM immediately, without announcing it."""
        self.scope.cancel()
        if self.fleet.network.receivers.get(self.location.ip) == self.receive:
            del self.fleet.network.receivers[self.location.ip]

    def pause(self):
        """Pause the process; datagrams that arrive meanwhile are queued."""
        self.is_resumed = trio.Event()

    async def resume(self):
        """Resume the process and handle the queued datagrams."""
        if self.scope.cancel_called:
            return
        inbox, self.inbox = self.inbox, []
        self.is_resumed.set()
        for data, ip in inbox:
            await self.peers.handle_datagram(data, ip)

    def can_reach_store(self) -> bool:
        """Return whether the store answers this VM."""
        return self.fleet.can_reach_store(self.location.ip)

    async def wait_until_resumed(self):
        """Wait until the process is not paused."""
        await self.is_resumed.wait()

    async def announce_leaving(self):
        """Announce to the other VMs that this VM is about to stop."""
        self.state = VmState.LEAVING
        await self.peers.send_now()

    async def receive(self, data: bytes, ip: str):
        """Handle a datagram, or queue it while the process is paused."""
        if self.is_resumed.is_set():
            await self.peers.handle_datagram(data, ip)
        else:
            self.inbox.append((data, ip))

    async def serve(self, name: str, sent_at: float):
        """Admit or refuse one request, and record the outcome."""
        await self.is_resumed.wait()
        began_at = trio.current_time()
        workspace = self.workspaces[name]
        is_admitted = True
        try:
            await self.admission.take_quota(workspace)
        except Refusal:
            is_admitted = False
        now = trio.current_time()
        target_search_s = self.fleet.target_search_s if is_admitted else None
        outcome = RequestOutcome(
            sent_at, now, now - began_at, is_admitted, target_search_s is None
        )
        self.fleet.history.requests[name].append(outcome)
        if target_search_s is not None:
            await trio.sleep(target_search_s)
            self.quotas.return_token(workspace, now)

    def update_workspace(self, workspace: Workspace):
        """Apply a workspace's quota."""
        self.workspaces = {**self.workspaces, workspace.name: workspace}
        self.quotas.workspaces = self.workspaces

    async def _send_heartbeats(self):
        number = 0
        while True:
            await self.peers.send_now(to_far=number % HEARTBEATS_PER_SUMMARY == 0)
            await trio.sleep(HEARTBEAT_S)
            await self.is_resumed.wait()
            number += 1

    async def _upkeep(self):
        while True:
            await trio.sleep(UPKEEP_INTERVAL_S)
            await self.is_resumed.wait()
            self.quotas.recompute_shares()
            self._measure_round_trips()
            self.members.forget_gone()

    def _measure_round_trips(self):
        for location in self.fleet.locations.values():
            domain = location.failure_domain
            if self.round_trips.is_measured(domain):
                continue
            seconds = self.fleet.round_trip_s(self.location.ip, location.ip)
            if seconds is not None:
                self.round_trips.record(domain, seconds)

    async def _become_ready(self):
        await trio.sleep(self.fleet.rng.uniform(*START_DURATION_S))
        while not self.fleet.can_reach_store(self.location.ip):
            if self.members.heard_count() > 1:
                # Another VM provides its copy of the configuration.
                break
            await trio.sleep(STORE_POLL_S)
        for workspace in self.fleet.workspaces.values():
            self.update_workspace(workspace)
        if self.state is VmState.STARTING:
            self.state = VmState.READY
            await self.peers.send_now()

    async def _on_message(self, message, ip: str):
        await self.messages.handle(message, ip)

    def _make_heartbeat(self) -> Heartbeat:
        return self._heartbeat(
            self.quotas.usage(),
            known_vm_count=self.members.count,
            known_vms_digest=self.members.digest,
            is_vm_list_complete=self.members.is_listed,
        )

    def _heartbeat(self, usage: dict, **vm_list) -> Heartbeat:
        self.heartbeat_number += 1
        return Heartbeat(
            vm=self.location.vm,
            failure_domain=self.location.failure_domain,
            region=self.location.region,
            incarnation=self.incarnation,
            number=self.heartbeat_number,
            state=self.state,
            caller_address=f"{self.location.ip}:80",
            control_address=f"{self.location.ip}:81",
            weight=LINK_MBPS,
            usage=usage,
            **vm_list,
        )


@define
class ModelFleet:
    """All VMs of a simulation.

    Parameters
    ----------
    bounds : Bounds
    network : LimitsNetwork
    rng : random.Random
        Draws how long VM starts and configuration changes take.
    history : RequestHistory
    on_vm_created : callable
        Called with each VM before it runs. Tests use it to inject a defect.

    Attributes
    ----------
    locations : dict of str to VmLocation
        All VMs that run or have run, by name.
    store : ModelStore
        Holds the list of VMs.
    running : dict of str to ModelVm
    workspaces : dict of str to Workspace
        The newest configuration.
    is_store_down : bool
    is_store_apart : bool
        Whether VMs that are cut off from all others can still reach the store.
    target_search_s : float or None
        While no target accepts requests: how long a VM searches for one before it
        gives up. None while targets accept requests.
    """

    bounds: Bounds
    network: LimitsNetwork
    rng: random.Random
    history: RequestHistory
    on_vm_created: Callable[[ModelVm], None] = lambda vm: None
    locations: dict[str, VmLocation] = field(factory=dict)
    store: ModelStore = field(factory=ModelStore)
    running: dict[str, ModelVm] = field(factory=dict)
    workspaces: dict[str, Workspace] = field(factory=dict)
    region_of: dict[str, str] = field(factory=dict)
    seeds: tuple[str, ...] = ()
    is_store_down: bool = False
    is_store_apart: bool = False
    target_search_s: float | None = None
    nursery: trio.Nursery | None = None
    incarnation: int = 0

    def register(self, location: VmLocation):
        """Add a VM to the store, as if it had run before the simulation."""
        value = {"ip": location.ip, "failure_domain": location.failure_domain}
        self.store.put_before_start(location.vm, value)

    def start(self, location: VmLocation) -> ModelVm:
        """Start a VM, or restart it as a new incarnation."""
        self.incarnation += 1
        self.locations[location.vm] = location
        vm = ModelVm(self, location, self.incarnation)
        self.on_vm_created(vm)
        self.running[location.vm] = vm
        self.nursery.start_soon(vm.run)
        return vm

    def stop(self, name: str):
        """Stop a VM immediately."""
        vm = self.running.pop(name, None)
        if vm is not None:
            vm.stop()

    def serving_vms(self) -> dict[str, ModelVm]:
        """Return the VMs that receive requests from callers, by name."""
        return {
            name: vm
            for name, vm in self.running.items()
            if vm.state is not VmState.STARTING
        }

    def can_reach_store(self, ip: str) -> bool:
        """Return whether the store answers a VM.

        Unless the store is apart from the VMs' network, a VM that can exchange
        datagrams with no other VM is cut off from the store too.
        """
        if self.is_store_down:
            return False
        if self.is_store_apart:
            return True
        others = [
            location.ip for location in self.locations.values() if location.ip != ip
        ]
        return any(
            self.network.can_deliver(ip, other) and self.network.can_deliver(other, ip)
            for other in others
        )

    async def wait_for_store(self, ip: str):
        """Wait until the store answers a VM."""
        while not self.can_reach_store(ip):
            await trio.sleep(STORE_POLL_S)

    def round_trip_s(self, ip: str, other: str) -> float | None:
        """Return the round-trip time to another VM, or None if it is unreachable."""
        network = self.network
        if ip != other and not (
            network.can_deliver(ip, other) and network.can_deliver(other, ip)
        ):
            return None
        return network.one_way_s(ip, other) + network.one_way_s(other, ip)

    def change_quota(self, name: str, rate_per_s: float, burst: float):
        """Change a workspace's quota; each VM applies it after a random delay."""
        changed = evolve(self.workspaces[name], rate_per_s=rate_per_s, burst=burst)
        self.workspaces[name] = changed
        self.history.record_quota(changed, trio.current_time())
        for vm in self.running.values():
            self.nursery.start_soon(self._apply_change, vm, changed)

    async def _apply_change(self, vm: ModelVm, changed: Workspace):
        await trio.sleep(self.rng.uniform(*CHANGE_DELAY_S))
        await self.wait_for_store(vm.location.ip)
        await vm.is_resumed.wait()
        newest = self.workspaces[changed.name]
        vm.update_workspace(newest)
        self.history.record_late_change(changed, trio.current_time())
