import unittest
from unittest import mock

import orjson
import trio

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.demand import DEMAND_AVERAGING_S
from plantainshed_gateway.model import Workspace
from plantainshed_gateway.quota import DEMAND_REFRESH_S
from plantainshed_gateway.usage_view import UsageTotals, UsageView
from tests.gateway.fleet_support import GossipFleet
from tests.gateway.gateway_support import make_heartbeat
from tests.support import on_mock_clock

VMS_PER_DOMAIN = 22
UPKEEP_INTERVAL_S = 0.25
WORKSPACES = {f"w{n}": Workspace(f"w{n}", None, 10.0, 10.0) for n in range(140)}


class TestSharesOfManyWorkspaces(unittest.TestCase):
    async def make_fleet(self) -> GossipFleet:
        fleet = GossipFleet({"mil-a": VMS_PER_DOMAIN})
        for vm in fleet.vms.values():
            vm.quotas.workspaces = WORKSPACES
        fleet.tick()
        await trio.sleep(0.5)
        for vm in fleet.vms.values():
            for workspace in WORKSPACES.values():
                vm.quotas.admit(workspace)
        fleet.tick()
        return fleet

    @on_mock_clock
    async def test_quotas_held_by_other_vms_are_recomputed_rarely(self):
        """Guards against time spent on each workspace by each VM of a large domain."""
        fleet = await self.make_fleet()
        quotas = next(iter(fleet.vms.values())).quotas
        held = sum(quotas.holders.is_holder(name) for name in WORKSPACES)
        self.assertLess(held, len(WORKSPACES) / 4)
        original = UsageView.of
        with mock.patch.object(UsageView, "of", autospec=True) as of:
            of.side_effect = original
            for _ in range(round(DEMAND_REFRESH_S / UPKEEP_INTERVAL_S)):
                await trio.sleep(UPKEEP_INTERVAL_S)
                quotas.recompute_shares()
        refreshes = DEMAND_REFRESH_S / UPKEEP_INTERVAL_S
        self.assertLessEqual(of.call_count, held * refreshes + len(WORKSPACES))

    @on_mock_clock
    async def test_quotas_without_callers_are_not_recomputed_by_other_vms(self):
        """Guards against time spent on workspaces that do not use a VM at all."""
        fleet = await self.make_fleet()
        quotas = next(iter(fleet.vms.values())).quotas
        await trio.sleep(DEMAND_AVERAGING_S + 0.5)
        fleet.tick()
        await trio.sleep(DEMAND_REFRESH_S)
        with mock.patch.object(UsageView, "of", autospec=True) as of:
            of.return_value = UsageTotals(0.0, 0.0, 0.0, 0.0)
            quotas.recompute_shares()
        held = sum(quotas.holders.is_holder(name) for name in WORKSPACES)
        self.assertLessEqual(of.call_count, held)

    @on_mock_clock
    async def test_idle_workspace_does_not_stay_exhausted(self):
        """Guards against no far VM being asked for the first token after a pause."""
        fleet = await self.make_fleet()
        for vm in fleet.vms.values():
            for _ in range(4):
                vm.quotas.admit(WORKSPACES["w7"])
        for _ in range(8):
            await trio.sleep(0.5)
            fleet.tick()
        for vm in fleet.vms.values():
            self.assertFalse(vm.quotas.is_exhausted("w7"), vm.name)

    @on_mock_clock
    async def test_vm_that_holds_no_share_knows_the_demand(self):
        """Guards against far VMs being asked for tokens of an exhausted quota."""
        fleet = await self.make_fleet()
        name = "w7"
        for _ in range(6):
            for vm in fleet.vms.values():
                for _ in range(4):
                    vm.quotas.admit(WORKSPACES[name])
            await trio.sleep(0.5)
            fleet.tick()
        for vm in fleet.vms.values():
            self.assertTrue(vm.quotas.is_exhausted(name), vm.name)

    @on_mock_clock
    async def test_tokens_of_vm_that_holds_no_share_are_discarded(self):
        """Guards against borrowed tokens that outlive the request they were for."""
        fleet = await self.make_fleet()
        vm = next(iter(fleet.vms.values()))
        name = next(n for n in WORKSPACES if not vm.quotas.holders.is_holder(n))
        vm.quotas.add_borrowed(name, 2.0)
        self.assertTrue(vm.quotas.has_token(name))
        vm.quotas.recompute_shares()
        self.assertFalse(vm.quotas.has_token(name))


class TestDecoding(unittest.TestCase):
    def fields(self) -> list:
        return orjson.loads(encode(make_heartbeat("vm-1", known_vm_count=3)))

    def test_heartbeat_of_an_older_build_is_understood(self):
        """Guards against VMs that do not hear each other during an upgrade."""
        tag, fields = self.fields()
        heartbeat = decode(orjson.dumps([tag, fields[:-2]]))
        self.assertEqual((heartbeat.vm, heartbeat.known_vms_digest), ("vm-1", 0))

    def test_fields_appended_by_a_later_build_are_ignored(self):
        """Guards against VMs that do not hear each other during an upgrade."""
        tag, fields = self.fields()
        heartbeat = decode(orjson.dumps([tag, [*fields, "new"]]))
        self.assertEqual(heartbeat.known_vm_count, 3)

    def test_invalid_fields_raise_value_error(self):
        """Guards against a forged datagram that ends the process."""
        tag, fields = self.fields()
        for position, wrong in ((3, "x"), (5, "gone"), (12, {"w": [1]}), (12, 5)):
            changed = list(fields)
            changed[position] = wrong
            with self.subTest(position=position, wrong=wrong):
                self.assertRaises(ValueError, decode, orjson.dumps([tag, changed]))
        self.assertRaises(ValueError, decode, orjson.dumps([tag, fields[:5]]))
