"""A fleet whose VMs send heartbeats, summaries, and loans over links with latency."""

import io
import random
from collections import Counter

import trio

from plantainshed_gateway.datagrams import decode
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.load_sharing import LoadSharing
from plantainshed_gateway.loans import Loans
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.members import Members
from plantainshed_gateway.model import Workspace
from plantainshed_gateway.peer_messages import PeerMessageHandler
from plantainshed_gateway.peers import Peers
from plantainshed_gateway.permits import Permits
from plantainshed_gateway.poison import PoisonTracker
from plantainshed_gateway.ports import TargetEntry
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.selection.round_trips import RoundTrips
from plantainshed_gateway.selection.target_limits import TargetLimits
from plantainshed_gateway.settings import ShareLoad
from plantainshed_gateway.speakers import Speakers
from plantainshed_gateway.store_contact import StoreContact

from .gateway_support import BOUNDS, make_heartbeat

NEAR_S = 0.0003
UPKEEP_INTERVAL_S = 0.25
STEP_S = 0.01


class LinkedPeers(Peers):
    """Peers whose datagrams use the fleet's simulated links instead of a socket."""

    def __init__(self, fleet: "LinkedFleet", *rest):
        super().__init__(*rest)
        self.fleet = fleet

    def _send(self, data: bytes, ip: str):
        self.fleet.send(self.ip, data, ip)


class LinkedVm:
    """The components of one VM that quotas and load reports depend on."""

    def __init__(self, fleet: "LinkedFleet", ip: str, domain: str, incarnation: int):
        self.fleet, self.ip, self.domain = fleet, ip, domain
        self.name = f"vm-{ip}"
        self.incarnation = incarnation
        self.number = 0
        log = DecisionLog(self.name, domain, io.StringIO())
        self.members = Members(self.make_own_heartbeat({}))
        self.speakers = Speakers(self.members)
        self.round_trips = RoundTrips(fleet.region_of, log)
        self.quotas = Quotas(self.members, BOUNDS, self.round_trips)
        self.quotas.workspaces = {fleet.workspace.name: fleet.workspace}
        registry = Registry(fleet.region_of)
        registry.update_entries(fleet.targets, may_have_expired=False)
        self.load_sharing = LoadSharing(fleet.share_load, self.members, registry, log)
        self.peers = LinkedPeers(
            fleet,
            self.members,
            self.speakers,
            ip,
            1,
            self.make_full_heartbeat,
            self.on_message,
            log,
        )
        self.loans = Loans(self.quotas, self.members, self.peers.send, self.round_trips)
        self.contact = StoreContact()
        self.contact.note_answer()
        limits = TargetLimits(registry, self.members, log)
        self.messages = PeerMessageHandler(
            self.peers,
            self.members,
            self.speakers,
            self.loans,
            Permits(limits, self.peers.send, self.round_trips),
            self.load_sharing,
            PoisonTracker(),
            {},
            self.contact,
            log,
        )
        for domain in fleet.region_of:
            if fleet.region_of[domain] != fleet.region_of[self.domain]:
                self.round_trips.record(domain, 2 * fleet.one_way_s)

    def make_full_heartbeat(self):
        return self.make_own_heartbeat(
            self.quotas.usage(),
            needs_load=self.load_sharing.needs_reports,
            load=self.load_sharing.make_report(),
            contact=self.contact.report(),
            copy_age_s=1.23,
        )

    def make_own_heartbeat(self, usage, **more):
        self.number += 1
        return make_heartbeat(
            self.name,
            self.number,
            failure_domain=self.domain,
            region=self.fleet.region_of[self.domain],
            incarnation=self.incarnation,
            state=VmState.READY,
            caller_address=f"{self.ip}:1",
            control_address=f"{self.ip}:2",
            known_vm_count=self.fleet.count,
            weight=100.0,
            usage=usage,
            **more,
        )

    async def on_message(self, message, ip):
        await self.messages.handle(message, ip)

    async def run(self, after_s: float):
        """Send heartbeats and recompute shares, like a gateway, until cancelled."""
        await trio.sleep(after_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peers.send_heartbeats)
            nursery.start_soon(self.upkeep)

    async def upkeep(self):
        while True:
            await trio.sleep(UPKEEP_INTERVAL_S)
            self.quotas.recompute_shares()


class LinkedFleet:
    """All VMs, the links between them, and the requests they admit.

    Parameters
    ----------
    domains : dict of str to int
        Number of VMs by failure domain. Each name begins with the region's name.
    workspace : Workspace
    nursery : trio.Nursery
    one_way_s : float
        Latency between regions.
    targets : tuple of TargetEntry
        Targets that all VMs know.
    share_load : ShareLoad
    """

    def __init__(
        self,
        domains: dict[str, int],
        workspace: Workspace,
        nursery: trio.Nursery,
        one_way_s: float = 0.055,
        seed: int = 1,
        targets: tuple[TargetEntry, ...] = (),
        share_load: ShareLoad = ShareLoad.AUTO,
    ):
        self.workspace, self.nursery, self.one_way_s = workspace, nursery, one_way_s
        self.targets, self.share_load = list(targets), share_load
        self.rng = random.Random(seed)
        self.count = sum(domains.values())
        self.region_of = {domain: domain.partition("-")[0] for domain in domains}
        self.is_cut = lambda sender, receiver: False
        self.vms = {
            f"10.{number}.0.{index + 1}": domain
            for number, domain in enumerate(domains)
            for index in range(domains[domain])
        }
        self.scopes: dict[str, trio.CancelScope] = {}
        self.domain_of = dict(self.vms)
        self.vms = {ip: self.make_vm(ip, d, 1) for ip, d in self.domain_of.items()}
        for vm in self.vms.values():
            self.start(vm)
        self.sent_bytes: Counter[str] = Counter()
        self.requested = self.refused = 0
        self.admitted: list[float] = []

    def make_vm(self, *rest) -> LinkedVm:
        return LinkedVm(self, *rest)

    def start(self, vm: LinkedVm):
        vm.members.is_listed = True
        for other in self.vms.values():
            vm.members.note_listed(other.name, other.ip, other.domain)
        self.nursery.start_soon(self.run, vm, self.rng.random() / 2)

    async def run(self, vm: LinkedVm, after_s: float):
        with trio.CancelScope() as scope:
            self.scopes[vm.ip] = scope
            await vm.run(after_s)

    def kill(self, ip: str):
        """Stop a VM without a word."""
        self.scopes[ip].cancel()
        del self.vms[ip]

    def restart(self, ip: str):
        """Restart a VM with empty state."""
        self.scopes[ip].cancel()
        old = self.vms[ip]
        self.vms[ip] = self.make_vm(ip, old.domain, old.incarnation + 1)
        self.start(self.vms[ip])

    def send(self, sender: str, data: bytes, ip: str):
        self.sent_bytes[sender] += len(data)
        self.nursery.start_soon(self.deliver, sender, data, ip)

    async def deliver(self, sender: str, data: bytes, ip: str):
        if ip not in self.vms or self.is_cut(sender, ip):
            return
        is_far = (
            self.region_of[self.domain_of[sender]]
            != (self.region_of[self.domain_of[ip]])
        )
        await trio.sleep(self.one_way_s if is_far else NEAR_S)
        if ip in self.vms and not self.is_cut(sender, ip):
            await self.vms[ip].on_message(decode(data), sender)

    async def request(self, vm: LinkedVm):
        """Admit one request in the same way as the gateway."""
        self.requested += 1
        wait_s = vm.quotas.admit(self.workspace)
        if wait_s is not None:
            await vm.loans.borrow(self.workspace)
            wait_s = vm.quotas.take_token(self.workspace)
        if wait_s is None:
            await vm.loans.prefetch(self.workspace)
            self.admitted.append(trio.current_time())
        else:
            self.refused += 1

    async def play(self, seconds: float, rate, at=None):
        """Generate `rate` requests per second in total on the VMs given by `at`."""
        ips = at or list(self.vms)
        for _ in range(round(seconds / STEP_S)):
            for _ in range(self.random_round(rate * STEP_S)):
                vm = self.vms[self.rng.choice(ips)]
                self.nursery.start_soon(self.request, vm)
            await trio.sleep(STEP_S)

    def random_round(self, mean: float) -> int:
        whole, rest = divmod(mean, 1.0)
        return int(whole) + (self.rng.random() < rest)

    # Measurements.

    def tokens(self) -> float:
        """Return the number of tokens on all VMs."""
        buckets = [vm.quotas.buckets.get(self.workspace.name) for vm in self.all()]
        buckets = [bucket for bucket in buckets if bucket is not None]
        for bucket in buckets:
            bucket.refill()
        return sum(bucket.level for bucket in buckets)

    def shares(self) -> float:
        """Return the sum of all VMs' shares."""
        buckets = [vm.quotas.buckets.get(self.workspace.name) for vm in self.all()]
        return sum(bucket.share for bucket in buckets if bucket is not None)

    def all(self):
        return list(self.vms.values())

    def peak_in_window(self) -> int:
        times, most, start = self.admitted, 0, 0
        for end, at in enumerate(times):
            while at - times[start] >= BOUNDS.quota_window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    @property
    def allowed(self) -> float:
        in_window = self.workspace.rate_per_s * BOUNDS.quota_window_s
        in_window += self.workspace.burst
        return in_window * (1 + BOUNDS.quota_over) + BOUNDS.quota_slack

    @property
    def used(self) -> float:
        """Return the fullest window as a fraction of what is allowed."""
        return self.peak_in_window() / self.allowed
