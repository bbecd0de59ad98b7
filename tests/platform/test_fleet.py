"""Tests of several gateways that communicate over loopback, each at its own IP."""

import contextlib
import io
import unittest

import trio

from plantainshed_gateway.context import Context
from plantainshed_gateway.gateway import Gateway
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.peers import StateHandler
from plantainshed_gateway.ports import Collection, Lookup, PlatformAdapter
from plantainshed_gateway.settings import Addresses, Settings
from plantainshed_http.server import Stopping, serve_http
from plantainshed_platform.decoding import PlatformDecoder
from plantainshed_platform.store import ObjectStore
from plantainshed_platform.wire import PlatformWire
from tests.platform.platform_support import (
    BOUNDS,
    configuration,
    entry,
    route,
)
from tests.platform.store_standin import StoreStandin
from tests.platform.target_standin import TargetStandin, running_target
from tests.support import on_real_clock

REGION_OF = {"mil-a": "lombardia", "ven-a": "veneto"}


class StoreProxy:
    """One VM's access to the store, which can be cut off for this VM alone."""

    def __init__(self, store: StoreStandin):
        self.store = store
        self.is_open = True
        self.pending: set[trio.CancelScope] = set()

    async def handle(self, exchange):
        if not self.is_open:
            await exchange.reply(503, [], b"{}")
            return
        with trio.CancelScope() as scope:
            self.pending.add(scope)
            try:
                await self.store.handle(exchange)
            finally:
                self.pending.discard(scope)

    def close(self):
        """Refuse further calls and cancel those that are waiting."""
        self.is_open = False
        for scope in self.pending:
            scope.cancel()


class Fleet:
    """Gateways, the store that they share, and the proxy of each to it."""

    def __init__(self, store: StoreStandin):
        self.store = store
        self.store_proxies: list[StoreProxy] = []
        self.gateways: list[Gateway] = []

    def count_config_watches(self) -> int:
        """Return how many watches of the configuration the store has received."""
        return sum("/config?watch" in call for call in self.store.calls)

    async def until(self, condition):
        with trio.fail_after(10):
            while not condition():
                await trio.sleep(0.01)


async def listen(ip: str):
    listeners = await trio.open_tcp_listeners(0, host=ip)
    return listeners, listeners[0].socket.getsockname()[1]


def make_settings(number: int, store: str, port: int, control: str) -> Settings:
    ip = f"127.0.0.{number + 2}"
    return Settings(
        vm=f"edge-{number}",
        failure_domain="mil-a" if number == 0 else "ven-a",
        region="lombardia" if number == 0 else "veneto",
        ip=ip,
        region_of=REGION_OF,
        listen=Addresses(f"{ip}:1", "", "", control, ""),
        datagram_port=port,
        seeds=tuple(f"127.0.0.{n + 2}:1" for n in range(3)),
        store=store,
        bounds=BOUNDS,
    )


@contextlib.asynccontextmanager
async def running_fleet(count=3):
    async with contextlib.AsyncExitStack() as stack:
        target = TargetStandin("i-0")
        await stack.enter_async_context(running_target(target))
        fleet = Fleet(StoreStandin())
        fleet.store.put("servers", "i-0", entry(target))
        fleet.store.put("config", "main", configuration())
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        datagram_port = None
        for number in range(count):
            proxy = StoreProxy(fleet.store)
            fleet.store_proxies.append(proxy)
            listeners, port = await listen("127.0.0.1")
            nursery.start_soon(serve_http, proxy.handle, listeners, Stopping())
            address = f"127.0.0.1:{port}"
            ip = f"127.0.0.{number + 2}"
            listeners, port = await listen(ip)
            datagram_port = datagram_port or port
            settings = make_settings(number, address, datagram_port, f"{ip}:{port}")
            log = DecisionLog(settings.vm, settings.failure_domain, io.StringIO())
            stack.enter_context(log.writing())
            adapter = PlatformAdapter(
                PlatformWire(), PlatformDecoder(), ObjectStore(address)
            )
            gateway = Gateway(Context(settings, adapter, log, 1))
            fleet.gateways.append(gateway)
            nursery.start_soon(gateway.run)
            handler = StateHandler(gateway.replicas)
            nursery.start_soon(serve_http, handler.handle, listeners, Stopping())
        await fleet.until(
            lambda: all(len(g.members.ready()) == count for g in fleet.gateways)
        )
        yield fleet


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
            self.assertEqual(
                sorted(first.lookup.addresses(lookup)), ["127.0.0.3:1", "127.0.0.4:1"]
            )
            await fleet.gateways[1].announce_leaving()
            await fleet.until(lambda: first.lookup.addresses(lookup) == ["127.0.0.4:1"])


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
            del started.members.table["edge-2"]
            del other.members.table["edge-1"]
            await fleet.until(
                lambda: len(started.members.ready()) == len(other.members.ready()) == 3
            )
