"""Several gateways that reach each other over loopback, each at its own IP."""

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


class Door:
    """One VM's way to the store, which can turn it away alone."""

    def __init__(self, store: StoreStandin):
        self.store = store
        self.is_open = True
        self.waiting: set[trio.CancelScope] = set()

    async def handle(self, exchange):
        if not self.is_open:
            await exchange.reply(503, [], b"{}")
            return
        with trio.CancelScope() as scope:
            self.waiting.add(scope)
            try:
                await self.store.handle(exchange)
            finally:
                self.waiting.discard(scope)

    def close(self):
        """Turn the VM away, also from what it waits for."""
        self.is_open = False
        for scope in self.waiting:
            scope.cancel()


class Fleet:
    """Gateways, their doors to one store, and the store."""

    def __init__(self, store: StoreStandin):
        self.store = store
        self.doors: list[Door] = []
        self.gateways: list[Gateway] = []

    def config_watches(self) -> int:
        """Return how many watches of the configuration were ever begun."""
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
            door = Door(fleet.store)
            fleet.doors.append(door)
            listeners, port = await listen("127.0.0.1")
            nursery.start_soon(serve_http, door.handle, listeners, Stopping())
            address = f"127.0.0.1:{port}"
            ip = f"127.0.0.{number + 2}"
            listeners, port = await listen(ip)
            datagram_port = datagram_port or port
            settings = make_settings(number, address, datagram_port, f"{ip}:{port}")
            log = DecisionLog(settings.vm, settings.failure_domain, io.StringIO())
            stack.enter_context(log.writing())
            surroundings = PlatformAdapter(
                PlatformWire(), PlatformDecoder(), ObjectStore(address)
            )
            gateway = Gateway(Context(settings, surroundings, log, 1))
            fleet.gateways.append(gateway)
            nursery.start_soon(gateway.run)
            handler = StateHandler(gateway.replicas)
            nursery.start_soon(serve_http, handler.handle, listeners, Stopping())
        await fleet.until(
            lambda: all(len(g.members.ready()) == count for g in fleet.gateways)
        )
        yield fleet


def version(gateway: Gateway) -> int:
    return gateway.admission.configuration.version


def rendered_metrics(gateway: Gateway) -> str:
    return gateway.context.metrics.render().decode()


class TestState(unittest.TestCase):
    @on_real_clock
    async def test_vm_that_the_store_turns_away_learns_from_another(self):
        """The store refuses one VM and serves the others; a route is dropped.

        Callers at that VM would reach a dropped route, or use a withdrawn key,
        for as long as the store goes on refusing it.
        """
        async with running_fleet() as fleet:
            fleet.doors[2].close()
            fleet.store.put("config", "main", configuration(9, [route("new", "/new/")]))
            await fleet.until(lambda: all(version(g) == 9 for g in fleet.gateways))

    @on_real_clock
    async def test_vm_that_starts_while_the_store_is_silent_serves(self):
        """A VM restarts while the store answers nobody.

        It would refuse all callers until the store is back, though every VM
        beside it knows the configuration.
        """
        async with running_fleet() as fleet:
            for door in fleet.doors:
                door.close()
            started = fleet.gateways[1]
            await fleet.until(lambda: not started.followers["targets"].is_connected)
            for follower in started.followers.values():
                follower.replica.items = {}
                follower.replica.revision = 0
            started.admission.configuration = None
            started.registry.states = {}
            started.state = VmState.STARTING
            await fleet.until(lambda: started.state is VmState.READY)
            self.assertEqual(version(started), 7)
            self.assertEqual(list(started.registry.states), ["i-0"])

    @on_real_clock
    async def test_watches_that_the_store_never_took_up_are_noticed(self):
        """All VMs refused newer keys for as long as a watch may wait."""
        async with running_fleet() as fleet:
            fleet.store.put("config", "main", configuration(8))
            await fleet.until(lambda: all(version(g) == 8 for g in fleet.gateways))
            fleet.store.answers = "silent"
            begun = fleet.config_watches()
            await fleet.until(lambda: fleet.config_watches() == begun + 3)
            fleet.store.answers = "yes"
            fleet.store.put("config", "main", configuration(9))
            await fleet.until(lambda: all(version(g) == 9 for g in fleet.gateways))


class TestMetrics(unittest.TestCase):
    @on_real_clock
    async def test_age_and_revision_of_copies_are_told(self):
        """Nothing told an idle copy from one that the store had stopped confirming."""
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
    async def test_leaving_vm_is_named_by_nobody(self):
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
    async def test_vm_that_knows_one_other_is_told_of_the_rest(self):
        """A VM starts while the store is away and knows only a seed.

        The others never heard of it: its callers were not named in look-ups,
        and its part of each quota was on top of theirs.
        """
        async with running_fleet() as fleet:
            started, rest = fleet.gateways[1], fleet.gateways[2]
            for door in fleet.doors:
                door.close()
            del started.members.table["edge-2"]
            del rest.members.table["edge-1"]
            await fleet.until(
                lambda: len(started.members.ready()) == len(rest.members.ready()) == 3
            )
