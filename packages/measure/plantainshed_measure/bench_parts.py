"""Servers for the relay benchmark: a target, a minimal relay and an entry daemon."""

import h11
import trio

from plantainshed_coordination.versioned import Change, DocumentStore
from plantainshed_entry.daemon import run_daemon
from plantainshed_entry.settings import Settings
from plantainshed_http.client import ClientConnection, fetch
from plantainshed_http.errors import HttpError
from plantainshed_http.server import Stopping, serve_http
from plantainshed_model.codec import to_segments
from plantainshed_model.document import (
    Document,
    FailureDomain,
    Pool,
    Region,
    Target,
    Workspace,
)
from plantainshed_model.keys import issue_key
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer

LOOPBACK = "127.0.0.1"
RESPONSE_BODY = b"x" * 512
RATE = 1_000_000.0


async def _open_listeners():
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    return listeners, f"{LOOPBACK}:{listeners[0].socket.getsockname()[1]}"


async def serve_target(task_status):
    """Serve a target that responds immediately."""

    async def handle(exchange):
        await exchange.reply(200, [], RESPONSE_BODY)

    listeners, address = await _open_listeners()
    task_status.started(address)
    await serve_http(handle, listeners, Stopping())


async def bare_relay(target: str, task_status):
    """Serve a minimal relay, built from h11 and trio."""

    async def relay(stream):
        caller = h11.Connection(h11.SERVER)
        upstream = await ClientConnection.open(target, 2)
        while True:
            request = await _next_event(caller, stream)
            if not isinstance(request, h11.Request):
                return
            while not isinstance(await _next_event(caller, stream), h11.EndOfMessage):
                pass
            await upstream.send_head(
                request.method.decode(), request.target.decode(), request.headers
            )
            await upstream.end_request()
            head, body = await upstream.read_response()
            response = h11.Response(status_code=head.status, headers=head.headers)
            await stream.send_all(caller.send(response))
            await stream.send_all(caller.send(h11.Data(data=body)))
            end = caller.send(h11.EndOfMessage())
            if end:
                await stream.send_all(end)
            caller.start_next_cycle()

    listeners, address = await _open_listeners()
    task_status.started(address)
    await trio.serve_listeners(relay, listeners)


async def _next_event(connection: h11.Connection, stream):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(65536))


async def entry_relay(target: str, task_status):
    """Run an entry daemon with one target; report its address and an API key."""
    key = issue_key("w")
    document = Document(
        regions=(Region("r"),),
        failure_domains=(FailureDomain("d", "r"),),
        workspaces=(Workspace("w", RATE, RATE),),
        keys=(key.entry,),
        pools=(Pool("p", "/p", slots=64, connections=64),),
        targets=(Target("t", "p", "d", target),),
    )
    memory = MemoryPlatform()
    change = Change(0, to_segments(document), "c", "bench", "", "")
    await DocumentStore(memory).commit(change)
    async with trio.open_nursery() as nursery:
        listeners, platform = await _open_listeners()
        nursery.start_soon(PlatformServer(memory).serve, listeners, Stopping())
        listen, peer, control = [await _free_address() for _ in range(3)]
        settings = Settings(
            "d-1", "d", listen, peer, control, platform, log_level="error"
        )
        nursery.start_soon(run_daemon, settings, trio.Event(), trio.Event())
        await _wait_until_served(listen, key.text)
        task_status.started((listen, key.text.encode()))


async def _free_address() -> str:
    listeners, address = await _open_listeners()
    await listeners[0].aclose()
    return address


async def _wait_until_served(address: str, key: str):
    headers = [(b"authorization", b"Bearer " + key.encode())]
    while True:
        await trio.sleep(0.1)
        try:
            head, _ = await fetch(address, "GET", "/p/x", headers)
        except HttpError:
            continue
        if head.status == 200:
            return
