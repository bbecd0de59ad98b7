"""Bulk transfers between VMs and operators' commands, over gRPC.

Calls are rare: a snapshot for a starting VM, the segments of a change, or a
command from the console. A call costs about a millisecond of CPU time, so
messages that are sent every second do not use gRPC. gRPC runs its own threads,
which exchange calls with the trio event loop through trio's thread functions.
"""

import contextlib
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor

import grpc
import trio

from .errors import PeerError, PeerRefused, PeerTimeout
from .peer_pb2 import ControlReply, ControlRequest, FetchReply, FetchRequest
from .peer_pb2_grpc import (
    ControlServicer,
    ControlStub,
    add_ControlServicer_to_server,
)

THREADS = 4
CALL_TIMEOUT_S = 5.0
STOP_GRACE_S = 1.0
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
]

ValueSource = Callable[[str], bytes | None]
CommandHandler = Callable[[ControlRequest], Awaitable[ControlReply]]


class _Servicer(ControlServicer):
    def __init__(self, value: ValueSource, command: CommandHandler):
        self.value = value
        self.command = command
        self.token = trio.lowlevel.current_trio_token()

    def Fetch(self, request, context):  # noqa: N802
        value = trio.from_thread.run_sync(
            self.value, request.name, trio_token=self.token
        )
        return FetchReply(found=value is not None, value=value or b"")

    def Command(self, request, context):  # noqa: N802
        return trio.from_thread.run(self.command, request, trio_token=self.token)


@contextlib.asynccontextmanager
async def serve_control(address: str, value: ValueSource, command: CommandHandler):
    """Serve fetches and commands while the context is active.

    Yields
    ------
    int
        The bound port.
    """
    server = grpc.server(ThreadPoolExecutor(THREADS), options=OPTIONS)
    add_ControlServicer_to_server(_Servicer(value, command), server)
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise PeerError(f"cannot bind the control port to {address}") from error
    server.start()
    try:
        yield port
    finally:
        with trio.CancelScope(shield=True):
            stopped = server.stop(STOP_GRACE_S)
            await trio.to_thread.run_sync(stopped.wait)


class ControlClient:
    """Client of other VMs' control ports. Implements `BulkSource`."""

    def __init__(self):
        self._channels: dict[str, grpc.Channel] = {}

    async def fetch(self, address: str, name: str) -> bytes:
        """Fetch a value, or raise `PeerError`."""
        reply = await self._call(address, "Fetch", FetchRequest(name=name))
        if not reply.found:
            raise PeerRefused(f"{address} does not have {name}")
        return reply.value

    async def command(
        self, address: str, command: str, arguments: bytes, credential: str
    ) -> bytes:
        """Run an operator's command on a VM and return its result."""
        request = ControlRequest(
            command=command, arguments=arguments, credential=credential
        )
        reply = await self._call(address, "Command", request)
        if not reply.accepted:
            raise PeerRefused(f"{address}: {reply.message}")
        return reply.value

    async def _call(self, address: str, method: str, request):
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = grpc.insecure_channel(address, OPTIONS)
        call = getattr(ControlStub(channel), method)

        def run():
            return call(request, timeout=CALL_TIMEOUT_S)

        try:
            return await trio.to_thread.run_sync(run, abandon_on_cancel=True)
        except grpc.RpcError as error:
            raise PeerTimeout(f"{address}: {error.code().name}") from error

    def close(self):
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
