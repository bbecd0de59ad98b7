"""Runs a gateway on loopback with stand-ins of the platform's store and targets."""

import contextlib
import io
import itertools

import orjson
import trio
from attrs import define

from plantainshed_gateway.context import Context
from plantainshed_gateway.gateway import Gateway
from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.ports import PlatformAdapter
from plantainshed_gateway.settings import Addresses, Settings
from plantainshed_http.client import connected
from plantainshed_http.server import Stopping, serve_http
from plantainshed_platform.decoding import PlatformDecoder
from plantainshed_platform.store import ObjectStore
from plantainshed_platform.wire import PlatformWire
from tests.gateway.gateway_support import BOUNDS

from .store_standin import StoreStandin, running_store
from .target_standin import TargetStandin, running_target

HOST = "calendar.example"
KEY = "key-of-comune"
_REQUEST_NUMBERS = itertools.count()


def route(name="read", prefix="/read/", service="calendario", **overrides) -> dict:
    """Return a route in the operator's format."""
    return {
        "name": name,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout": "1200ms",
        "targetLatency": "300ms",
        "priority": 2,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": True,
        "homeRegions": [],
        **overrides,
    }


def configuration(version=7, paths=None, **overrides) -> dict:
    """Return a configuration in the operator's format."""
    service = {"healthPath": "/health", "maxConns": 390, "protocol": "h1"}
    service |= {"tls": False, "warmup": "3s", "warmupPerS": 15.0}
    return {
        "version": version,
        "baseVersion": version - 1,
        "services": [{"name": "calendario", **service}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "tenants": [
            {"name": "comune", "apiKeys": [KEY], "priority": 0, "ratePerS": 500}
        ],
        "hosts": [
            {
                "host": HOST,
                "paths": paths
                or [
                    route(),
                    route("book", "/book/", kind="non_idempotent"),
                    route("open", "/open/", public=True),
                ],
            }
        ],
        **overrides,
    }


def entry(target: TargetStandin, **overrides) -> dict:
    """Return the entry with which a target registers itself."""
    return {
        "service": "calendario",
        "addr": target.address,
        "zone": "mil-a",
        "version": "v1",
        "slots": target.slots,
        "state": "ready",
        "warmupLeft": "0ms",
        "seq": 4,
        "born": 1796000000000,
        **overrides,
    }


@define
class LoopbackSystem:
    """A running gateway on loopback with its store and targets."""

    store: StoreStandin
    targets: list[TargetStandin]
    gateway: Gateway
    address: str
    log: io.StringIO

    async def ask(self, path="/read/1", method="GET", key=KEY, body=b"", **headers):
        """Send one request; return status, headers and body."""
        number = next(_REQUEST_NUMBERS)
        sent = {
            "host": HOST,
            "request-id": f"request-{number}",
            "affinity-key": "17",
            "deadline-ms": "2500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key:
            sent["authorization"] = f"Bearer {key}"
        return await send(self.address, method, path, sent, body)

    async def connect(self):
        """Open a TCP connection to the gateway."""
        host, _, port = self.address.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def until(self, condition):
        """Wait until a condition is true."""
        with trio.fail_after(10):
            while not condition():
                await trio.sleep(0.01)

    def lines(self, event: str) -> list[dict]:
        """Return the log lines with the given message."""
        self.gateway.log.flush()
        lines = [orjson.loads(line) for line in self.log.getvalue().splitlines()]
        return [line for line in lines if line["message"] == event]


async def send(address, method, path, headers, body=b""):
    """Send one request with the given headers; add `Content-Length` for a body."""
    async with connected(address, 5) as connection:
        sent = [(k.encode(), v.encode()) for k, v in headers.items()]
        if body:
            sent.append((b"content-length", str(len(body)).encode()))
        await connection.send_head(method, path, sent)
        if body:
            connection.buffer_body(body)
        await connection.end_request()
        head, answer = await connection.read_response()
    return head.status, {k.decode(): v.decode() for k, v in head.headers}, answer


def make_settings(store: str, vm="edge-mil-a-1", port=0, callers="") -> Settings:
    """Return the settings of a VM on loopback."""
    return Settings(
        vm=vm,
        failure_domain="mil-a",
        region="lombardia",
        ip="127.0.0.1",
        region_of={"mil-a": "lombardia", "ven-a": "veneto"},
        listen=Addresses(callers, "", "", "", ""),
        datagram_port=port,
        seeds=(),
        store=store,
        bounds=BOUNDS,
    )


@contextlib.asynccontextmanager
async def running_system(target_count=2, first_configuration=None, **target_options):
    """Run a gateway, a store and targets; yield them once the gateway is ready."""
    store = StoreStandin()
    targets = [TargetStandin(f"i-{n}", **target_options) for n in range(target_count)]
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(running_store(store))
        for target in targets:
            await stack.enter_async_context(running_target(target))
            store.put("servers", target.instance, entry(target))
        store.put("config", "main", first_configuration or configuration())
        system = await stack.enter_async_context(
            running_gateway(store, targets, store_address)
        )
        yield system


@contextlib.asynccontextmanager
async def running_gateway(store, targets, store_address, wait=True):
    """Run one gateway that uses the given store."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    settings = make_settings(store_address, callers=address)
    stream = io.StringIO()
    log = DecisionLog(settings.vm, settings.failure_domain, stream)
    adapter = PlatformAdapter(
        PlatformWire(), PlatformDecoder(), ObjectStore(store_address)
    )
    gateway = Gateway(Context(settings, adapter, log, 1))
    with log.writing():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.run)
            nursery.start_soon(
                serve_http, gateway.serving.serve, listeners, Stopping(), gateway.limits
            )
            system = LoopbackSystem(store, targets, gateway, address, stream)
            if wait:
                await system.until(lambda: gateway.state is VmState.READY)
            yield system
            nursery.cancel_scope.cancel()
