"""Exchange of member lists, so that all VMs know the same VMs.

Heartbeats and domain summaries contain a digest of the VMs that their sender knows. A
VM whose digest differs gets the receiver's whole list and replies with what that list
lacks. Nothing is sent while the digests agree, and changes that heartbeats and
summaries carry anyway are given time to arrive. The exchange also works while the store
is unavailable.
"""

import trio
from attrs import define

from .datagrams import MemberList
from .heartbeats import DomainSummary, Heartbeat
from .logs import DecisionLog
from .members import Member, Members
from .peers import Peers

# Minimum time between two lists sent to the same VM.
MEMBER_LIST_PAUSE_S = 2.0
# Time for which digests must have differed before a list is sent to a VM that knows no
# fewer VMs. Most changes reach both VMs within this time without a list.
DISAGREEMENT_S = 1.5


@define
class _Peer:
    """What is known of the member list of another VM.

    Attributes
    ----------
    differs_since : float or None
        When its digest began to differ; None while it agrees.
    list_sent_at : float
    is_logged : bool
        Whether the current difference has been logged.
    """

    differs_since: float | None = None
    list_sent_at: float = float("-inf")
    is_logged: bool = False


class MemberListExchange:
    """Compares this VM's member list with those of other VMs.

    Parameters
    ----------
    members : Members
    peers : Peers
    log : DecisionLog
    """

    def __init__(self, members: Members, peers: Peers, log: DecisionLog):
        self.members = members
        self.peers = peers
        self.log = log
        self._peers: dict[str, _Peer] = {}

    async def compare(self, vm: str, report: Heartbeat | DomainSummary, ip: str):
        """Compare a VM's digest with this VM's; send it a list if they differ."""
        peer = self._peers.setdefault(vm, _Peer())
        if report.known_vms_digest == self.members.digest:
            self._note_agreement(vm, peer, report)
        elif self._note_difference(vm, peer, report):
            await self.peers.send(self._whole_list(), ip)

    def _note_agreement(self, vm: str, peer: _Peer, report: Heartbeat | DomainSummary):
        if peer.is_logged:
            self.log.event("vm list agrees again", peer=vm, known=self.members.count)
        peer.differs_since = None
        peer.is_logged = False
        is_complete = report.is_vm_list_complete or self.members.is_list_confirmed
        if is_complete and not self.members.is_listed:
            self.members.mark_listed()
            self.log.event(
                "vm list complete", source="peer", peer=vm, known=self.members.count
            )

    def _note_difference(
        self, vm: str, peer: _Peer, report: Heartbeat | DomainSummary
    ) -> bool:
        """Record a difference; return whether it is time to send a list."""
        now = trio.current_time()
        if peer.differs_since is None:
            peer.differs_since = now
        has_digest = report.known_vms_digest != 0
        is_persistent = has_digest and now - peer.differs_since >= DISAGREEMENT_S
        if is_persistent and not peer.is_logged:
            peer.is_logged = True
            self.log.event(
                "vm list differs",
                peer=vm,
                known=self.members.count,
                known_by_peer=report.known_vm_count,
                digest=f"{self.members.digest:x}",
                digest_of_peer=f"{report.known_vms_digest:x}",
            )
        knows_fewer = report.known_vm_count < self.members.count
        if not (is_persistent or knows_fewer):
            return False
        if now - peer.list_sent_at < MEMBER_LIST_PAUSE_S:
            return False
        peer.list_sent_at = now
        return True

    async def on_list(self, received: MemberList, ip: str):
        """Add the VMs of another VM's list; reply with those that it lacks."""
        for vm, (address, failure_domain) in received.vms.items():
            if self.members.rejects(vm):
                continue
            incarnation = received.incarnations.get(vm, 0)
            silent_s = received.silent_s.get(vm, 0.0)
            self.members.note_listed(vm, address, failure_domain, incarnation, silent_s)
            if vm in self.members.table and vm not in received.unregistered:
                self.members.table[vm].is_registered = True
        if received.is_reply:
            return
        lacking = {
            vm: member
            for vm, member in self._known().items()
            if vm not in received.vms
            or member.incarnation > received.incarnations.get(vm, 0)
        }
        if lacking:
            await self.peers.send(_make_list(lacking, is_reply=True), ip)

    def _whole_list(self) -> MemberList:
        return _make_list(self._known(), is_reply=False)

    def _known(self) -> dict[str, Member]:
        own = self.members.own
        itself = Member(
            self.peers.ip,
            own.failure_domain,
            own.incarnation,
            is_registered=own.vm in (self.members.registered or ()),
            heard_at=trio.current_time(),
        )
        return {**self.members.table, own.vm: itself}


def _make_list(members: dict[str, Member], is_reply: bool) -> MemberList:
    return MemberList(
        vms={vm: (m.ip, m.failure_domain) for vm, m in members.items()},
        incarnations={vm: m.incarnation for vm, m in members.items() if m.incarnation},
        silent_s={
            vm: round(m.silent_s, 1) for vm, m in members.items() if not m.is_alive
        },
        unregistered=tuple(vm for vm, m in members.items() if not m.is_registered),
        is_reply=is_reply,
    )
