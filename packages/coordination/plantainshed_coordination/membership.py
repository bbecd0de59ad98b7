"""Who is there: heartbeats in a failure domain, summaries between domains.

Inside its failure domain a VM keeps one task for each peer, which sends
heartbeats. A heartbeat carries what the sender heard of others, so that one
lost link makes nobody suspect. Between domains two delegates, chosen by
rendezvous hashing, exchange summaries (`summaries`). The platform's list of
VMs, which lags, is followed by two VMs of each domain (`vm_list`).
"""

from collections.abc import Callable

import trio
from attrs import frozen

from .digests import rendezvous_order
from .identity import Identity
from .members import RECENT_CHANGE_S, Liveness, MemberState, MemberTable
from .network import PeerNetwork
from .peer_pb2 import BeatDigest, Gone, Heartbeat, MemberRecord
from .platform import Platform
from .summaries import Summaries
from .vm_list import VmList

HEARTBEAT_INTERVAL_S = 1.0
TICK_S = 0.5
SUSPECT_AFTER_S = 3.0
SILENT_AFTER_S = 6.0
PAUSE_THRESHOLD_S = 2.5
RESUME_TIMEOUT_S = 1.0
LEAVING_TTL_S = 10.0
MAX_HEARTBEATS_PER_S = 8


@frozen
class SeedMember:
    """A VM that may be running, known before anything was heard."""

    vm: str
    failure_domain: str
    peer: str


class Membership:
    """This VM's view of the fleet.

    Parameters
    ----------
    identity : Identity
    network : PeerNetwork
    platform : Platform
        For its lagging list of VMs.
    seeds : iterable of SeedMember
    record : MemberRecord
        What this VM says of itself at first.

    Attributes
    ----------
    table : MemberTable
    superseded : trio.Event
        Set when this run must not act any more: a later incarnation of this VM
        is running, or the platform has taken the VM away.
    is_resuming : bool
        Whether this run was paused and has not yet heard from anybody since.
    """

    def __init__(
        self,
        identity: Identity,
        network: PeerNetwork,
        platform: Platform,
        seeds,
        record,
    ):
        self.identity = identity
        self.network = network
        self.seeds = {seed.vm: seed for seed in seeds if seed.vm != identity.vm}
        self.record = record
        self.table = MemberTable()
        self.superseded = trio.Event()
        self.is_resuming = False
        self.beat = 0
        self.last_tick = trio.current_time()
        self.last_message_at = -SILENT_AFTER_S
        self.leaving_until: dict[str, float] = {}
        self.make_heartbeat_extra: Callable[[], bytes] = bytes
        self.make_summary_extra: Callable[[], bytes] = bytes
        self.on_heartbeat_extra: Callable[[str, bytes], None] = lambda vm, data: None
        self.on_summary_extra: Callable[[str, bytes], None] = lambda name, data: None
        self.on_change: list[Callable[[MemberRecord], None]] = []
        self._send_requested = trio.Event()
        self._peer_tasks: set[str] = set()
        self._domain_tasks: set[str] = set()
        self._has_been_ready = False
        for seed in self.seeds.values():
            network.addresses[seed.vm] = seed.peer
        network.handlers["heartbeat"] = self._on_heartbeat
        self.summaries = Summaries(self)
        self.vm_list = VmList(self, platform)

    async def run(self):
        """Keep up the view until cancelled."""
        self.last_tick = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.vm_list.run)
            while True:
                self._start_tasks(nursery)
                self._detect_pause(nursery)
                await trio.sleep(TICK_S)

    # What this VM says of itself.

    def update_record(self, **fields):
        """Change what this VM says of itself, and tell the others at once."""
        changed = False
        for name, value in fields.items():
            if getattr(self.record, name) != value:
                setattr(self.record, name, value)
                changed = True
        if not changed:
            return
        self.record.revision += 1
        self._has_been_ready |= self.record.state == MemberState.READY
        self.send_soon()

    def send_soon(self):
        """Send the next heartbeats now."""
        self._send_requested.set()
        self._send_requested = trio.Event()

    async def announce_leaving(self):
        """Tell the others that this VM is about to stop."""
        self.update_record(state=MemberState.LEFT)
        for vm in self.domain_peers():
            await self.network.send(vm, "heartbeat", self._heartbeat())
        for domain in self.other_domains():
            await self.summaries.send(domain)

    # Questions.

    def is_awake(self) -> bool:
        """Tell whether this run can trust what it knows.

        After a pause the process still believes what it believed before. The
        tick of the membership task shows how long ago that was; whoever is
        about to act asks here first, since it may run before that task does.
        """
        if self.superseded.is_set() or self.is_resuming:
            return False
        return trio.current_time() - self.last_tick < PAUSE_THRESHOLD_S

    def liveness(self, vm: str) -> Liveness:
        """Return what is believed of a VM."""
        if vm == self.identity.vm:
            return Liveness.ALIVE
        member = self.table.members.get(vm)
        if member is None:
            return Liveness.SILENT
        if self.table.is_gone(vm, member.record.incarnation):
            return Liveness.GONE
        if member.record.state == MemberState.LEFT:
            return Liveness.SILENT
        now = trio.current_time()
        if member.failure_domain == self.identity.failure_domain:
            return _liveness_after(now - member.heard_at)
        silence = now - self.table.domain_heard_at.get(
            member.failure_domain, -SILENT_AFTER_S
        )
        own_view = _liveness_after(silence)
        return max(own_view, member.reported_liveness, key=LIVENESS_ORDER.index)

    def records(self) -> list[MemberRecord]:
        """Return the newest record of every VM, this one's included."""
        others = [member.record for member in self.table.members.values()]
        return [self.record, *others]

    def usable_vms(self) -> list[str]:
        """Return the VMs that are believed to be alive, this one included."""
        names = [self.identity.vm]
        for vm in self.table.members:
            if self.liveness(vm) is Liveness.ALIVE:
                names.append(vm)
        return names

    def domain_peers(self) -> list[str]:
        """Return the known VMs of this failure domain, without this one."""
        names = {
            member.vm
            for member in self.table.members.values()
            if member.failure_domain == self.identity.failure_domain
            and self.liveness(member.vm) is not Liveness.GONE
        }
        names |= {
            seed.vm
            for seed in self.seeds.values()
            if seed.failure_domain == self.identity.failure_domain
            and seed.vm not in self.table.members
        }
        return sorted(names)

    def live_in_domain(self, failure_domain: str) -> list[str]:
        """Return the VMs of a failure domain that are believed to be alive."""
        names = [
            member.vm
            for member in self.table.members.values()
            if member.failure_domain == failure_domain
            and self.liveness(member.vm) is Liveness.ALIVE
        ]
        if failure_domain == self.identity.failure_domain:
            names.append(self.identity.vm)
        return sorted(names)

    def is_selected_for(self, key: str, count: int) -> bool:
        """Tell whether this VM is one of its domain's first for a key."""
        live = self.live_in_domain(self.identity.failure_domain)
        return self.identity.vm in rendezvous_order(key, live)[:count]

    def failure_domain_of(self, vm: str) -> str:
        """Return the failure domain of a VM, empty if it is not known."""
        if vm == self.identity.vm:
            return self.identity.failure_domain
        member = self.table.members.get(vm)
        return member.failure_domain if member else ""

    def reachable_domains(self) -> set[str]:
        """Return the failure domains that were heard lately, own one included."""
        now = trio.current_time()
        heard = self.table.domain_heard_at.items()
        reachable = {name for name, at in heard if now - at < SILENT_AFTER_S}
        return reachable | {self.identity.failure_domain}

    def leaving_vms(self) -> list[str]:
        """Return the VMs that the platform is about to take away."""
        now = trio.current_time()
        return sorted(vm for vm, until in self.leaving_until.items() if until > now)

    def note_leaving(self, vms):
        """Take in what a reader of the platform's list says is leaving."""
        until = trio.current_time() + LEAVING_TTL_S
        for vm in vms:
            if vm not in self.leaving_vms():
                self.leaving_until[vm] = until

    # Heartbeats inside the failure domain.

    def _start_tasks(self, nursery):
        for vm in self.domain_peers():
            if vm not in self._peer_tasks:
                self._peer_tasks.add(vm)
                nursery.start_soon(self._send_heartbeats_to, vm)
        for domain in self.other_domains():
            if domain not in self._domain_tasks:
                self._domain_tasks.add(domain)
                nursery.start_soon(self.summaries.send_periodically, domain)

    async def _send_heartbeats_to(self, vm: str):
        while self.liveness(vm) is not Liveness.GONE:
            await self.network.send(vm, "heartbeat", self._heartbeat())
            peers = len(self._peer_tasks)
            await self.wait_until_next_send(
                max(HEARTBEAT_INTERVAL_S, peers / MAX_HEARTBEATS_PER_S)
            )
        self._peer_tasks.discard(vm)

    async def wait_until_next_send(self, seconds: float):
        """Wait for a while, or until there is news to send."""
        with trio.move_on_after(seconds):
            await self._send_requested.wait()

    def _heartbeat(self) -> Heartbeat:
        now = trio.current_time()
        self.beat += 1
        heartbeat = Heartbeat(
            sender=self.record,
            beat=self.beat,
            wants_all=now - self.last_message_at > SUSPECT_AFTER_S,
            extra=self.make_heartbeat_extra(),
        )
        for member in self.table.members.values():
            if member.failure_domain == self.identity.failure_domain:
                heartbeat.digests.append(_beat_digest(member))
            if now - member.changed_at < RECENT_CHANGE_S:
                heartbeat.news.append(member.record)
        heartbeat.domain_beats.extend(self.table.domain_beats.values())
        heartbeat.gone.extend(self.recently_gone(now))
        heartbeat.leaving.extend(self.leaving_vms())
        return heartbeat

    async def _on_heartbeat(self, sender, message: Heartbeat):
        now = trio.current_time()
        self.last_message_at = now
        is_new = message.sender.vm not in self.table.members
        self.merge_record(message.sender, now)
        self.table.note_beat(
            message.sender.vm, message.sender.incarnation, message.beat, now
        )
        for record in message.news:
            self.merge_record(record, now)
        for digest in message.digests:
            self.table.note_beat(digest.vm, digest.incarnation, digest.beat, now)
        for beat in message.domain_beats:
            self.table.note_domain_beat(beat, now)
        self.note_leaving(message.leaving)
        self.merge_gone(message.gone, now)
        self.on_heartbeat_extra(message.sender.vm, message.extra)
        if message.wants_all or is_new:
            await self.summaries.send_all_records(message.sender.vm)

    def other_domains(self) -> list[str]:
        """Return the known failure domains without the own one."""
        names = {member.failure_domain for member in self.table.members.values()}
        names |= {seed.failure_domain for seed in self.seeds.values()}
        return sorted(names - {self.identity.failure_domain})

    # What both kinds of message carry.

    def merge_record(self, record: MemberRecord, now: float) -> bool:
        """Take over a record if it is newer; return whether it was."""
        if record.vm == self.identity.vm:
            self._resolve_incarnation_conflict(record.incarnation)
            return False
        if not record.vm or not self.table.merge(record, now):
            return False
        self.network.addresses[record.vm] = record.peer
        for callback in self.on_change:
            callback(record)
        return True

    def _resolve_incarnation_conflict(self, incarnation: int):
        if incarnation <= self.identity.incarnation:
            return
        # Another run of this VM with a later incarnation exists. Before this
        # one has been ready, it is an earlier run whose clock was ahead: the
        # newer process is this one and takes the next number. Afterwards this
        # process is the one that was replaced while it was paused. Acting on
        # would use limits that have been handed to others: it must stop.
        if self._has_been_ready:
            self.superseded.set()
            return
        self.identity = Identity(
            self.identity.vm, self.identity.failure_domain, incarnation + 1
        )
        self.network.identity = self.identity
        self.record.incarnation = incarnation + 1

    def merge_gone(self, items, now: float) -> bool:
        """Note runs that are over; return whether any is news."""
        changed = False
        for item in items:
            is_self = item.vm == self.identity.vm
            if is_self and item.incarnation == self.identity.incarnation:
                self.superseded.set()
            changed |= self.table.note_gone(item.vm, item.incarnation, now)
        return changed

    def recently_gone(self, now: float) -> list[Gone]:
        """Return what was learnt lately of runs that are over."""
        return [
            Gone(vm=vm, incarnation=incarnation)
            for (vm, incarnation), at in self.table.gone.items()
            if now - at < RECENT_CHANGE_S
        ]

    # Pauses.

    def _detect_pause(self, nursery):
        now = trio.current_time()
        if now - self.last_tick >= PAUSE_THRESHOLD_S:
            self.is_resuming = True
            self.send_soon()
            nursery.start_soon(self._finish_resuming, now)
        self.last_tick = now

    async def _finish_resuming(self, resumed_at: float):
        """End the state of waking once a peer was heard, or none answers.

        A run that is cut off from everybody can learn nothing by waiting; it
        goes on with what it holds, which nobody else was given.
        """
        with trio.move_on_after(RESUME_TIMEOUT_S):
            while self.last_message_at <= resumed_at:
                await trio.sleep(TICK_S / 10)
        self.is_resuming = False


LIVENESS_ORDER = [Liveness.ALIVE, Liveness.SUSPECT, Liveness.SILENT, Liveness.GONE]


def _liveness_after(silence_s: float) -> Liveness:
    if silence_s < SUSPECT_AFTER_S:
        return Liveness.ALIVE
    return Liveness.SUSPECT if silence_s < SILENT_AFTER_S else Liveness.SILENT


def _beat_digest(member) -> BeatDigest:
    return BeatDigest(
        vm=member.vm, incarnation=member.record.incarnation, beat=member.beat
    )
