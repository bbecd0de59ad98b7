import unittest

import trio

from plantainshed_gateway.model import Workspace
from tests.gateway.linked_fleet import LinkedFleet
from tests.support import on_mock_clock

DOMAINS = {"be-a": 2, "nl-a": 2, "fr-a": 2, "be-b": 1, "nl-b": 1, "fr-b": 1}


def of_rate(rate_per_s: float) -> Workspace:
    return Workspace("comune", rate_per_s=rate_per_s, burst=rate_per_s)


async def run_scenario(
    scenario, workspace: Workspace, domains=DOMAINS, seed=1
) -> LinkedFleet:
    """Run a scenario on a fleet; return the fleet."""
    async with trio.open_nursery() as nursery:
        fleet = LinkedFleet(domains, workspace, nursery, seed=seed)
        await scenario(fleet)
        nursery.cancel_scope.cancel()
    return fleet


class TestMovingCallers(unittest.TestCase):
    @on_mock_clock
    async def test_tokens_of_former_shares_do_not_add_up(self):
        """Guards against tokens left on VMs whose callers have moved away."""

        async def move_then_overload(fleet):
            for ip in fleet.vms:
                await fleet.play(8, fleet.workspace.rate_per_s / 6, [ip])
            await fleet.play(6, 60)

        for rate_per_s in (2.0, 6.0):
            fleet = await run_scenario(move_then_overload, of_rate(rate_per_s))
            self.assertLessEqual(fleet.used, 1.0, rate_per_s)


class TestFallingDemand(unittest.TestCase):
    @on_mock_clock
    async def test_shares_do_not_sum_to_more_than_one(self):
        """Guards against computing shares with own demand older than that of others."""

        async def drop_load(fleet):
            rate_per_s = fleet.workspace.rate_per_s
            await fleet.play(6, 20 * rate_per_s)
            await fleet.play(7, 1.5 * rate_per_s)

        fleet = await run_scenario(drop_load, of_rate(150.0))
        self.assertLessEqual(fleet.used, 1.0)


class TestRestartOfAllVms(unittest.TestCase):
    @on_mock_clock
    async def test_initial_tokens_are_within_the_tolerance(self):
        """Guards against one whole token for each starting VM of a large fleet."""

        async def restart_all(fleet):
            await fleet.play(10, fleet.workspace.rate_per_s / 20)
            await fleet.play(0.3, 60)
            for ip in fleet.vms:
                fleet.restart(ip)
            await fleet.play(8, 60)

        domains = {f"{region}-{n}": 2 for region in ("be", "nl", "fr") for n in "abcd"}
        for rate_per_s in (2.0, 6.0):
            fleet = await run_scenario(restart_all, of_rate(rate_per_s), domains)
            self.assertLessEqual(fleet.used, 1.0, rate_per_s)


class TestPartitionAfterRestart(unittest.TestCase):
    @on_mock_clock
    async def test_shares_from_first_counts_do_not_sum_to_more_than_one(self):
        """Guards against shares based on the first reported demand.

        They were kept while a partition blocked further reports.
        """

        async def restart_then_partition(fleet):
            rate_per_s = fleet.workspace.rate_per_s
            await fleet.play(8, rate_per_s / 20)
            await fleet.play(0.3, 20 * rate_per_s)
            for ip in fleet.vms:
                fleet.restart(ip)
            await fleet.play(0.95, 4 * rate_per_s)
            isolated = set(fleet.rng.sample(list(fleet.vms), 3))
            fleet.is_cut = lambda a, b: (a in isolated) != (b in isolated)
            await fleet.play(6, 4 * rate_per_s)

        fleet = await run_scenario(restart_then_partition, of_rate(150.0))
        self.assertLessEqual(fleet.used, 1.0)
