"""Fleet membership and failure detection.

Within a failure domain, each VM runs one task per peer that sends heartbeats.
A heartbeat also carries the latest heartbeat numbers of other VMs, so that one
broken link does not make a VM suspect. Between failure domains, two delegates
of each domain, chosen by rendezvous hashing, send summaries (`summaries`). Two
VMs of each domain poll the platform's list of VMs, which lags (`vm_list`).
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
    """A VM from the configuration that may be running."""

    vm: str
    failure_domain: str
    peer: str


class Membership:
    """This VM's view of the members of the fleet.

    Parameters
    ----------
    identity : Identity
    network : PeerNetwork
    platform : Platform
        Provides the list of VMs, which lags.
    seeds : iterable of SeedMember
    record : MemberRecord
        The initial record of this VM.

    Attributes
    ----------
    table : MemberTable
    superseded : trio.Event
        Set when this process must stop acting because a later incarnation of
        this VM is running or the platform has removed the VM.
    is_resuming : bool
        Whether this process was paused and has not received a message from a
        peer since then.
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
        """Maintain the view until cancelled."""
        self.last_tick = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.vm_list.run)
            while True:
                self._start_tasks(nursery)
                self._detect_pause(nursery)
                await trio.sleep(TICK_S)

    # The record of this VM.

    def update_record(self, **fields):
        """Change fields of this VM's record and send the new record at once."""
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
        """Send the next heartbeats and summaries without waiting for the interval."""
        self._send_requested.set()
        self._send_requested = trio.Event()

    async def announce_leaving(self):
        """Notify the other VMs that this VM is about to stop."""
        self.update_record(state=MemberState.LEFT)
        for vm in self.domain_peers():
            await self.network.send(vm, "heartbeat", self._heartbeat())
        for domain in self.other_domains():
            await self.summaries.send(domain)

    # Queries.

    def is_caught_up(self) -> bool:
        """Return whether this process may act on its view of the fleet.

        After a pause, the view is as old as the last tick of the membership
        task. Callers check this method before they act, because they may be
        scheduled before that task detects the pause.
        """
        if self.superseded.is_set() or self.is_resuming:
            return False
        return trio.current_time() - self.last_tick < PAUSE_THRESHOLD_S

    def liveness(self, vm: str) -> Liveness:
        """Return the believed liveness of a VM."""
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
        """Return the newest known record of every VM, including this one."""
        others = [member.record for member in self.table.members.values()]
        return [self.record, *others]

    def usable_vms(self) -> list[str]:
        """Return the VMs that are believed to be alive, including this one."""
        names = [self.identity.vm]
        for vm in self.table.members:
            if self.liveness(vm) is Liveness.ALIVE:
                names.append(vm)
        return names

    def domain_peers(self) -> list[str]:
        """Return the known VMs of this failure domain, excluding this one."""
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
        """Return whether this VM is selected for a key in its failure domain.

        Rendezvous hashing ranks the live VMs of the failure domain for the key
        and selects the first `count` of them.
        """
        live = self.live_in_domain(self.identity.failure_domain)
        return self.identity.vm in rendezvous_order(key, live)[:count]

    def failure_domain_of(self, vm: str) -> str:
        """Return the failure domain of a VM, or an empty string if unknown."""
        if vm == self.identity.vm:
            return self.identity.failure_domain
        member = self.table.members.get(vm)
        return member.failure_domain if member else ""

    def reachable_domains(self) -> set[str]:
        """Return the failure domains heard from recently, including the own one."""
        now = trio.current_time()
        heard = self.table.domain_heard_at.items()
        reachable = {name for name, at in heard if now - at < SILENT_AFTER_S}
        return reachable | {self.identity.failure_domain}

    def leaving_vms(self) -> list[str]:
        """Return the VMs that the platform is about to remove."""
        now = trio.current_time()
        return sorted(vm for vm, until in self.leaving_until.items() if until > now)

    def note_leaving(self, vms):
        """Record VMs that the platform's list reports as leaving."""
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
        """Wait for the given time, or until `send_soon` is called."""
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
        """Return the known failure domains, excluding the own one."""
        names = {member.failure_domain for member in self.table.members.values()}
        names |= {seed.failure_domain for seed in self.seeds.values()}
        return sorted(names - {self.identity.failure_domain})

    # Contents common to heartbeats and summaries.

    def merge_record(self, record: MemberRecord, now: float) -> bool:
        """Store a record if it is newer than the known one; return whether it was."""
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
        # Another process of this VM has a later incarnation. If this process has
        # never been ready, the other one is an earlier process whose clock was
        # ahead. This process is the newer one and takes the next incarnation
        # number. If this process has been ready, it was replaced while it was
        # paused. It must stop, because it would use limits that have been given
        # to other VMs.
        if self._has_been_ready:
            self.superseded.set()
            return
        self.identity = Identity(
            self.identity.vm, self.identity.failure_domain, incarnation + 1
        )
        self.network.identity = self.identity
        self.record.incarnation = incarnation + 1

    def merge_gone(self, items, now: float) -> bool:
        """Record incarnations that are gone; return whether any of them is new."""
        changed = False
        for item in items:
            is_self = item.vm == self.identity.vm
            if is_self and item.incarnation == self.identity.incarnation:
                self.superseded.set()
            changed |= self.table.note_gone(item.vm, item.incarnation, now)
        return changed

    def recently_gone(self, now: float) -> list[Gone]:
        """Return the incarnations that were recently recorded as gone."""
        return [
            Gone(vm=vm, incarnation=incarnation)
            for (vm, incarnation), at in self.table.gone.items()
            if now - at < RECENT_CHANGE_S
        ]

    # Recovery from pauses of the process.

    def _detect_pause(self, nursery):
        now = trio.current_time()
        if now - self.last_tick >= PAUSE_THRESHOLD_S:
            self.is_resuming = True
            self.send_soon()
            nursery.start_soon(self._finish_resuming, now)
        self.last_tick = now

    async def _finish_resuming(self, resumed_at: float):
        """Clear `is_resuming` when a peer sends a message, or after a timeout.

        A process that is partitioned from all peers learns nothing by waiting
        longer. It continues with its own parts of the budgets, which have not
        been given to other VMs.
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
