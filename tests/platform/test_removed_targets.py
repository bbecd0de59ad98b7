"""Tests of targets that are removed from the store, in a fleet on loopback."""

import contextlib
import unittest

from plantainshed_gateway.ports import Collection
from tests.platform.fleet_support import Fleet, FleetVm, running_fleet
from tests.platform.target_standin import TargetStandin
from tests.support import on_real_clock


def used_targets(vm: FleetVm) -> set[str]:
    """Return the targets to which a VM may send requests."""
    states = vm.gateway.registry.eligible("calendario", frozenset())
    return {state.entry.instance for state in states}


def has_all_changes(vm: FleetVm, fleet: Fleet) -> bool:
    """Return whether a VM knows the store's newest change."""
    replica = vm.gateway.replicas[Collection.TARGETS]
    return replica.changed_at_revision == fleet.store.revision


def has_lost_store(vm: FleetVm) -> bool:
    """Return whether a VM found that the store does not answer it."""
    return vm.gateway.followers[Collection.TARGETS].disconnected_at is not None


@contextlib.asynccontextmanager
async def running_fleet_with_rejected_vm():
    """Run a fleet whose last VM has found that the store rejects it; yield both."""
    targets = [TargetStandin(f"i-{n}") for n in range(3)]
    async with running_fleet(targets=targets) as fleet:
        vm = fleet.vms[-1]
        vm.store_proxy.close()
        await fleet.until(lambda: has_lost_store(vm))
        yield fleet, vm


class TestVmThatTheStoreRejectedAlone(unittest.TestCase):
    """The store worked all the time, so a missing entry has not expired."""

    @on_real_clock
    async def test_target_removed_after_the_vm_is_back_gets_no_requests(self):
        """Guards against a grace period for expired entries that hides a removal."""
        async with running_fleet_with_rejected_vm() as (fleet, vm):
            vm.store_proxy.is_open = True
            await fleet.until(lambda: not has_lost_store(vm))
            fleet.store.delete("servers", "i-0")
            await fleet.until(lambda: has_all_changes(vm, fleet))
            self.assertEqual(used_targets(vm), {"i-1", "i-2"})

    @on_real_clock
    async def test_removal_that_a_peer_reports_takes_effect_at_once(self):
        """Guards against the same grace period while the VM is still rejected."""
        async with running_fleet_with_rejected_vm() as (fleet, vm):
            fleet.store.delete("servers", "i-0")
            await fleet.until(lambda: has_all_changes(vm, fleet))
            self.assertEqual(used_targets(vm), {"i-1", "i-2"})
