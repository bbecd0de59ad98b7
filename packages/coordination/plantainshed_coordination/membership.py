"""Who is there: heartbeats in a failure domain, summaries between domains.

Inside its failure domain a VM keeps one task for each peer, which sends
heartbeats. A heartbeat carries what the sender heard of others, so that one
lost link makes nobody suspect. Between domains two delegates, chosen by
rendezvous hashing, exchange summaries; what is new in one is passed on inside.
The platform's list of VMs, which lags, is followed by two VMs of each domain.
"""

import contextlib
from collections.abc import Callable

import trio
from attrs import frozen

from .digests import rendezvous_order
from .errors import PlatformError
from .identity import Identity
from .members import Liveness, MemberState, MemberTable
from .network import PeerNetwork
from .peer_pb2 import (
    BeatDigest,
    DomainBeat,
    Gone,
    Heartbeat,
    MemberRecord,
    Summary,
)
from .platform import Platform

BEAT_S = 1.0
TICK_S = 0.5
SUSPECT_S = 3.0
SILENT_S = 6.0
PAUSE_S = 2.5
WAKE_WAIT_S = 1.0
NEWS_S = 4.0
LIST_PERIOD_S = 2.0
BEATS_A_SECOND = 8
DELEGATES = 2
FULL_SUMMARY_EVERY = 5


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
    waking : bool
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
        self.platform = platform
        self.seeds = {seed.vm: seed for seed in seeds if seed.vm != identity.vm}
        self.record = record
        self.table = MemberTable()
        self.superseded = trio.Event()
        self.waking = False
        self.beat = 0
        self.last_tick = trio.current_time()
        self.contact_at = -SILENT_S
        self.platform_leaving: set[str] = set()
        self.was_listed: set[tuple[str, int]] = set()
        self.extra_of_heartbeat: Callable[[], bytes] = bytes
        self.extra_of_summary: Callable[[], bytes] = bytes
        self.on_heartbeat_extra: Callable[[str, bytes], None] = lambda vm, data: None
        self.on_summary_extra: Callable[[str, bytes], None] = lambda name, data: None
        self.on_change: list[Callable[[MemberRecord], None]] = []
        self._kicked = trio.Event()
        self._peer_tasks: set[str] = set()
        self._domain_tasks: set[str] = set()
        self._summary_beats = 0
        self._has_been_ready = False
        for seed in self.seeds.values():
            network.addresses[seed.vm] = seed.peer
        network.handlers["heartbeat"] = self._on_heartbeat
        network.handlers["summary"] = self._on_summary

    async def run(self):
        """Keep up the view until cancelled."""
        self.last_tick = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_list)
            while True:
                self._start_tasks(nursery)
                self._notice_pause(nursery)
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
        self.kick()

    def kick(self):
        """Send the next heartbeats now."""
        self._kicked.set()
        self._kicked = trio.Event()

    async def announce_leaving(self):
        """Tell the others that this VM is about to stop."""
        self.update_record(state=MemberState.LEFT)
        for vm in self.domain_peers():
            await self.network.send(vm, "heartbeat", self._heartbeat())
        for domain in self._other_domains():
            await self._send_summary(domain)

    # Questions.

    def is_awake(self) -> bool:
        """Tell whether this run can trust what it knows.

        After a pause the process still believes what it believed before. The
        tick of the membership task shows how long ago that was; whoever is
        about to act asks here first, since it may run before that task does.
        """
        if self.superseded.is_set() or self.waking:
            return False
        return trio.current_time() - self.last_tick < PAUSE_S

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
        silence = now - self.table.domain_heard_at.get(member.failure_domain, -SILENT_S)
        own_view = _liveness_after(silence)
        return max(own_view, member.verdict, key=LIVENESS_ORDER.index)

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

    def is_among_first(self, key: str, count: int) -> bool:
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
        reachable = {name for name, at in heard if now - at < SILENT_S}
        return reachable | {self.identity.failure_domain}

    def alone_for(self) -> float:
        """Return how long, in seconds, nobody at all has been heard."""
        return max(0.0, trio.current_time() - self.contact_at)

    # Heartbeats inside the failure domain.

    def _start_tasks(self, nursery):
        for vm in self.domain_peers():
            if vm not in self._peer_tasks:
                self._peer_tasks.add(vm)
                nursery.start_soon(self._beat_to, vm)
        for domain in self._other_domains():
            if domain not in self._domain_tasks:
                self._domain_tasks.add(domain)
                nursery.start_soon(self._summarize_to, domain)

    async def _beat_to(self, vm: str):
        while self.liveness(vm) is not Liveness.GONE:
            await self.network.send(vm, "heartbeat", self._heartbeat())
            peers = len(self._peer_tasks)
            await self._pause_or_kick(max(BEAT_S, peers / BEATS_A_SECOND))
        self._peer_tasks.discard(vm)

    async def _pause_or_kick(self, seconds: float):
        with trio.move_on_after(seconds):
            await self._kicked.wait()

    def _heartbeat(self) -> Heartbeat:
        now = trio.current_time()
        self.beat += 1
        heartbeat = Heartbeat(
            sender=self.record,
            beat=self.beat,
            wants_all=now - self.contact_at > SUSPECT_S,
            extra=self.extra_of_heartbeat(),
        )
        for member in self.table.members.values():
            if member.failure_domain == self.identity.failure_domain:
                heartbeat.digests.append(_beat_digest(member))
            if now - member.changed_at < NEWS_S:
                heartbeat.news.append(member.record)
        for domain, beat in self.table.domain_beats.items():
            heartbeat.domain_beats.append(DomainBeat(failure_domain=domain, beat=beat))
        heartbeat.gone.extend(self._recently_gone(now))
        return heartbeat

    async def _on_heartbeat(self, sender, message: Heartbeat):
        now = trio.current_time()
        self.contact_at = now
        is_new = message.sender.vm not in self.table.members
        self._merge_record(message.sender, now)
        self.table.note_beat(
            message.sender.vm, message.sender.incarnation, message.beat, now
        )
        for record in message.news:
            self._merge_record(record, now)
        for digest in message.digests:
            self.table.note_beat(digest.vm, digest.incarnation, digest.beat, now)
        for item in message.domain_beats:
            self.table.note_domain_beat(item.failure_domain, item.beat, now)
        self._merge_gone(message.gone, now)
        self.on_heartbeat_extra(message.sender.vm, message.extra)
        if message.wants_all or is_new:
            await self._send_everything(message.sender.vm)

    async def _send_everything(self, vm: str):
        """Send a newcomer all records, one summary for each failure domain."""
        for domain in [self.identity.failure_domain, *self._other_domains()]:
            await self.network.send(vm, "summary", self._summary_of(domain, full=True))

    # Summaries between failure domains.

    async def _summarize_to(self, domain: str):
        while True:
            if self.is_among_first(domain, DELEGATES):
                await self._send_summary(domain)
            await self._pause_or_kick(BEAT_S)

    async def _send_summary(self, domain: str):
        self._summary_beats += 1
        full = self._summary_beats % FULL_SUMMARY_EVERY == 0 or (
            domain not in self.reachable_domains()
        )
        summary = self._summary_of(self.identity.failure_domain, full)
        for vm in self._receivers_in(domain):
            await self.network.send(vm, "summary", summary)

    def _receivers_in(self, domain: str) -> list[str]:
        """Return whom to send a summary: one live VM, or all while none is known.

        Which delegate sends to which receiver is chosen by hashing, so that the
        two pairs are distinct paths where they can be.
        """
        live = self.live_in_domain(domain)
        if live:
            return rendezvous_order(self.identity.vm, live)[:1]
        known = [
            m.vm for m in self.table.members.values() if m.failure_domain == domain
        ]
        seeds = [s.vm for s in self.seeds.values() if s.failure_domain == domain]
        return sorted({*known, *seeds})

    def _summary_of(self, domain: str, full: bool) -> Summary:
        now = trio.current_time()
        is_own = domain == self.identity.failure_domain
        beat = int(now * 10) if is_own else self.table.domain_beats.get(domain, 0)
        summary = Summary(failure_domain=domain, beat=beat, sender=self.record)
        if is_own:
            summary.members.append(self.record)
            summary.extra = self.extra_of_summary()
        for member in self.table.members.values():
            if member.failure_domain != domain:
                continue
            if full or now - member.changed_at < NEWS_S:
                summary.members.append(member.record)
            liveness = self.liveness(member.vm)
            if liveness is Liveness.SUSPECT:
                summary.suspects.append(member.vm)
            elif liveness in (Liveness.SILENT, Liveness.GONE):
                summary.silent.append(member.vm)
        summary.gone.extend(self._recently_gone(now))
        return summary

    async def _on_summary(self, sender, message: Summary):
        now = trio.current_time()
        self.contact_at = now
        from_outside = message.sender.failure_domain != self.identity.failure_domain
        changed = self._merge_record(message.sender, now)
        for record in message.members:
            changed |= self._merge_record(record, now)
        if message.failure_domain != self.identity.failure_domain:
            self.table.note_domain_beat(message.failure_domain, message.beat, now)
            changed |= self._take_verdicts(message)
        changed |= self._merge_gone(message.gone, now)
        self.on_summary_extra(message.failure_domain, message.extra)
        if from_outside and (changed or message.extra):
            for vm in self.domain_peers():
                message.sender.CopyFrom(self.record)
                await self.network.send(vm, "summary", message)

    def _take_verdicts(self, message: Summary) -> bool:
        changed = False
        for member in self.table.members.values():
            if member.failure_domain != message.failure_domain:
                continue
            verdict = Liveness.ALIVE
            if member.vm in message.suspects:
                verdict = Liveness.SUSPECT
            elif member.vm in message.silent:
                verdict = Liveness.SILENT
            changed |= verdict is not member.verdict
            member.verdict = verdict
        return changed

    def _other_domains(self) -> list[str]:
        names = {member.failure_domain for member in self.table.members.values()}
        names |= {seed.failure_domain for seed in self.seeds.values()}
        return sorted(names - {self.identity.failure_domain})

    # What both kinds of message carry.

    def _merge_record(self, record: MemberRecord, now: float) -> bool:
        if record.vm == self.identity.vm:
            self._meet_namesake(record.incarnation)
            return False
        if not record.vm or not self.table.merge(record, now):
            return False
        self.network.addresses[record.vm] = record.peer
        for callback in self.on_change:
            callback(record)
        return True

    def _meet_namesake(self, incarnation: int):
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

    def _merge_gone(self, items, now: float) -> bool:
        changed = False
        for item in items:
            is_self = item.vm == self.identity.vm
            if is_self and item.incarnation == self.identity.incarnation:
                self.superseded.set()
            changed |= self.table.note_gone(item.vm, item.incarnation, now)
        return changed

    def _recently_gone(self, now: float) -> list[Gone]:
        return [
            Gone(vm=vm, incarnation=incarnation)
            for (vm, incarnation), at in self.table.gone.items()
            if now - at < NEWS_S
        ]

    # Pauses and the platform's list.

    def _notice_pause(self, nursery):
        now = trio.current_time()
        if now - self.last_tick >= PAUSE_S:
            self.waking = True
            self.kick()
            nursery.start_soon(self._wake_up, now)
        self.last_tick = now

    async def _wake_up(self, woke_at: float):
        """End the state of waking once a peer was heard, or none answers.

        A run that is cut off from everybody can learn nothing by waiting; it
        goes on with what it holds, which nobody else was given.
        """
        with trio.move_on_after(WAKE_WAIT_S):
            while self.contact_at <= woke_at:
                await trio.sleep(TICK_S / 10)
        self.waking = False

    async def _follow_list(self):
        while True:
            await trio.sleep(LIST_PERIOD_S)
            if not self.is_among_first("vm-list", DELEGATES):
                continue
            with contextlib.suppress(PlatformError):
                self._take_list(await self.platform.list_vms())

    def _take_list(self, listed):
        now = trio.current_time()
        names = {item.vm for item in listed}
        self.platform_leaving = {item.vm for item in listed if item.leaving}
        for member in self.table.members.values():
            run = (member.vm, member.record.incarnation)
            if member.vm in names:
                self.was_listed.add(run)
            elif run in self.was_listed and self.liveness(member.vm) is Liveness.SILENT:
                # The list lags: a VM that it does not show may be too new for
                # it. Only one that it showed, that it dropped, and that is
                # silent is certain to be gone.
                self.table.note_gone(*run, now)
        self.kick()


LIVENESS_ORDER = [Liveness.ALIVE, Liveness.SUSPECT, Liveness.SILENT, Liveness.GONE]


def _liveness_after(silence_s: float) -> Liveness:
    if silence_s < SUSPECT_S:
        return Liveness.ALIVE
    return Liveness.SUSPECT if silence_s < SILENT_S else Liveness.SILENT


def _beat_digest(member) -> BeatDigest:
    return BeatDigest(
        vm=member.vm, incarnation=member.record.incarnation, beat=member.beat
    )
