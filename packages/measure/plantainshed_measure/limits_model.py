"""VMs that share workspaces' quotas, with all that they say, without sockets.

Of a gateway stand here the parts that a quota depends on, as they are. The
network, the callers, the store's answers and the clock are modelled.
"""

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field, frozen

from plantainshed_gateway.admission import Admission
from plantainshed_gateway.errors import Refusal
from plantainshed_gateway.gateway import UPKEEP_INTERVAL_S, VM_LIST_INTERVAL_S
from plantainshed_gateway.heartbeats import Heartbeat, VmState
from plantainshed_gateway.loans import Loans
from plantainshed_gateway.members import Members
from plantainshed_gateway.model import Workspace
from plantainshed_gateway.peer_messages import PeerMessageHandler
from plantainshed_gateway.peers import HEARTBEAT_S, HEARTBEATS_PER_SUMMARY, Peers
from plantainshed_gateway.poison import PoisonTracker
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.round_trips import RoundTrips
from plantainshed_gateway.settings import Bounds
from plantainshed_gateway.speakers import Speakers

from .limits_checks import Asked, Record
from .limits_network import LimitsNetwork

PORT = 7000
LINK_MBPS = 100.0
# What a start takes until the VM has its configuration and targets.
START_S = (0.02, 0.3)
# What a change of the configuration takes to a VM that reaches the store.
CHANGE_S = (0.01, 1.0)
STORE_POLL_S = 0.05


class NoLog:
    """Takes the place of a log that nobody reads."""

    def event(self, event: str, **fields):
        """Leave an event out."""


@frozen
class Place:
    """Where a VM is."""

    vm: str
    ip: str
    failure_domain: str
    region: str


class ModelVm:
    """One run of a VM: the parts of a gateway that quotas depend on.

    Parameters
    ----------
    fleet : ModelFleet
    place : Place
    incarnation : int

    Attributes
    ----------
    is_thawed : trio.Event
        Set while the process is not paused.
    """

    def __init__(self, fleet: "ModelFleet", place: Place, incarnation: int):
        self.fleet = fleet
        self.place = place
        self.incarnation = incarnation
        self.state = VmState.STARTING
        self.heartbeat_number = 0
        self.poison = PoisonTracker()
        log = NoLog()
        self.members = Members(self._heartbeat({}))
        self.speakers = Speakers(self.members)
        self.round_trips = RoundTrips(fleet.region_of, log)
        self.quotas = Quotas(self.members, fleet.bounds, self.round_trips)
        self.peers = Peers(
            self.members,
            self.speakers,
            place.ip,
            PORT,
            self._make_heartbeat,
            self._on_message,
            log,
        )
        self.peers.seeds = set(fleet.seeds)
        self.peers.socket = fleet.network.open(place.ip)
        self.loans = Loans(self.quotas, self.members, self.peers.send, self.round_trips)
        self.admission = Admission(None, self.quotas, self.loans)
        self.messages = PeerMessageHandler(
            self.peers, self.members, self.speakers, self.loans, self.poison, {}, log
        )
        self.workspaces: dict[str, Workspace] = {}
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.is_thawed = trio.Event()
        self.is_thawed.set()
        self.inbox: list[tuple[bytes, str]] = []

    async def run(self):
        """Run all parts until the VM is off."""
        self.fleet.network.receivers[self.place.ip] = self.take
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = self.messages.nursery = nursery
                nursery.start_soon(self._send_heartbeats)
                nursery.start_soon(self._know_vms)
                nursery.start_soon(self._become_ready)
                nursery.start_soon(self._upkeep)

    def stop(self):
        """End this run at once."""
        self.scope.cancel()
        if self.fleet.network.receivers.get(self.place.ip) == self.take:
            del self.fleet.network.receivers[self.place.ip]

    def freeze(self):
        """Let the process stand still; what arrives waits."""
        self.is_thawed = trio.Event()

    async def thaw(self):
        """Let the process go on."""
        if self.scope.cancel_called:
            return
        inbox, self.inbox = self.inbox, []
        self.is_thawed.set()
        for data, ip in inbox:
            await self.peers.handle_datagram(data, ip)

    async def leave(self):
        """Announce that this VM is about to end."""
        self.state = VmState.LEAVING
        await self.peers.send_now()

    async def take(self, data: bytes, ip: str):
        """Take in a datagram, once the process runs."""
        if self.is_thawed.is_set():
            await self.peers.handle_datagram(data, ip)
        else:
            self.inbox.append((data, ip))

    async def serve(self, name: str, sent_at: float):
        """Admit one request or refuse it."""
        await self.is_thawed.wait()
        began_at = trio.current_time()
        workspace = self.workspaces[name]
        is_admitted = True
        try:
            await self.admission.take_quota(workspace)
        except Refusal:
            is_admitted = False
        now = trio.current_time()
        looks_s = self.fleet.looks_s if is_admitted else None
        asked = Asked(sent_at, now, now - began_at, is_admitted, looks_s is None)
        self.fleet.record.asked[name].append(asked)
        if looks_s is not None:
            await trio.sleep(looks_s)
            self.quotas.return_token(workspace, now)

    def take_workspace(self, workspace: Workspace):
        """Put a workspace's quota in force."""
        self.workspaces = {**self.workspaces, workspace.name: workspace}
        self.quotas.workspaces = self.workspaces

    async def _send_heartbeats(self):
        number = 0
        while True:
            await self.peers.send_now(to_far=number % HEARTBEATS_PER_SUMMARY == 0)
            await trio.sleep(HEARTBEAT_S)
            await self.is_thawed.wait()
            number += 1

    async def _upkeep(self):
        while True:
            await trio.sleep(UPKEEP_INTERVAL_S)
            await self.is_thawed.wait()
            self.quotas.recompute_shares()
            self._measure_unknown()
            self.members.forget_gone()

    def _measure_unknown(self):
        for place in self.fleet.places.values():
            domain = place.failure_domain
            if self.round_trips.is_measured(domain):
                continue
            seconds = self.fleet.round_trip_s(self.place.ip, place.ip)
            if seconds is not None:
                self.round_trips.record(domain, seconds)

    async def _know_vms(self):
        while True:
            await self.fleet.store_answers(self.place.ip)
            is_first = not self.members.is_listed
            self.members.is_listed = True
            self.fleet.listed[self.place.vm] = self.place
            for place in self.fleet.listed.values():
                self.members.note_listed(place.vm, place.ip, place.failure_domain)
            if is_first:
                await self.peers.send_now()
            await trio.sleep(VM_LIST_INTERVAL_S)

    async def _become_ready(self):
        await trio.sleep(self.fleet.rng.uniform(*START_S))
        while not self.fleet.reaches_store(self.place.ip):
            if self.members.heard_count() > 1:
                # Another VM gives its copies.
                break
            await trio.sleep(STORE_POLL_S)
        for workspace in self.fleet.workspaces.values():
            self.take_workspace(workspace)
        if self.state is VmState.STARTING:
            self.state = VmState.READY
            await self.peers.send_now()

    async def _on_message(self, message, ip: str):
        await self.messages.handle(message, ip)

    def _make_heartbeat(self) -> Heartbeat:
        return self._heartbeat(self.quotas.usage(), self.members.count)

    def _heartbeat(self, use: dict, known: int = 1) -> Heartbeat:
        self.heartbeat_number += 1
        return Heartbeat(
            vm=self.place.vm,
            failure_domain=self.place.failure_domain,
            region=self.place.region,
            incarnation=self.incarnation,
            number=self.heartbeat_number,
            state=self.state,
            caller_address=f"{self.place.ip}:80",
            control_address=f"{self.place.ip}:81",
            known_vm_count=known,
            weight=LINK_MBPS,
            usage=use,
        )


@define
class ModelFleet:
    """All VMs of a play.

    Parameters
    ----------
    bounds : Bounds
    network : LimitsNetwork
    rng : random.Random
        Draws what starts and changes take.
    alter : callable
        Called with each VM that is made; tests spoil one with it.

    Attributes
    ----------
    places : dict of str to Place
        Of all VMs that run or ran, by name.
    listed : dict of str to Place
        VMs in the store.
    running : dict of str to ModelVm
    workspaces : dict of str to Workspace
        The newest configuration.
    is_store_away : bool
    looks_s : float or None
        While no target takes a request: how long VMs look for one.
    """

    bounds: Bounds
    network: LimitsNetwork
    rng: random.Random
    record: Record
    alter: Callable[[ModelVm], None] = lambda vm: None
    places: dict[str, Place] = field(factory=dict)
    listed: dict[str, Place] = field(factory=dict)
    running: dict[str, ModelVm] = field(factory=dict)
    workspaces: dict[str, Workspace] = field(factory=dict)
    region_of: dict[str, str] = field(factory=dict)
    seeds: tuple[str, ...] = ()
    is_store_away: bool = False
    looks_s: float | None = None
    nursery: trio.Nursery | None = None
    incarnation: int = 0

    def start(self, place: Place) -> ModelVm:
        """Start a VM, or start it anew."""
        self.incarnation += 1
        self.places[place.vm] = place
        vm = ModelVm(self, place, self.incarnation)
        self.alter(vm)
        self.running[place.vm] = vm
        self.nursery.start_soon(vm.run)
        return vm

    def stop(self, name: str):
        """End a VM at once."""
        vm = self.running.pop(name, None)
        if vm is not None:
            vm.stop()

    def serving(self) -> dict[str, ModelVm]:
        """Return the VMs that callers reach, by name."""
        return {
            name: vm
            for name, vm in self.running.items()
            if vm.state is not VmState.STARTING
        }

    def reaches_store(self, ip: str) -> bool:
        """Tell whether the store answers a VM; one that hears nobody is cut off."""
        if self.is_store_away:
            return False
        others = [p.ip for p in self.places.values() if p.ip != ip]
        return any(
            self.network.passes(ip, other) and self.network.passes(other, ip)
            for other in others
        )

    async def store_answers(self, ip: str):
        """Wait until the store answers a VM."""
        while not self.reaches_store(ip):
            await trio.sleep(STORE_POLL_S)

    def round_trip_s(self, ip: str, other: str) -> float | None:
        """Return how long a connection to another VM takes; None if it fails."""
        network = self.network
        if ip != other and not (
            network.passes(ip, other) and network.passes(other, ip)
        ):
            return None
        return network.one_way_s(ip, other) + network.one_way_s(other, ip)

    def change_quota(self, name: str, rate_per_s: float, burst: float):
        """Change a workspace's quota; VMs put it in force a little later."""
        changed = evolve(self.workspaces[name], rate_per_s=rate_per_s, burst=burst)
        self.workspaces[name] = changed
        self.record.note_quota(changed, trio.current_time())
        for vm in self.running.values():
            self.nursery.start_soon(self._take_change, vm, changed)

    async def _take_change(self, vm: ModelVm, changed: Workspace):
        await trio.sleep(self.rng.uniform(*CHANGE_S))
        await self.store_answers(vm.place.ip)
        await vm.is_thawed.wait()
        newest = self.workspaces[changed.name]
        vm.take_workspace(newest)
        self.record.note_late(changed, trio.current_time())
