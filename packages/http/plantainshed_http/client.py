"""A client's connection to an HTTP server, used for one exchange after another."""

import contextlib
import select
import socket
from collections.abc import AsyncIterator

import h11
import trio

from .errors import ConnectFailed, ConnectionBroken, UnsendableRequest
from .messages import MAX_HEAD_BYTES, READ_BYTES, Headers, ResponseHead

SOCKET_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
# A dead connection is noticed after about 3 s, the kernel's finest steps.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class ClientConnection:
    """An open connection to a server.

    Parameters
    ----------
    stream : trio.SocketStream
    address : str
        ``IP:PORT`` of the server.

    Attributes
    ----------
    send_started : bool
        Whether any byte of the present request may have reached the server.
    idle_s : float
        How long it was idle before the present request; 0 if it is new.
    """

    def __init__(self, stream, address: str):
        self.stream = stream
        self.address = address
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.send_started = False
        self.idle_s = 0.0
        self.unsent = b""
        self.method = "GET"

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "ClientConnection":
        """Connect, or raise `ConnectFailed`."""
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout_s):
                stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
        except (OSError, trio.TooSlowError) as error:
            raise ConnectFailed(f"{address}: {error or 'timed out'}") from error
        enable_keepalive(stream)
        return cls(stream, address)

    async def send_head(self, method: str, target: str, headers: Headers):
        """Begin a request. Its head leaves with what follows.

        Raises
        ------
        UnsendableRequest
            If HTTP does not allow it, as one without a Host. Nothing was sent.
        """
        if self.h11.our_state is h11.DONE:
            self.h11.start_next_cycle()
        self.send_started = False
        self.method = method
        self._buffer_event(_build_request(method, target, headers))

    async def send_body(self, chunk: bytes):
        """Send a piece of the body."""
        await self._send_event(h11.Data(data=chunk))

    def buffer_body(self, chunk: bytes):
        """Add a piece of the body that leaves with what follows."""
        self._buffer_event(h11.Data(data=chunk))

    async def end_request(self):
        """End the request."""
        await self._send_event(h11.EndOfMessage())

    async def response_head(self) -> ResponseHead:
        """Return the head of the final response."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(bytes(k), bytes(v)) for k, v in event.headers]
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(f"{self.address} closed before it answered")

    async def response_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the response, a piece at a time."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionBroken(f"{self.address} closed in the middle")

    def skip_response(self):
        """Expect another response to the same request.

        A server may send an answer twice, or late, where the next one is due.
        Call it after that answer has been read to its end; what follows on the
        connection is read as the answer that is still missing.
        """
        buffered, _ = self.h11.trailing_data
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        headers = [(b"host", self.address.encode())]
        # Only the method matters for where a response ends; nothing is sent.
        self.h11.send(h11.Request(method=self.method, target="/", headers=headers))
        self.h11.send(h11.EndOfMessage())
        if buffered:
            self.h11.receive_data(buffered)

    @property
    def has_buffered_data(self) -> bool:
        """Whether more of the response has already arrived."""
        return bool(self.h11.trailing_data[0])

    async def read_response(self) -> tuple[ResponseHead, bytes]:
        """Return a whole response."""
        head = await self.response_head()
        parts = [part async for part in self.response_body()]
        return head, b"".join(parts)

    async def request(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> tuple[ResponseHead, bytes]:
        """Send a whole request and return the whole response."""
        all_headers = [(b"host", self.address.encode()), *headers]
        if body:
            all_headers.append((b"content-length", str(len(body)).encode()))
        await self.send_head(method, target, all_headers)
        if body:
            await self.send_body(body)
        await self.end_request()
        return await self.read_response()

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent."""
        states = {self.h11.our_state, self.h11.their_state}
        return states in ({h11.DONE}, {h11.IDLE})

    @property
    def stale(self) -> bool:
        """Whether the server has closed, or sent something, while idle.

        Sending on such a connection would fail after the bytes have left, and
        nobody could tell whether the request had run.
        """
        # A connection in order has nothing to read while idle. Bytes that
        # nobody asked for would cross into the next caller's answer.
        return self.h11.trailing_data[0] != b"" or is_readable(self.stream.socket)

    async def aclose(self):
        """Close at once; the server sees its work as cancelled."""
        await trio.aclose_forcefully(self.stream)

    def _buffer_event(self, event):
        try:
            self.unsent += self.h11.send(event) or b""
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f"{self.address}: {error}") from error

    async def _send_event(self, event):
        self._buffer_event(event)
        data, self.unsent = self.unsent, b""
        if data:
            self.send_started = True
            try:
                await self.stream.send_all(data)
            except SOCKET_ERRORS as error:
                raise ConnectionBroken(f"{self.address}: {error}") from error

    async def _next_event(self):
        closed = False
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                problem = "closed before its answer ended" if closed else str(error)
                raise ConnectionBroken(f"{self.address}: {problem}") from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except SOCKET_ERRORS as error:
                raise ConnectionBroken(f"{self.address}: {error}") from error
            closed = data == b""
            self.h11.receive_data(data)


def _build_request(method: str, target: str, headers: Headers) -> h11.Request:
    # The event checks itself when it is made, not only when it is sent.
    try:
        return h11.Request(method=method, target=target, headers=headers)
    except h11.LocalProtocolError as error:
        raise UnsendableRequest(f"the request cannot be sent on: {error}") from error


def enable_keepalive(stream: trio.SocketStream):
    """Let the kernel end a connection whose other side has gone silent.

    A partition or a lost machine sends nothing; without probes a reader would
    wait for as long as its own time-out, and a waiting watch for many seconds.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def is_readable(sock) -> bool:
    """Tell, without waiting, whether a socket has bytes, an end or an error."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


@contextlib.asynccontextmanager
async def connected(address: str, timeout_s: float):
    """Open a connection for the length of a block."""
    connection = await ClientConnection.open(address, timeout_s)
    try:
        yield connection
    finally:
        await connection.aclose()


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> tuple[ResponseHead, bytes]:
    """Send one request on a connection of its own.

    Raises
    ------
    HttpError
        Also when the time is over.
    """
    try:
        with trio.fail_after(timeout_s):
            async with connected(address, timeout_s) as connection:
                return await connection.request(method, target, headers, body)
    except trio.TooSlowError as error:
        raise ConnectionBroken(f"{address}: no answer in {timeout_s:g} s") from error
