"""Tests of several gateways that communicate over loopback, each at its own IP."""

import unittest

from plantainshed_gateway.gateway import Gateway
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.ports import Collection, Lookup
from tests.platform.fleet_support import running_fleet
from tests.platform.platform_support import configuration, route
from tests.support import on_real_clock


def configuration_version(gateway: Gateway) -> int:
    return gateway.admission.configuration.version


def rendered_metrics(gateway: Gateway) -> str:
    gateway.measure()
    return gateway.context.metrics.render().decode()


class TestState(unittest.TestCase):
    @on_real_clock
    async def test_vm_refused_by_the_store_gets_updates_from_peers(self):
        """The store refuses one VM and serves the others while a route is removed.

        Callers of that VM could use a removed route or a revoked key for as long
        as the store refuses the VM.
        """
        async with running_fleet() as fleet:
            fleet.store_proxies[2].close()
            fleet.store.put("config", "main", configuration(9, [route("new", "/new/")]))
            await fleet.until(
                lambda: all(configuration_version(g) == 9 for g in fleet.gateways)
            )

    @on_real_clock
    async def test_vm_that_starts_during_a_store_outage_becomes_ready(self):
        """A VM restarts while the store answers no VM.

        The VM would refuse all callers until the store is back, although every
        other VM has the configuration.
        """
        async with running_fleet() as fleet:
            for proxy in fleet.store_proxies:
                proxy.close()
            started = fleet.gateways[1]
            await fleet.until(lambda: not started.followers["targets"].is_connected)
            for follower in started.followers.values():
                follower.replica.items = {}
                follower.replica.revision = 0
            started.admission.configuration = None
            started.registry.states = {}
            started.state = VmState.STARTING
            await fleet.until(lambda: started.state is VmState.READY)
            self.assertEqual(configuration_version(started), 7)
            self.assertEqual(list(started.registry.states), ["i-0"])

    @on_real_clock
    async def test_watches_lost_by_the_store_are_restarted(self):
        """Guards against VMs refusing new keys for the maximum wait of a watch."""
        async with running_fleet() as fleet:
            fleet.store.put("config", "main", configuration(8))
            await fleet.until(
                lambda: all(configuration_version(g) == 8 for g in fleet.gateways)
            )
            fleet.store.mode = "silent"
            watches_before = fleet.count_config_watches()
            await fleet.until(
                lambda: fleet.count_config_watches() >= watches_before + 3
            )
            fleet.store.mode = "normal"
            fleet.store.put("config", "main", configuration(9))
            await fleet.until(
                lambda: all(configuration_version(g) == 9 for g in fleet.gateways)
            )


class TestMetrics(unittest.TestCase):
    @on_real_clock
    async def test_age_and_revision_of_copies_are_exported(self):
        """Guards against metrics that do not reveal a stale copy.

        A copy that the store had stopped confirming looked like an unchanged one.
        """
        async with running_fleet(1) as fleet:
            gateway, name = fleet.gateways[0], 'collection="configuration"'
            await fleet.until(
                lambda: f"copy_age_seconds{{{name}}}" in rendered_metrics(gateway)
            )
            revision = gateway.replicas[Collection.CONFIGURATION].revision
            line = f"plantainshed_copy_revision{{{name}}} {revision}"
            self.assertIn(line, rendered_metrics(gateway))


class TestLookups(unittest.TestCase):
    @on_real_clock
    async def test_leaving_vm_is_omitted_from_lookups(self):
        async with running_fleet() as fleet:
            lookup = Lookup("h", "veneto", "ven-a")
            first = fleet.gateways[0]
            addresses = [vm.address for vm in fleet.vms]
            self.assertEqual(sorted(first.lookup.addresses(lookup)), addresses[1:])
            await fleet.gateways[1].announce_leaving()
            await fleet.until(lambda: first.lookup.addresses(lookup) == addresses[2:])


class TestQuotas(unittest.TestCase):
    @on_real_clock
    async def test_tokens_are_lent_between_vms(self):
        async with running_fleet() as fleet:
            workspace = next(
                iter(
                    fleet.gateways[0].admission.configuration.workspace_by_key.values()
                )
            )
            lender, borrower = fleet.gateways[1], fleet.gateways[0]
            lender.quotas.admit(workspace)
            while borrower.quotas.admit(workspace) is None:
                pass
            await fleet.until(
                lambda: any(
                    workspace.name in domain.summary.usage
                    for domain in borrower.members.far.values()
                )
            )
            before = lender.quotas.buckets[workspace.name].level
            self.assertGreater(before, 1)
            self.assertTrue(await borrower.loans.borrow(workspace))


class TestMembers(unittest.TestCase):
    @on_real_clock
    async def test_vm_that_knows_one_member_learns_of_the_others(self):
        """A VM that knows only a seed starts while the store is unavailable.

        The other VMs never learned of it: look-ups did not return its address for
        callers, and its share of each quota was added to theirs.
        """
        async with running_fleet() as fleet:
            started, other = fleet.gateways[1], fleet.gateways[2]
            for proxy in fleet.store_proxies:
                proxy.close()
            for gateway, missing in ((started, "edge-2"), (other, "edge-1")):
                del gateway.members.table[missing]
                # The digest must show what the table contains, or nobody sees that the
                # lists differ.
                gateway.members._digest = None
            await fleet.until(
                lambda: len(started.members.ready()) == len(other.members.ready()) == 3
            )
