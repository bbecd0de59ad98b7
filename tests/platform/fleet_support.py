"""Several gateways on loopback, each with its own IP, store access and target links."""

import contextlib
import io

import orjson
import trio
from attrs import define, field

from plantainshed_gateway.context import Context
from plantainshed_gateway.gateway import Gateway
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.ports import PlatformAdapter
from plantainshed_gateway.settings import Addresses, Settings
from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectFailed
from plantainshed_http.server import Stopping, serve_http
from plantainshed_http.tcp import TcpStream
from plantainshed_platform.decoding import PlatformDecoder
from plantainshed_platform.store import ObjectStore
from plantainshed_platform.wire import PlatformWire

from .platform_support import BOUNDS, HOST, KEY, configuration, entry
from .store_standin import StoreStandin
from .target_standin import TargetStandin, running_target

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


class LinkedStream:
    """A connection to a target whose bytes pass only while the link is up."""

    def __init__(self, link: "TargetLink", stream: TcpStream):
        self.link = link
        self.stream = stream
        self.held = b""

    def __getattr__(self, name):
        return getattr(self.stream, name)

    async def send_all(self, data: bytes):
        """Send bytes; they are held while the link carries nothing."""
        if self.link.resets:
            raise trio.BrokenResourceError
        if self.link.carries_nothing:
            self.held += data
        else:
            await self.stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received bytes once the link carries them."""
        await self.link.until_bytes_pass()
        if self.link.resets:
            raise trio.BrokenResourceError
        held, self.held = self.held, b""
        await self.stream.send_all(held)
        data = await self.stream.receive_some(max_bytes)
        await self.link.until_bytes_pass()
        return data


@define
class TargetLink:
    """One VM's link to all targets, which can be cut.

    Attributes
    ----------
    form : str
        How it is cut: ``hang`` (open and new connections carry nothing), ``reset``
        (open connections are reset, new ones refused), ``reset and hang`` (open ones
        are reset, new ones carry nothing), ``refuse`` (open ones live on, new ones are
        refused), ``accept and hang`` (new ones are accepted on the way and carry
        nothing), ``accept and reset`` (they are accepted and reset); empty while it is
        up.
    """

    form: str = ""
    changed: trio.Event = field(factory=trio.Event)
    streams: list[TcpStream] = field(factory=list)

    async def connect(self, address: str, timeout_s: float) -> ClientConnection:
        """Open a connection, or raise `ConnectFailed`."""
        if "hang" in self.form and not self.accepts:
            await trio.sleep(timeout_s)
            raise ConnectFailed(f"{address}: timed out")
        if self.form and not self.accepts:
            raise ConnectFailed(f"{address}: connection refused")
        connection = await ClientConnection.open(address, timeout_s)
        self.streams.append(connection.stream)
        connection.stream = LinkedStream(self, connection.stream)
        return connection

    @property
    def carries_nothing(self) -> bool:
        """Whether open connections are silent."""
        return self.form in ("hang", "accept and hang")

    @property
    def accepts(self) -> bool:
        """Whether something on the way accepts connections."""
        return self.form.startswith("accept")

    @property
    def resets(self) -> bool:
        """Whether accepted connections are reset."""
        return self.form == "accept and reset"

    async def until_bytes_pass(self):
        """Wait while open connections carry nothing."""
        while self.carries_nothing:
            await self.changed.wait()

    def cut(self, form: str):
        """Cut the link, or restore it if `form` is empty."""
        self.form = form
        self.changed.set()
        self.changed = trio.Event()
        if "reset" in form:
            for stream in self.streams:
                stream.close()
            self.streams.clear()


@define
class FleetVm:
    """One gateway with its listeners and links.

    Attributes
    ----------
    address : str
        ``IP:PORT`` for callers.
    scope : trio.CancelScope
        Cancelled to end the VM without a stop.
    """

    gateway: Gateway
    address: str
    scope: trio.CancelScope
    store_proxy: StoreProxy
    link: TargetLink
    log: io.StringIO

    def lines(self, event: str) -> list[dict]:
        """Return the log lines with the given message."""
        self.gateway.log.flush()
        lines = [orjson.loads(line) for line in self.log.getvalue().splitlines()]
        return [line for line in lines if line["message"] == event]


def caller_headers(request_id: str, affinity="17", deadline_ms="1000"):
    """Return the headers of a caller's request."""
    return {
        "host": HOST,
        "request-id": request_id,
        "affinity-key": affinity,
        "deadline-ms": deadline_ms,
        "authorization": f"Bearer {KEY}",
    }


@define
class Fleet:
    """Gateways, and the store and targets that they share."""

    store: StoreStandin
    targets: list[TargetStandin]
    vms: list[FleetVm] = field(factory=list)

    @property
    def gateways(self) -> list[Gateway]:
        """The gateways of all VMs."""
        return [vm.gateway for vm in self.vms]

    @property
    def store_proxies(self) -> list[StoreProxy]:
        """Each VM's access to the store."""
        return [vm.store_proxy for vm in self.vms]

    def count_config_watches(self) -> int:
        """Return how many watches of the configuration the store has received."""
        return sum("/config?watch" in call for call in self.store.calls)

    async def until(self, condition):
        """Wait until a condition is true."""
        with trio.fail_after(10):
            while not condition():
                await trio.sleep(0.01)


async def listen(ip: str, port: int = 0):
    """Listen on a port, a free one by default; return the listeners and the port."""
    listeners = await trio.open_tcp_listeners(port, host=ip)
    return listeners, listeners[0].socket.getsockname()[1]


def make_fleet_settings(number: int, store: str, ports: list[int]) -> Settings:
    """Return the settings of one VM; the first one is alone in its region."""
    ip = f"127.0.0.{number + 2}"
    callers, control, datagram = ports
    return Settings(
        vm=f"edge-{number}",
        failure_domain="mil-a" if number == 0 else "ven-a",
        region="lombardia" if number == 0 else "veneto",
        ip=ip,
        region_of=REGION_OF,
        listen=Addresses(f"{ip}:{callers}", "", "", f"{ip}:{control}", ""),
        datagram_port=datagram,
        seeds=tuple(f"127.0.0.{n + 2}:1" for n in range(3)),
        store=store,
        bounds=BOUNDS,
    )


@contextlib.asynccontextmanager
async def running_fleet(count=3, targets=(), first_configuration=None):
    """Run gateways until all of them know each other, and yield them."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(StoreStandin(), list(targets) or [TargetStandin("i-0")])
        for number, target in enumerate(fleet.targets):
            await stack.enter_async_context(running_target(target))
            zone = "ven-a" if number % 2 else "mil-a"
            fleet.store.put("servers", target.instance, entry(target, zone=zone))
        fleet.store.put("config", "main", first_configuration or configuration())
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        ports = [0, 0, 0]
        for number in range(count):
            vm, ports = await _start_vm(fleet, number, ports, nursery, stack)
            fleet.vms.append(vm)
        await fleet.until(
            lambda: all(len(g.members.ready()) == count for g in fleet.gateways)
        )
        yield fleet


async def _start_vm(fleet: Fleet, number: int, ports: list[int], nursery, stack):
    """Start one VM; return it and the ports, which are the same on all VMs."""
    proxy, link, stream = StoreProxy(fleet.store), TargetLink(), io.StringIO()
    listeners, store_port = await listen("127.0.0.1")
    nursery.start_soon(serve_http, proxy.handle, listeners, Stopping())
    store_address = f"127.0.0.1:{store_port}"
    ip = f"127.0.0.{number + 2}"
    callers, caller_port = await listen(ip, ports[0])
    control, control_port = await listen(ip, ports[1])
    ports = [caller_port, control_port, ports[2] or control_port]
    settings = make_fleet_settings(number, store_address, ports)
    log = DecisionLog(settings.vm, settings.failure_domain, stream)
    stack.enter_context(log.writing())
    adapter = PlatformAdapter(
        PlatformWire(), PlatformDecoder(), ObjectStore(store_address)
    )
    gateway = Gateway(Context(settings, adapter, log, 1))
    gateway.connections.connect = link.connect
    scope = trio.CancelScope()
    nursery.start_soon(_run_vm, gateway, callers, control, scope)
    address = f"{ip}:{caller_port}"
    return FleetVm(gateway, address, scope, proxy, link, stream), ports


async def _run_vm(gateway: Gateway, callers, control, scope: trio.CancelScope):
    with scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.run)
            nursery.start_soon(
                serve_http, gateway.serving.serve, callers, Stopping(), gateway.limits
            )
            nursery.start_soon(serve_http, gateway.answer_peer, control, Stopping())
