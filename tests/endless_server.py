"""A server whose answers never end."""

import contextlib

import trio
from attrs import define

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that are sent first, and those that are repeated until the client closes.
BEFORE_THE_BODY = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: 0123456789\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"0123456789" * 10),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "no protocol": (b"", b"\x00\x01\x02\x03" * 10),
}
IN_THE_BODY = {
    "chunks": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"5\r\nbytes\r\n"),
    "chunk header": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5;", b"0123456789" * 10),
    "trailers": (b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"0\r\n", b"X-Filler: 0123\r\n"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789" * 10),
}
REPEATED_PER_WRITE = 200


@define
class EndlessServer:
    """Answers each request with bytes without end.

    Parameters
    ----------
    first, repeated : bytes
    pause_s : float
        Between two writes.

    Attributes
    ----------
    open_connections : int
    requests : int
        Connections on which a request arrived.
    """

    first: bytes
    repeated: bytes
    pause_s: float = 0.0
    open_connections: int = 0
    requests: int = 0
    address: str = ""

    async def serve_connection(self, stream):
        """Serve one connection until the client closes it."""
        self.open_connections += 1
        try:
            with contextlib.suppress(*BROKEN):
                if await stream.receive_some(65536):
                    self.requests += 1
                    await stream.send_all(self.first)
                    while True:
                        await stream.send_all(self.repeated * REPEATED_PER_WRITE)
                        await trio.sleep(self.pause_s)
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)


@contextlib.asynccontextmanager
async def running_endless(first: bytes, repeated: bytes, pause_s: float = 0.0):
    """Run an endless server on loopback and yield it."""
    server = EndlessServer(first, repeated, pause_s)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, server.serve_connection, listeners)
        yield server
        nursery.cancel_scope.cancel()
