"""Which VMs of a failure domain hold its part of a workspace's quota.

Load that it answers: a small workspace whose requests come in at many VMs. Were
each of 80 VMs to hold a part of 10 requests a second, most would have no whole
token when a request comes: 7 % of requests within their quota were refused. Two
VMs of each domain hold all of the domain's part, the same by rendezvous hash on
all of them, and the others ask them for each request, a round trip inside the
domain of less than a millisecond.
"""

from plantainshed_coordination.digests import rendezvous_order, unit_hash

from .heartbeats import VmState
from .members import Members

# Holders in each failure domain: a lost or paused one leaves another.
HOLDERS_PER_DOMAIN = 2


class Holders:
    """Finds holders in this VM's failure domain.

    Parameters
    ----------
    members : Members
    """

    def __init__(self, members: Members):
        self.members = members
        self.ips: dict[str, str] = {}
        self._orders: dict[str, tuple[str, ...]] = {}
        self.refresh()

    @property
    def own(self) -> str:
        """This VM's name."""
        return self.members.own.vm

    def refresh(self):
        """Look again which VMs of the failure domain are ready."""
        ips = {
            member.heartbeat.vm: member.ip
            for member in self.members.near()
            if member.is_alive and member.heartbeat.state is VmState.READY
        }
        if self.members.own.state is VmState.READY or not ips:
            ips[self.own] = ""
        if ips.keys() != self.ips.keys():
            self._orders.clear()
        self.ips = ips

    def of(self, workspace: str) -> tuple[str, ...]:
        """Return the names of a workspace's holders."""
        order = self._orders.get(workspace)
        if order is None:
            order = tuple(rendezvous_order(workspace, self.ips)[:HOLDERS_PER_DOMAIN])
            self._orders[workspace] = order
        return order

    def is_holder(self, workspace: str) -> bool:
        """Tell whether this VM holds a part of a workspace's quota."""
        return self.own in self.of(workspace)

    def holder_for(self, vm: str, workspace: str) -> str:
        """Return the holder that a VM asks first; itself if it is one."""
        holders = self.of(workspace)
        if vm in holders:
            return vm
        return holders[int(unit_hash(vm, workspace) * len(holders))]

    def holder_ips_to_ask(self, workspace: str) -> list[str]:
        """Return the IP addresses of the holders that this VM asks, in order."""
        first = self.holder_for(self.own, workspace)
        others = [vm for vm in self.of(workspace) if vm != first]
        return [self.ips[vm] for vm in (first, *others) if vm != self.own]

    def fleet_holder_count(self) -> int:
        """Return how many holders each workspace has in all failure domains."""
        ready: dict[str, int] = {}
        for beat in self.members.ready():
            ready[beat.failure_domain] = ready.get(beat.failure_domain, 0) + 1
        return max(1, sum(min(HOLDERS_PER_DOMAIN, count) for count in ready.values()))
