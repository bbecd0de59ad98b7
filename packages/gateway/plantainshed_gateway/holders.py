"""Selection of the VMs of a failure domain that hold its share of a quota.

This is designed for small workspaces whose requests arrive at many VMs. If each of 80
VMs held a share of 10 requests a second, most would have no whole token when a request
arrives; 7 % of the requests within their quota were refused that way. Instead, two VMs
of each domain hold the domain's whole share. All VMs of the domain select the same two
by rendezvous hashing, and the others request a token from them for each request. This
takes a round trip inside the domain of less than a millisecond.
"""

from plantainshed_coordination.digests import rendezvous_order, unit_hash

from .heartbeats import VmState
from .members import Members

# Number of holders in each failure domain. If one is lost or paused, the other remains.
HOLDERS_PER_DOMAIN = 2


class Holders:
    """Selects the holders in this VM's failure domain.

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
    def own_vm(self) -> str:
        """This VM's name."""
        return self.members.own.vm

    def refresh(self):
        """Update the set of ready VMs in the failure domain."""
        ips = {
            member.heartbeat.vm: member.ip
            for member in self.members.in_own_domain()
            if member.is_alive and member.heartbeat.state is VmState.READY
        }
        if self.members.own.state is VmState.READY or not ips:
            ips[self.own_vm] = ""
        if ips.keys() != self.ips.keys():
            self._orders.clear()
        self.ips = ips

    def of(self, workspace: str) -> tuple[str, ...]:
        """Return the names of a workspace's holders in this failure domain."""
        order = self._orders.get(workspace)
        if order is None:
            order = tuple(rendezvous_order(workspace, self.ips)[:HOLDERS_PER_DOMAIN])
            self._orders[workspace] = order
        return order

    def is_holder(self, workspace: str) -> bool:
        """Return whether this VM holds a share of a workspace's quota."""
        return self.own_vm in self.of(workspace)

    def holder_for(self, vm: str, workspace: str) -> str:
        """Return the holder that a VM asks first. A holder asks itself."""
        holders = self.of(workspace)
        if vm in holders:
            return vm
        return holders[int(unit_hash(vm, workspace) * len(holders))]

    def holder_ips_to_ask(self, workspace: str) -> list[str]:
        """Return the IP addresses of the holders for this VM to ask, in order."""
        first = self.holder_for(self.own_vm, workspace)
        others = [vm for vm in self.of(workspace) if vm != first]
        return [self.ips[vm] for vm in (first, *others) if vm != self.own_vm]

    def fleet_holder_count(self) -> int:
        """Return the number of holders of each workspace in all failure domains."""
        ready: dict[str, int] = {}
        for beat in self.members.ready():
            ready[beat.failure_domain] = ready.get(beat.failure_domain, 0) + 1
        return max(1, sum(min(HOLDERS_PER_DOMAIN, count) for count in ready.values()))
