"""A fleet of VMs in failure domains that exchange summaries without sockets."""

from collections import Counter

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.heartbeats import DomainSummary, SummaryBundle, VmState
from plantainshed_gateway.members import Members
from plantainshed_gateway.quota import Quotas
from plantainshed_gateway.speakers import Speakers

from .gateway_support import BOUNDS, make_heartbeat, make_round_trips


class GossipVm:
    """One VM's members, quotas, and speakers."""

    def __init__(self, name: str, ip: str, domain: str, incarnation=1, weight=100.0):
        self.name, self.ip, self.domain = name, ip, domain
        self.incarnation = incarnation
        self.weight = weight
        self.number = 0
        self.state = VmState.READY
        self.members = Members(self.make_own_heartbeat())
        self.quotas = Quotas(self.members, BOUNDS, make_round_trips())
        self.speakers = Speakers(self.members)

    def make_own_heartbeat(self, usage=None):
        self.number += 1
        return make_heartbeat(
            self.name,
            self.number,
            failure_domain=self.domain,
            region=self.domain.partition("-")[0],
            incarnation=self.incarnation,
            state=self.state,
            weight=self.weight,
            caller_address=f"{self.ip}:1",
            control_address=f"{self.ip}:2",
            usage=usage or {},
        )


class GossipFleet:
    """All VMs and the messages between them.

    Parameters
    ----------
    domains : dict of str to int
        Number of VMs by failure domain.
    """

    def __init__(self, domains: dict[str, int], weights=(100.0,)):
        self.vms: dict[str, GossipVm] = {}
        self.sent = Counter()
        self.sent_bytes = Counter()
        self.far_bytes = 0
        self.ticks = 0
        # Whether messages to other domains arrive only with the next tick.
        self.is_far_late = False
        self.late: list[tuple] = []
        self.is_cut = lambda sender, receiver: False
        for number, domain in enumerate(domains):
            for index in range(domains[domain]):
                ip = f"10.{number}.0.{index + 1}"
                weight = weights[index % len(weights)]
                name = f"{domain}-{index}"
                self.vms[ip] = GossipVm(name, ip, domain, weight=weight)
        for vm in self.vms.values():
            vm.members.is_listed = True
            for other in self.vms.values():
                vm.members.note_listed(other.name, other.ip, other.domain)

    def tick(self):
        """Send one round of heartbeats, and summaries every second time."""
        self.ticks += 1
        late, self.late = self.late, []
        for sender, ip, message in late:
            self.deliver(sender, ip, message)
        for vm in list(self.vms.values()):
            vm.members.own = vm.make_own_heartbeat(vm.quotas.usage())
            for member in vm.members.in_own_domain():
                self.send(vm, member.ip, vm.members.own)
        for vm in list(self.vms.values()):
            if self.ticks % 2 == 0:
                receivers = vm.speakers.receivers()
                summary = vm.speakers.make_summary() if receivers else None
                for ip in receivers:
                    self.send(vm, ip, summary)
        for vm in list(self.vms.values()):
            for bundle in vm.speakers.take_bundles():
                for member in vm.members.in_own_domain():
                    self.send(vm, member.ip, bundle)
        for vm in self.vms.values():
            vm.quotas.recompute_shares()

    def send(self, sender: GossipVm, ip: str, message):
        data = encode(message)
        self.sent[sender.name] += 1
        self.sent_bytes[sender.name] += len(data)
        receiver = self.vms.get(ip)
        if receiver is None or self.is_cut(sender, receiver):
            return
        if self.is_far_late and sender.domain != receiver.domain:
            self.late.append((sender, ip, message))
            return
        self.deliver(sender, ip, message)

    def deliver(self, sender: GossipVm, ip: str, message):
        """Deliver a message to its receiver."""
        receiver, data = self.vms[ip], encode(message)
        if sender.domain.partition("-")[0] != receiver.domain.partition("-")[0]:
            self.far_bytes += len(data)
        message = decode(data)
        if isinstance(message, DomainSummary):
            if receiver.members.record_summary(message):
                receiver.speakers.queue_for_relay(message)
        elif isinstance(message, SummaryBundle):
            for packed in message.summaries:
                version_key = packed.failure_domain, packed.speaker, packed.version
                if receiver.members.wants_summary(*version_key):
                    receiver.members.record_summary(packed.unpack())
        else:
            receiver.members.record_heartbeat(message, sender.ip)
