"""Reporting this VM's demand to the rebalancer of each shard."""

import trio

from .digests import rendezvous_order
from .errors import PeerError
from .holdings import Holdings
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import DemandReport
from .rebalancer import ASK_TIMEOUT_S, Rebalancer

PERIOD_S = 1.0
MAX_REPORTS_PER_SECOND = 200


class DemandReporter:
    """Reports this VM's demand to the rebalancer of each shard.

    Parameters
    ----------
    network : PeerNetwork
    membership : Membership
    holdings : Holdings
    rebalancers : dict of str to Rebalancer
        This VM's own rebalancers, by shard.
    """

    def __init__(
        self,
        network: PeerNetwork,
        membership: Membership,
        holdings: Holdings,
        rebalancers: dict[str, Rebalancer],
    ):
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.rebalancers = rebalancers
        network.handlers["demand_report"] = self._on_report

    async def run(self):
        """Send reports periodically until cancelled."""
        while True:
            await self.report_all()
            fleet_size = len(self.membership.table.members)
            await trio.sleep(max(PERIOD_S, fleet_size / MAX_REPORTS_PER_SECOND))

    async def report_all(self):
        """Send one report for each shard."""
        async with trio.open_nursery() as nursery:
            for shard in self.holdings.shards():
                if shard in self.rebalancers:
                    nursery.start_soon(self._report, shard)

    async def _report(self, shard: str):
        identity = self.membership.identity
        report = self.holdings.report(shard, identity.failure_domain)
        vm = self.holdings.rebalancer_by_shard.get(shard) or self._likely_rebalancer(
            shard
        )
        rebalancer = self.rebalancers[shard]
        if rebalancer.lease.is_held:
            self.holdings.apply(await rebalancer.on_report(identity, report))
            return
        if vm == identity.vm:
            self.holdings.rebalancer_by_shard.pop(shard, None)
            return
        try:
            answer = await self.network.ask(vm, "demand_report", report, ASK_TIMEOUT_S)
        except PeerError:
            self.holdings.rebalancer_by_shard.pop(shard, None)
            return
        self.holdings.apply(answer)

    def _likely_rebalancer(self, shard: str) -> str:
        usable = self.membership.usable_vms()
        return rendezvous_order(shard, usable)[0]

    async def _on_report(self, sender, report: DemandReport):
        rebalancer = self.rebalancers.get(report.shard)
        if rebalancer is None:
            return None
        return await rebalancer.on_report(sender, report)
