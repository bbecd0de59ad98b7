"""Membership summaries between failure domains.

For each other failure domain, rendezvous hashing selects two delegates of the
own domain. Each delegate sends one summary per second to one VM of the other
domain. If the summary contains changes, that VM forwards it to the peers of its
own domain.
"""

from typing import TYPE_CHECKING

import trio

from .digests import rendezvous_order
from .members import RECENT_CHANGE_S, Liveness
from .peer_pb2 import DomainBeat, Summary

if TYPE_CHECKING:
    from .membership import Membership

PERIOD_S = 1.0
DELEGATES_PER_DOMAIN = 2
FULL_SUMMARY_EVERY = 5


class Summaries:
    """Sends summaries of this failure domain and processes those of others."""

    def __init__(self, membership: "Membership"):
        self.membership = membership
        self.beat = 0
        membership.network.handlers["summary"] = self._on_summary

    async def send_periodically(self, domain: str):
        """Send summaries to a failure domain while this VM is a delegate for it."""
        while True:
            if self.membership.is_selected_for(domain, DELEGATES_PER_DOMAIN):
                await self.send(domain)
            await self.membership.wait_until_next_send(PERIOD_S)

    async def send(self, domain: str):
        """Send one summary of the own failure domain to another domain."""
        self.beat += 1
        full = self.beat % FULL_SUMMARY_EVERY == 0 or (
            domain not in self.membership.reachable_domains()
        )
        summary = self._summary_of(self.membership.identity.failure_domain, full)
        for vm in self._receivers_in(domain):
            await self.membership.network.send(vm, "summary", summary)

    async def send_all_records(self, vm: str):
        """Send a VM all known records, in one summary for each failure domain."""
        membership = self.membership
        for domain in [membership.identity.failure_domain, *membership.other_domains()]:
            summary = self._summary_of(domain, full=True)
            await membership.network.send(vm, "summary", summary)

    def _receivers_in(self, domain: str) -> list[str]:
        """Return the receivers of a summary.

        This is one live VM of the domain, or all known VMs and seeds while no VM
        is known to be live. Each delegate chooses its receiver by hashing, so
        that the two delegates use distinct paths where possible.
        """
        membership = self.membership
        live = membership.live_in_domain(domain)
        if live:
            return rendezvous_order(membership.identity.vm, live)[:1]
        members = membership.table.members.values()
        known = [m.vm for m in members if m.failure_domain == domain]
        seeds = [s.vm for s in membership.seeds.values() if s.failure_domain == domain]
        return sorted({*known, *seeds})

    def _summary_of(self, domain: str, full: bool) -> Summary:
        membership = self.membership
        now = trio.current_time()
        summary = Summary(failure_domain=domain, sender=membership.record)
        if domain == membership.identity.failure_domain:
            summary.members.append(membership.record)
            summary.extra = membership.make_summary_extra()
            summary.origin.CopyFrom(self._own_beat())
        else:
            newest = membership.table.newest_beat(domain)
            summary.origin.CopyFrom(newest or DomainBeat())
        for member in membership.table.members.values():
            if member.failure_domain != domain:
                continue
            if full or now - member.changed_at < RECENT_CHANGE_S:
                summary.members.append(member.record)
            liveness = membership.liveness(member.vm)
            if liveness is Liveness.SUSPECT:
                summary.suspects.append(member.vm)
            elif liveness in (Liveness.SILENT, Liveness.GONE):
                summary.silent.append(member.vm)
        summary.gone.extend(membership.recently_gone(now))
        summary.leaving.extend(membership.leaving_vms())
        return summary

    def _own_beat(self) -> DomainBeat:
        identity = self.membership.identity
        return DomainBeat(
            failure_domain=identity.failure_domain,
            vm=identity.vm,
            incarnation=identity.incarnation,
            beat=self.beat,
        )

    async def _on_summary(self, sender, message: Summary):
        membership = self.membership
        own_domain = membership.identity.failure_domain
        now = trio.current_time()
        membership.last_message_at = now
        from_outside = message.sender.failure_domain != own_domain
        changed = membership.merge_record(message.sender, now)
        for record in message.members:
            changed |= membership.merge_record(record, now)
        if message.failure_domain != own_domain:
            if message.origin.vm:
                membership.table.note_domain_beat(message.origin, now)
            changed |= self._apply_reported_liveness(message)
        changed |= membership.merge_gone(message.gone, now)
        membership.note_leaving(message.leaving)
        membership.on_summary_extra(message.failure_domain, message.extra)
        if from_outside and (changed or message.extra):
            await self._forward(message)

    async def _forward(self, message: Summary):
        message.sender.CopyFrom(self.membership.record)
        for vm in self.membership.domain_peers():
            await self.membership.network.send(vm, "summary", message)

    def _apply_reported_liveness(self, message: Summary) -> bool:
        changed = False
        for member in self.membership.table.members.values():
            if member.failure_domain != message.failure_domain:
                continue
            reported = Liveness.ALIVE
            if member.vm in message.suspects:
                reported = Liveness.SUSPECT
            elif member.vm in message.silent:
                reported = Liveness.SILENT
            changed |= reported is not member.reported_liveness
            member.reported_liveness = reported
        return changed
