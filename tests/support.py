"""Shared test helpers: decorators for async tests, and small in-memory fleets."""

import contextlib
import functools

import trio

from plantainshed_coordination.budgets import BudgetKind, BudgetSpec
from plantainshed_coordination.demand_reporter import DemandReporter
from plantainshed_coordination.errors import OutcomeUnknown, PlatformUnavailable
from plantainshed_coordination.holdings import Holdings
from plantainshed_coordination.identity import Identity
from plantainshed_coordination.ledger import LEDGER_KIND, domain_shard, fleet_shards
from plantainshed_coordination.lending import Lending
from plantainshed_coordination.members import MemberState
from plantainshed_coordination.membership import Membership, SeedMember
from plantainshed_coordination.network import PeerNetwork
from plantainshed_coordination.operations import OperationRegistry
from plantainshed_coordination.peer_pb2 import MemberRecord
from plantainshed_coordination.platform import ListedVm
from plantainshed_coordination.rebalancer import Rebalancer
from plantainshed_coordination.rumors import RumorBook
from plantainshed_standins.memory_network import MemoryNetwork, run_deterministically
from plantainshed_standins.memory_platform import MemoryPlatform

TEST_TIMEOUT_S = 3600
WORKSPACE = BudgetSpec("workspace/comune", BudgetKind.RATE, rate=50.0, burst=30.0)


def on_mock_clock(function):
    """Run an async test on a mock clock that jumps whenever all tasks wait."""

    @functools.wraps(function)
    def run(self):
        async def body():
            with trio.fail_after(TEST_TIMEOUT_S):
                await function(self)

        run_deterministically(body)

    return run


def on_real_clock(function):
    """Run an async test that uses real sockets; such tests assert no durations."""

    @functools.wraps(function)
    def run(self):
        async def body():
            with trio.fail_after(60):
                await function(self)

        trio.run(body)

    return run


class StoreAccess:
    """One VM's access to the store, which can lose answers and then fail to read.

    Attributes
    ----------
    kinds : tuple of str
        Kinds of objects that are affected.
    lose_answers : int
        Number of upcoming writes that are stored but raise `OutcomeUnknown`.
    unreadable_s : float
        How long reads fail after a lost answer.
    is_down : bool
        Whether every call fails without any effect, except waiting for changes.
    lost : int
        Number of answers lost so far.
    """

    def __init__(self, platform, kinds=(LEDGER_KIND,)):
        self.platform = platform
        self.kinds = kinds
        self.lose_answers = 0
        self.unreadable_s = 0.0
        self.unreadable_until = float("-inf")
        self.is_down = False
        self.lost = 0

    def __getattr__(self, name):
        return getattr(self.platform, name)

    async def get(self, kind, name):
        is_unreadable = trio.current_time() < self.unreadable_until
        if self.is_down or (is_unreadable and kind in self.kinds):
            raise PlatformUnavailable(f"GET {kind}/{name}: no answer")
        return await self.platform.get(kind, name)

    async def put(self, kind, name, value, expected_version):
        if self.is_down:
            raise PlatformUnavailable(f"PUT {kind}/{name}: no connection")
        version = await self.platform.put(kind, name, value, expected_version)
        if kind in self.kinds and self.lose_answers:
            self.lose_answers -= 1
            self.lost += 1
            self.unreadable_until = trio.current_time() + self.unreadable_s
            raise OutcomeUnknown(f"PUT {kind}/{name}: no answer")
        return version


class MemoryVm:
    """The coordination components of one VM, without the entry daemon."""

    def __init__(self, fleet: "MemoryFleet", vm: str, incarnation: int):
        domain = fleet.domains[vm]
        identity = Identity(vm, domain, incarnation)
        self.transport = fleet.network.open(vm)
        self.network = PeerNetwork(identity, self.transport)
        seeds = [SeedMember(n, d, n) for n, d in fleet.domains.items()]
        record = MemberRecord(
            vm=vm,
            failure_domain=domain,
            incarnation=incarnation,
            revision=1,
            state=MemberState.READY,
            peer=vm,
            control=vm,
            operation_epoch=1,
        )
        self.platform = fleet.platform_of(vm)
        self.membership = Membership(
            identity, self.network, self.platform, seeds, record
        )
        self.membership.update_record(state=MemberState.READY, listen=vm)
        self.rumors = RumorBook(self.network, self.membership)
        self.holdings = Holdings(self.network, self.membership.is_caught_up)
        self.holdings.set_specs(fleet.specs)
        self.lending = Lending(self.network, self.membership, self.holdings)
        self.operations = OperationRegistry(self.network, self.membership)
        self.rebalancers = {
            shard: Rebalancer(
                shard, self.platform, self.network, self.membership, self.holdings
            )
            for shard in [*fleet_shards(), domain_shard(domain)]
        }
        self.reporter = DemandReporter(
            self.network, self.membership, self.holdings, self.rebalancers
        )
        self.scope = trio.CancelScope()
        self.domain = domain

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                for component in (
                    self.network,
                    self.membership,
                    self.rumors,
                    self.lending,
                    self.operations,
                    self.reporter,
                ):
                    nursery.start_soon(component.run)
                for shard, rebalancer in self.rebalancers.items():
                    nursery.start_soon(rebalancer.run, self._candidates(shard))

    def _candidates(self, shard):
        if shard == domain_shard(self.domain):
            return lambda: self.membership.live_in_domain(self.domain)
        return self.membership.usable_vms

    @property
    def part(self):
        """This VM's part of the first budget."""
        return next(iter(self.holdings.parts.values()))


class MemoryFleet:
    """A few `MemoryVm` objects on one in-memory network."""

    def __init__(self, domains, specs=(WORKSPACE,), seed=1, platform_of=None):
        self.domains = dict(domains)
        self.specs = list(specs)
        self.network = MemoryNetwork(seed)
        self.platform = MemoryPlatform()
        self.platform_of = platform_of or (lambda vm: self.platform)
        self.vms: dict[str, MemoryVm] = {}
        self.incarnation = 0
        self.nursery = None

    def start(self, vm: str) -> MemoryVm:
        self.incarnation += 1
        started = self.vms[vm] = MemoryVm(self, vm, self.incarnation)
        self.platform.vms[vm] = ListedVm(vm, leaving=False)
        self.nursery.start_soon(started.run)
        return started

    def kill(self, vm: str):
        self.vms.pop(vm).scope.cancel()
        self.network.transports.pop(vm, None)

    def cut(self, *groups):
        """Partition the network: deliver datagrams only within each group of VMs."""
        group_of = {vm: index for index, group in enumerate(groups) for vm in group}

        def is_cut(sender, receiver):
            return group_of.get(sender) != group_of.get(receiver)

        self.network.faults.is_cut = is_cut

    def heal(self):
        self.network.faults.is_cut = lambda sender, receiver: False

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for vm in self.domains:
                self.start(vm)
            yield self.vms
            nursery.cancel_scope.cancel()

    def units(self, budget=WORKSPACE.name) -> int:
        return sum(vm.holdings.parts[budget].units for vm in self.vms.values())


FOUR_VMS = (("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b"))
