"""Decides which starting VMs read collections from the store.

This is designed for many VMs that start at the same time. A list of all targets takes
several calls, and the store limits calls and puts a price on each. In each failure
domain, a few VMs read the store, and the others take copies from them. A VM that gets
no copy in time reads the store itself.
"""

import trio

from plantainshed_coordination.digests import rendezvous_order

from .members import Members
from .replication import Replica
from .vm_list import VmListReader

# Number of VMs of a failure domain that read the store without waiting.
READERS_PER_DOMAIN = 2
# Maximum time for which a starting VM waits for the list of VMs, which shows whether
# others read the store.
VM_LIST_READ_WAIT_S = 0.3
# Maximum time for which it waits for a copy from another VM.
COPY_WAIT_S = 1.0
# Maximum time for which a VM that the store has never listed waits to hear of others.
# No caller knows it yet.
NEW_VM_WAIT_S = 2.0
CHECK_INTERVAL_S = 0.1


class StartOrder:
    """Makes starting VMs wait for copies that other VMs read from the store.

    Parameters
    ----------
    members : Members
    vm_list : VmListReader
    has_seeds : bool
        Whether the settings name other VMs.
    """

    def __init__(self, members: Members, vm_list: VmListReader, has_seeds: bool):
        self.members = members
        self.vm_list = vm_list
        self.has_seeds = has_seeds

    async def await_turn(self, replica: Replica):
        """Wait until a copy has arrived or this VM should read the store."""
        with trio.move_on_after(VM_LIST_READ_WAIT_S):
            await self.vm_list.first_read.wait()
        if self.has_seeds and not self.vm_list.was_listed_before:
            await _await_copy(replica, NEW_VM_WAIT_S)
        if not self.is_reader():
            await _await_copy(replica, COPY_WAIT_S)

    def is_reader(self) -> bool:
        """Return whether this VM reads the store for its failure domain."""
        own = self.members.own
        domain = own.failure_domain
        others = [
            vm for vm, m in self.members.table.items() if m.failure_domain == domain
        ]
        readers = rendezvous_order(domain, [own.vm, *others])[:READERS_PER_DOMAIN]
        return own.vm in readers


async def _await_copy(replica: Replica, seconds: float):
    with trio.move_on_after(seconds):
        while not replica.is_initialized:
            await trio.sleep(CHECK_INTERVAL_S)
