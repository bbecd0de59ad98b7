"""Handling of messages from other VMs.

Heartbeats and domain summaries report which VMs exist, their quota usage, and which
changes of the store they know. Token requests and loans move tokens between VMs.
Member lists make all VMs know the same VMs; see `member_lists`.
"""

import trio

from .datagrams import (
    MemberList,
    Message,
    PermitAnswer,
    PermitRequest,
    TokenLoan,
    TokenRequest,
)
from .errors import StoreUnavailable
from .heartbeats import DomainSummary, Heartbeat, SummaryBundle, VmState
from .load_sharing import LoadSharing
from .loans import Loans
from .logs import DecisionLog
from .member_lists import MemberListExchange
from .members import Members
from .peers import Peers, fetch_state
from .permits import Permits
from .poison import PoisonTracker
from .ports import Collection
from .replication import Follower
from .speakers import Speakers
from .store_contact import StoreContact

# Minimum time between two announcements that are triggered by first heartbeats of other
# VMs.
ANNOUNCE_PAUSE_S = 0.1


class PeerMessageHandler:
    """Dispatches messages from other VMs to the components that they concern.

    Parameters
    ----------
    peers : Peers
    members : Members
    speakers : Speakers
    loans : Loans
    permits : Permits
    load_sharing : LoadSharing
    poison : PoisonTracker
    followers : dict of Collection to Follower
    contact : StoreContact
    log : DecisionLog

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs tasks that messages start. Set while the gateway runs.
    """

    def __init__(
        self,
        peers: Peers,
        members: Members,
        speakers: Speakers,
        loans: Loans,
        permits: Permits,
        load_sharing: LoadSharing,
        poison: PoisonTracker,
        followers: dict[Collection, Follower],
        contact: StoreContact,
        log: DecisionLog,
    ):
        self.peers = peers
        self.members = members
        self.speakers = speakers
        self.loans = loans
        self.permits = permits
        self.load_sharing = load_sharing
        self.poison = poison
        self.followers = followers
        self.contact = contact
        self.log = log
        self.nursery: trio.Nursery | None = None
        self.fetch_state = fetch_state
        self._announced_at = float("-inf")
        self.member_lists = MemberListExchange(members, peers, log)
        # Incarnations in which VMs of this failure domain announced that they leave.
        self._leaving_incarnations: dict[str, int] = {}

    async def handle(self, message: Message, ip: str):
        """Handle one message from the VM at an IP address."""
        if isinstance(message, TokenRequest):
            await self.loans.on_request(message, ip)
        elif isinstance(message, TokenLoan):
            self.loans.on_loan(message)
        elif isinstance(message, PermitRequest):
            await self.permits.on_request(message, ip)
        elif isinstance(message, PermitAnswer):
            self.permits.on_answer(message)
        elif isinstance(message, MemberList):
            await self.member_lists.on_list(message, ip)
        elif isinstance(message, DomainSummary):
            await self._on_summary(message)
            await self.member_lists.compare(message.speaker, message, ip)
        elif isinstance(message, SummaryBundle):
            self._on_bundle(message)
        elif message.failure_domain != self.members.own.failure_domain:
            # Only a VM that may not know all others sends its heartbeat to another
            # domain.
            self.members.note_listed(
                message.vm, ip, message.failure_domain, message.incarnation
            )
            await self.member_lists.compare(message.vm, message, ip)
        else:
            await self._on_domain_heartbeat(message, ip)

    async def _on_domain_heartbeat(self, heartbeat: Heartbeat, ip: str):
        known = self.members.table.get(heartbeat.vm)
        was_alive = known is not None and known.is_alive
        was_cut_off = was_alive and known.heartbeat.is_cut_off
        if not self.members.record_heartbeat(heartbeat, ip):
            return
        self._apply_heartbeat(heartbeat)
        await self.member_lists.compare(heartbeat.vm, heartbeat, ip)
        if not was_alive:
            await self._announce()
        is_urgent = self._starts_leaving(heartbeat)
        is_urgent |= heartbeat.is_cut_off and not was_cut_off
        if is_urgent and self.speakers.is_speaker:
            await self.peers.send_now()

    async def _announce(self):
        """Announce this VM to VMs that are heard for the first time or again.

        After a restart of the whole fleet, no VM knows another. Until they do, a
        workspace's tokens cannot move between them.
        """
        now = trio.current_time()
        if now - self._announced_at >= ANNOUNCE_PAUSE_S:
            self._announced_at = now
            await self.peers.send_now()

    def _starts_leaving(self, heartbeat: Heartbeat) -> bool:
        known = self._leaving_incarnations.get(heartbeat.vm)
        if heartbeat.state is not VmState.LEAVING or known == heartbeat.incarnation:
            return False
        self._leaving_incarnations[heartbeat.vm] = heartbeat.incarnation
        return True

    async def _on_summary(self, summary: DomainSummary):
        """Record another failure domain's summary and relay it inside this one."""
        known = self.members.far.get(summary.failure_domain)
        was_fresh = known is not None and known.is_fresh
        has_changes = self._has_unknown_changes(summary.newest_revisions)
        if self._record_summary(summary):
            self.speakers.queue_for_relay(summary)
            if self.speakers.is_urgent(summary) or has_changes or not was_fresh:
                self.peers.relay_summaries()
            if not was_fresh:
                await self._announce()

    def _has_unknown_changes(self, newest_revisions: dict[str, int]) -> bool:
        # The watches of this domain are late or dead if another domain knows more.
        return any(
            newest > self.followers[name].replica.revision
            for name, newest in newest_revisions.items()
            if name in self.followers
        )

    def _on_bundle(self, bundle: SummaryBundle):
        for packed in bundle.summaries:
            version_key = packed.failure_domain, packed.speaker, packed.version
            if not self.members.wants_summary(*version_key):
                continue
            try:
                self._record_summary(packed.unpack())
            except ValueError as error:
                self.log.event("summary not understood", problem=str(error))

    def _record_summary(self, summary: DomainSummary) -> bool:
        if not self.members.record_summary(summary):
            return False
        self.poison.merge(summary.crashes)
        self.permits.limits.merge(summary.limits)
        self.load_sharing.record_summary(summary)
        self.contact.merge(summary.contact)
        self._catch_up_followers(
            summary.newest_revisions, summary.control_address, is_same_domain=False
        )
        return True

    def _apply_heartbeat(self, heartbeat: Heartbeat):
        self.poison.merge(heartbeat.crashes)
        self.permits.limits.merge(heartbeat.limits)
        self.load_sharing.record_heartbeat(heartbeat)
        self.contact.merge(heartbeat.contact)
        self._confirm_copies(heartbeat)
        self._catch_up_followers(
            heartbeat.newest_revisions, heartbeat.control_address, is_same_domain=True
        )

    def _confirm_copies(self, heartbeat: Heartbeat):
        """Record that copies which have all changes of another VM's are as current."""
        if heartbeat.copy_age_s is None:
            return
        current_at = trio.current_time() - heartbeat.copy_age_s
        for name, newest in heartbeat.newest_revisions.items():
            follower = self.followers.get(name)
            if follower is not None and follower.replica.revision >= newest:
                follower.replica.note_current(current_at)

    def _catch_up_followers(
        self, newest_revisions: dict[str, int], control: str, is_same_domain: bool
    ):
        """Fetch changes that another VM knows and this one does not."""
        for name, newest in newest_revisions.items():
            follower = self.followers.get(name)
            if follower is not None and newest > follower.replica.revision:
                self.nursery.start_soon(
                    self._catch_up, follower, control, newest, is_same_domain
                )

    async def _catch_up(
        self, follower: Follower, address: str, newest: int, is_same_domain: bool
    ):
        try:
            await follower.catch_up(address, newest, self.fetch_state, is_same_domain)
        except StoreUnavailable as error:
            self.log.event(
                "peer gave no state",
                collection=follower.collection,
                peer=address,
                problem=str(error),
            )
