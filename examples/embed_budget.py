"""Share one rate limit among three members, without the daemons.

Run it with ``python examples/embed_budget.py``. The network and the store are in
memory. A real program uses `DatagramTransport` and its own platform client.
"""

import trio

from plantainshed_coordination.budgets import BudgetKind, BudgetSpec
from plantainshed_coordination.demand_reporter import DemandReporter
from plantainshed_coordination.holdings import Holdings
from plantainshed_coordination.identity import Identity
from plantainshed_coordination.ledger import fleet_shards
from plantainshed_coordination.lending import Lending
from plantainshed_coordination.membership import Membership, SeedMember
from plantainshed_coordination.network import PeerNetwork
from plantainshed_coordination.peer_pb2 import MemberRecord
from plantainshed_coordination.rebalancer import Rebalancer
from plantainshed_standins.memory_network import MemoryNetwork, run_deterministically
from plantainshed_standins.memory_platform import MemoryPlatform

MEMBERS = ("one", "two", "three")
EMAILS = BudgetSpec("emails", BudgetKind.RATE, rate=100.0, burst=50.0)


def join(vm, network, platform, nursery) -> Lending:
    """Start one member and return the object that grants it tokens."""
    peers = PeerNetwork(Identity(vm, "zone", 1), network.open(vm))
    seeds = [SeedMember(name, "zone", name) for name in MEMBERS]
    record = MemberRecord(vm=vm, failure_domain="zone", incarnation=1, peer=vm)
    membership = Membership(peers.identity, peers, platform, seeds, record)
    holdings = Holdings(peers, membership.is_caught_up)
    holdings.set_specs([EMAILS])
    lending = Lending(peers, membership, holdings)
    shards = {
        shard: Rebalancer(shard, platform, peers, membership, holdings)
        for shard in fleet_shards()
    }
    for part in (peers, membership, lending):
        nursery.start_soon(part.run)
    nursery.start_soon(DemandReporter(peers, membership, holdings, shards).run)
    for rebalancer in shards.values():
        nursery.start_soon(rebalancer.run, membership.usable_vms)
    return lending


async def main():
    """Request twice the total rate from one member for ten seconds."""
    async with trio.open_nursery() as nursery:
        network, platform = MemoryNetwork(), MemoryPlatform()
        members = [join(vm, network, platform, nursery) for vm in MEMBERS]
        await trio.sleep(5)
        granted = []

        async def ask():
            granted.append(await members[0].take(EMAILS.name))

        for _ in range(2000):
            nursery.start_soon(ask)
            await trio.sleep(0.005)
        print(f"granted {sum(granted)} of 2000 in 10 s; the limit is 10 * 100 + 50")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    run_deterministically(main)
