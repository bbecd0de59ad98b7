"""HTTP/1.1 client: a persistent connection, and a function for single requests."""

import contextlib
import socket
from collections.abc import AsyncIterator

import h11
import trio

from .errors import ConnectFailed, ConnectionBroken, UnsendableRequest
from .messages import MAX_HEAD_BYTES, READ_BYTES, Headers, ResponseHead
from .outgoing import Outgoing
from .tcp import TcpStream, open_tcp_stream

SOCKET_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
# These values detect a dead connection after about 3 s. The kernel accepts only
# whole seconds, so the idle time and the interval can't be shorter.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Maximum number of 1xx responses before a response.
MAX_INTERIM_RESPONSES = 16
# Maximum size of a body that is collected in memory, if the caller sets no other.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Limits of what is read of a response only so that its connection can be reused.
MAX_DISCARDED_BYTES = 16 * 1024
DISCARD_TIMEOUT_S = 0.1


class ClientConnection:
    """An open connection to a server, used for one exchange at a time.

    Parameters
    ----------
    stream : TcpStream
    address : str
        ``IP:PORT`` of the server.

    Attributes
    ----------
    send_started : bool
        Whether any byte of the current request may have reached the server.
    idle_s : float
        How long the connection was idle before the current request; 0 for a new
        connection. Set by the connection pool that keeps it.
    outgoing : Outgoing
        Encoded bytes that wait for the next send.
    """

    def __init__(self, stream: TcpStream, address: str):
        self.stream = stream
        self.address = address
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.send_started = False
        self.idle_s = 0.0
        self.outgoing = Outgoing()
        self.method = "GET"

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "ClientConnection":
        """Connect to ``IP:PORT``, or raise `ConnectFailed`."""
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout_s):
                stream = await open_tcp_stream(host.strip("[]"), int(port))
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            # An address that is not valid raises ValueError or OverflowError.
            message = f"{address!r}: {str(error) or 'timed out'}"
            raise ConnectFailed(message) from error
        enable_keepalive(stream)
        return cls(stream, address)

    async def send_head(self, method: str, target: str, headers: Headers):
        """Begin a request.

        The head is buffered. It is sent with the first chunk of the body or
        with the end of the request.

        Raises
        ------
        UnsendableRequest
            If the request is not valid HTTP, for example without a Host header.
            Nothing was sent.
        """
        if self.h11.our_state is h11.DONE:
            self.h11.start_next_cycle()
        self.send_started = False
        self.method = method
        self._buffer_event(_build_request(method, target, headers))

    async def send_body(self, chunk: bytes):
        """Send a chunk of the body, together with all buffered bytes."""
        await self._send_event(h11.Data(data=chunk))

    def buffer_body(self, chunk: bytes):
        """Buffer a chunk of the body; it is sent with the next chunk or the end."""
        self._buffer_event(h11.Data(data=chunk))

    async def end_request(self):
        """End the request and send all buffered bytes."""
        await self._send_event(h11.EndOfMessage())

    async def response_head(self) -> ResponseHead:
        """Return the head of the final response, after any 1xx responses."""
        for _ in range(1 + MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(bytes(k), bytes(v)) for k, v in event.headers]
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(
                    f"{self.address} closed the connection before it answered"
                )
        raise ConnectionBroken(f"{self.address} sends interim responses only")

    async def response_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the response in chunks."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionBroken(
                    f"{self.address} closed the connection during its answer"
                )

    async def drain_response(self, max_bytes: int):
        """Read the rest of the response and discard it.

        Raises `ConnectionBroken` if it is longer than `max_bytes`.
        """
        size = 0
        async for chunk in self.response_body():
            size += len(chunk)
            if size > max_bytes:
                raise ConnectionBroken(f"{self.address}: answer is too long to skip")

    async def discard_response(self):
        """Discard the rest of a response that makes no difference.

        If it does not end soon, the connection is not reusable.
        """
        with (
            trio.move_on_after(DISCARD_TIMEOUT_S),
            contextlib.suppress(ConnectionBroken),
        ):
            await self.drain_response(MAX_DISCARDED_BYTES)

    def skip_response(self):
        """Discard the response just read and expect another one.

        A server may send a response twice, or a late response to an earlier
        request, before the response to the current request. Call this after the
        wrong response has been read completely. The next response on the
        connection then counts as the one to the current request.
        """
        buffered, _ = self.h11.trailing_data
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        headers = [(b"host", self.address.encode())]
        # The new parser needs the method to find the end of a response. This
        # request is not sent.
        self.h11.send(h11.Request(method=self.method, target="/", headers=headers))
        self.h11.send(h11.EndOfMessage())
        if buffered:
            self.h11.receive_data(buffered)

    @property
    def has_buffered_data(self) -> bool:
        """Whether received bytes have not been parsed yet."""
        return bool(self.h11.trailing_data[0])

    async def read_response(
        self, max_bytes: int = MAX_BODY_BYTES
    ) -> tuple[ResponseHead, bytes]:
        """Return the head and the whole body of the response.

        Raises `ConnectionBroken` if the body has more than `max_bytes` bytes.
        """
        head = await self.response_head()
        body = bytearray()
        async for part in self.response_body():
            body += part
            if len(body) > max_bytes:
                raise ConnectionBroken(
                    f"{self.address}: the body has more than {max_bytes} bytes"
                )
        return head, bytes(body)

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        max_bytes: int = MAX_BODY_BYTES,
    ) -> tuple[ResponseHead, bytes]:
        """Send a whole request and return the whole response."""
        all_headers = [(b"host", self.address.encode()), *headers]
        if body:
            all_headers.append((b"content-length", str(len(body)).encode()))
        await self.send_head(method, target, all_headers)
        if body:
            await self.send_body(body)
        await self.end_request()
        return await self.read_response(max_bytes)

    @property
    def reusable(self) -> bool:
        """Whether the HTTP state allows another request on this connection."""
        states = {self.h11.our_state, self.h11.their_state}
        return states in ({h11.DONE}, {h11.IDLE})

    @property
    def stale(self) -> bool:
        """Whether the server closed the connection, or sent data, while idle.

        A request on a closed connection fails only after its bytes were sent, and
        the client can't know whether the server executed it.
        """
        # A healthy idle connection has nothing to read. Unsolicited bytes would be
        # parsed as the response to the next request, perhaps of another caller.
        return self.has_buffered_data or self.stream.is_readable

    def close(self):
        """Close immediately; the server takes a running request as cancelled."""
        self.stream.close()

    async def aclose(self):
        """Close immediately, in code that awaits the end of what it opened."""
        self.close()

    def _buffer_event(self, event):
        try:
            self.outgoing.add(self.h11.send(event))
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f"{self.address}: {error}") from error

    async def _send_event(self, event):
        self._buffer_event(event)
        if self.outgoing:
            self.send_started = True
            try:
                await self.outgoing.send(self.stream)
            except SOCKET_ERRORS as error:
                raise ConnectionBroken(f"{self.address}: {error}") from error

    async def _next_event(self):
        closed = False
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                problem = (
                    "connection closed before the answer ended"
                    if closed
                    else str(error)
                )
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
    # h11 validates a request when the event is created, not only on sending.
    try:
        return h11.Request(method=method, target=target, headers=headers)
    except h11.LocalProtocolError as error:
        raise UnsendableRequest(f"the request cannot be sent on: {error}") from error


def enable_keepalive(stream: TcpStream):
    """Enable TCP keepalive, so that the kernel closes connections to dead peers.

    After a network partition or the loss of a machine, the peer sends nothing.
    Without keepalive probes a reader would wait for its whole timeout, which for
    a long-polling watch is many seconds.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


@contextlib.asynccontextmanager
async def connected(address: str, timeout_s: float):
    """Open a connection and close it at the end of the block."""
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
    max_bytes: int = MAX_BODY_BYTES,
) -> tuple[ResponseHead, bytes]:
    """Send one request on a new connection and return the response.

    Raises
    ------
    HttpError
        If the request fails, takes longer than `timeout_s`, or the body of the response
        has more than `max_bytes` bytes.
    """
    try:
        with trio.fail_after(timeout_s):
            async with connected(address, timeout_s) as connection:
                return await connection.request(
                    method, target, headers, body, max_bytes
                )
    except trio.TooSlowError as error:
        raise ConnectionBroken(
            f"{address}: no answer within {timeout_s:g} s"
        ) from error
