"""Runs several entry nodes on an in-memory network and injects faults into them."""

import contextlib
import itertools
import logging
import random

import trio
from attrs import evolve

from plantainshed_coordination.errors import PlatformUnavailable
from plantainshed_coordination.identity import Identity
from plantainshed_coordination.nurseries import open_unwrapping_nursery
from plantainshed_coordination.platform import ListedVm
from plantainshed_coordination.versioned import Change, DocumentStore
from plantainshed_entry.context import Context
from plantainshed_entry.errors import AttemptFailed
from plantainshed_entry.node import Node
from plantainshed_entry.reasons import Outcome
from plantainshed_entry.settings import Seed, Settings
from plantainshed_model.codec import from_segments, to_segments
from plantainshed_model.document import Document
from plantainshed_model.keys import KEY_ID_BYTES, SECRET_BYTES, IssuedKey, make_key
from plantainshed_standins.memory_network import MemoryNetwork
from plantainshed_standins.memory_platform import MemoryPlatform

from .fake_exchange import FakeExchange
from .memory_targets import MemoryTarget
from .policies import Policy

STORE_DELAY_S = 0.004
CUT_POLL_S = 1.0
CLOSE_POLL_S = 0.01
CROSS_REGION_DELAY_S = 0.012
CROSS_DOMAIN_DELAY_S = 0.001
LEAVE_TIMEOUT_S = 60.0
RIG_LOGGER = logging.getLogger("plantainshed.rig")
RIG_LOGGER.setLevel(logging.CRITICAL)


class VmPlatform:
    """Forwards the platform calls of one VM, with network delay.

    Calls fail while the failure domain of the VM is cut off from the platform.
    """

    def __init__(self, rig: "Rig", failure_domain: str):
        self.rig = rig
        self.failure_domain = failure_domain

    def __getattr__(self, name):
        async def call(*arguments):
            if self.rig.is_cut_from_platform(self.failure_domain):
                await trio.sleep(0.5)
                raise PlatformUnavailable(f"{self.failure_domain} is cut off")
            await trio.sleep(STORE_DELAY_S)
            if name != "wait_for_change":
                return await getattr(self.rig.platform, name)(*arguments)
            return await self._watch(arguments)

        return call

    async def _watch(self, arguments):
        """Wait for a change to a stored object.

        A cut ends the wait with an error, as it would break a connection.
        """
        async with open_unwrapping_nursery() as nursery:
            nursery.start_soon(self._raise_when_cut)
            stored = await self.rig.platform.wait_for_change(*arguments)
            nursery.cancel_scope.cancel()
        return stored

    async def _raise_when_cut(self):
        while not self.rig.is_cut_from_platform(self.failure_domain):
            await trio.sleep(CUT_POLL_S)
        raise PlatformUnavailable(f"{self.failure_domain} is cut off")


class RunningVm:
    """A running VM: its node, and the cancel scopes that stop it.

    Attributes
    ----------
    scope : trio.CancelScope
        Stops the node.
    request_scopes : set of trio.CancelScope
        One for each exchange in progress.
    """

    def __init__(self, node: Node, scope: trio.CancelScope):
        self.node = node
        self.scope = scope
        self.is_accepting = True
        self.request_scopes: set[trio.CancelScope] = set()

    async def close(self):
        """Stop accepting exchanges and wait for those in progress."""
        self.is_accepting = False
        while self.request_scopes:
            await trio.sleep(CLOSE_POLL_S)


class Rig:
    """An in-memory fleet of VMs with its targets, network and platform.

    Parameters
    ----------
    document : Document
    vms : list of (str, str)
        Name and failure domain of each VM.
    policy : Policy
    seed : int
        Seed of the generated keys and of the network's random faults.

    Attributes
    ----------
    isolated : set of str
        Failure domains that are cut off from all others and from the platform.
    cut_from_platform : set of str
        Failure domains that are cut off from the platform only.
    planned_stops : set of str
        VMs that were shut down gracefully.
    all_transports : list
        Transports of all runs of all VMs, including those that have ended.
    """

    def __init__(self, document: Document, vms, policy: Policy, seed: int = 1):
        self.keys = _generate_keys(document, seed)
        entries = tuple(key.entry for key in self.keys.values())
        self.document = evolve(document, keys=entries)
        self.region = {d.name: d.region for d in document.failure_domains}
        self.domain_of = dict(vms)
        self.policy = policy
        self.platform = MemoryPlatform()
        self.network = MemoryNetwork(seed, self._delay)
        self.network.faults.is_cut = self._is_cut
        self.isolated: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self.targets = self._make_targets()
        self.vms: dict[str, RunningVm] = {}
        self.planned_stops: set[str] = set()
        self.all_transports = []
        self.nursery: trio.Nursery | None = None
        self._incarnations = itertools.count(1)
        self._change_ids = itertools.count(1)

    def _make_targets(self) -> dict[str, MemoryTarget]:
        pools = {pool.name: pool for pool in self.document.pools}
        return {
            target.name: MemoryTarget(
                target.name,
                target.failure_domain,
                pools[target.pool].slots,
                pools[target.pool].service_time_s,
            )
            for target in self.document.targets
        }

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the fleet for the duration of a ``with`` block."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.commit(self.document)
            for vm in self.domain_of:
                self.start_vm(vm)
            yield self
            nursery.cancel_scope.cancel()

    # VMs.

    def start_vm(self, vm: str):
        """Start a VM, or restart it with a new incarnation."""
        failure_domain = self.domain_of[vm]
        seeds = tuple(Seed(n, d, n) for n, d in self.domain_of.items())
        settings = Settings(vm, failure_domain, vm, vm, vm, "platform", seeds)
        transport = self.network.open(vm)
        self.all_transports.append(transport)
        identity = Identity(vm, failure_domain, next(self._incarnations))
        context = Context(
            settings,
            identity,
            VmPlatform(self, failure_domain),
            transport,
            transport,
            logging.LoggerAdapter(RIG_LOGGER, {}),
        )
        node = Node(
            context,
            self._relay_from(failure_domain),
            self._probe_from(failure_domain),
            limiter=self.policy.limiter(self.document, len(self.domain_of)),
            order=self.policy.order(),
        )
        transport.get_value = node.follower.value
        running = RunningVm(node, trio.CancelScope())
        self.vms[vm] = running
        self.platform.vms[vm] = ListedVm(vm, leaving=False)
        self.nursery.start_soon(self._run_vm, running)

    async def _run_vm(self, running: RunningVm):
        with running.scope:
            await running.node.run()

    def kill_vm(self, vm: str):
        """Stop a VM abruptly and cancel its exchanges."""
        running = self.vms.pop(vm)
        for scope in [running.scope, *running.request_scopes]:
            scope.cancel()
        self.network.transports.pop(vm, None)

    def forget_vm(self, vm: str):
        """Remove a VM from the platform's list."""
        self.platform.vms.pop(vm, None)

    async def stop_vm(self, vm: str):
        """Shut a VM down gracefully."""
        running = self.vms[vm]
        self.planned_stops.add(vm)
        await running.node.leave(running.close, LEAVE_TIMEOUT_S)
        self.kill_vm(vm)
        self.forget_vm(vm)

    async def replace_vm(self, vm: str, gap_s: float = 0.5):
        """Shut a VM down gracefully and restart it after ``gap_s`` seconds."""
        await self.stop_vm(vm)
        await trio.sleep(gap_s)
        self.start_vm(vm)

    async def serve(self, vm: str, exchange: FakeExchange) -> bool:
        """Let a VM serve an exchange.

        Return False if the VM does not accept exchanges or is killed meanwhile.
        """
        running = self.vms.get(vm)
        if running is None or not running.is_accepting:
            return False
        with trio.CancelScope() as scope:
            running.request_scopes.add(scope)
            try:
                await running.node.serving.serve(exchange)
            finally:
                running.request_scopes.discard(scope)
        return not scope.cancelled_caught

    # The document.

    async def commit(self, document: Document, reason: str = "trace") -> int:
        """Store a new version of the document and return its number."""
        store = DocumentStore(self.platform)
        root = await store.root()
        change = Change(
            root.revision.version,
            to_segments(document),
            f"change-{next(self._change_ids)}",
            "trace",
            reason,
            "",
        )
        revision = await store.commit(change)
        self.document = document
        return revision.version

    async def edit(self, change) -> int:
        """Apply ``change`` to the stored document and return the new version."""
        store = DocumentStore(self.platform)
        root = await store.root()
        document = from_segments(await store.segments(root.revision))
        return await self.commit(change(document))

    # The network.

    def _delay(self, sender: str, receiver: str) -> float:
        return self.delay_between(self.domain_of[sender], self.domain_of[receiver])

    def delay_between(self, domain_a: str, domain_b: str) -> float:
        """Return the one-way delay between two failure domains, in seconds."""
        if self.region[domain_a] != self.region[domain_b]:
            return CROSS_REGION_DELAY_S
        return (
            CROSS_DOMAIN_DELAY_S if domain_a != domain_b else CROSS_DOMAIN_DELAY_S / 4
        )

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return self.is_cut(self.domain_of[sender], self.domain_of[receiver])

    def is_cut(self, domain_a: str, domain_b: str) -> bool:
        """Return whether two failure domains cannot reach each other."""
        return domain_a != domain_b and bool({domain_a, domain_b} & self.isolated)

    def is_cut_from_platform(self, failure_domain: str) -> bool:
        """Return whether a failure domain cannot reach the platform."""
        return failure_domain in self.isolated | self.cut_from_platform

    def _relay_from(self, failure_domain: str):
        async def relay(call, state):
            target = self.targets[state.target.name]
            if self.is_cut(failure_domain, target.failure_domain):
                await trio.sleep(1.0)
                raise AttemptFailed(f"{target.name} is unreachable", Outcome.NOT_RUN)
            delay_s = self.delay_between(failure_domain, target.failure_domain)
            await trio.sleep(delay_s)
            await target.run(call)
            await trio.sleep(delay_s)
            await call.exchange.start(200, [])
            await call.exchange.finish()

        return relay

    def _probe_from(self, failure_domain: str):
        async def probe(state):
            await trio.sleep(CROSS_DOMAIN_DELAY_S)
            return self.targets[state.target.name].probe()

        return probe


def _generate_keys(document: Document, seed: int) -> dict[str, IssuedKey]:
    """Return a key for each workspace; the same seed gives the same keys.

    Key ids must be reproducible for a replay to be so. They determine the number
    of segments of the document, and with it the number of steps in which each VM
    reads it. Each step draws from the scheduler's seeded shuffle, so one step more
    changes the order of all later tasks.
    """
    source = random.Random(seed)
    return {
        item.name: make_key(
            item.name,
            source.randbytes(KEY_ID_BYTES).hex(),
            source.randbytes(SECRET_BYTES).hex(),
        )
        for item in document.workspaces
    }
