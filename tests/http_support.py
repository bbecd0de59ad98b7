"""Helpers for HTTP tests on real sockets."""

import contextlib
import socket
import struct

import trio

from plantainshed_http.server import Stopping, serve_http


@contextlib.asynccontextmanager
async def serving(handler, limits=None):
    """Serve a handler on the loopback interface; yield address and `Stopping`."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    stopping = Stopping()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, handler, listeners, stopping, limits)
        yield f"127.0.0.1:{port}", stopping
        nursery.cancel_scope.cancel()


def reset_on_close(stream):
    """Make the connection send a reset (RST) when it is closed."""
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def raw_exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return all bytes received until the peer closes, or 5 s."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(data)
        received = b""
        with trio.move_on_after(5):
            while chunk := await stream.receive_some(65536):
                received += chunk
        return received
