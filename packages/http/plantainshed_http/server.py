"""An HTTP/1.1 server that runs one task per connection.

`serve_http` accepts connections until its `Stopping` is set. After that, open
connections finish their current exchange, and responses that begin from then on
carry ``Connection: close``.

Requests that a caller pipelines are handled one after the other. The next one is
parsed only after the response to the current one, and the socket is read only if the
parser needs more data, so at most `MAX_HEAD_BYTES` and one read of `READ_BYTES` are
buffered for a connection. The rest stays in the kernel's buffers, whose size limits
what the caller can send. Requests behind a response with ``Connection: close`` are
discarded unread.
"""

import contextlib
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import h11
import trio
from attrs import define, field

from .disconnects import DisconnectWatcher
from .errors import BadMessage, CallerDisconnected
from .messages import (
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    LINGER_BYTES,
    LINGER_TIMEOUT_S,
    MAX_HEAD_BYTES,
    READ_BYTES,
    Headers,
    RequestHead,
)
from .outgoing import Outgoing
from .tcp import TcpStream

Handler = Callable[["Exchange"], Awaitable[None]]
ErrorReporter = Callable[[Exception], None]
STOP_GRACE_S = 0.5
# Pause after the kernel refused to accept a connection, for example because this
# process has no file descriptor left.
ACCEPT_ERROR_PAUSE_S = 0.1
STATUSES_WITHOUT_BODY = frozenset({204, 304})
SOCKET_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


@define
class ConnectionLimits:
    """Timeouts for connections of callers.

    Changes also apply to connections that are already open.

    Parameters
    ----------
    head_timeout_s : float
        Longest time between the first and the last byte of a request head.
    idle_timeout_s : float
        Longest pause between two exchanges, between two chunks of a body, and while
        the caller reads nothing of a response.
    """

    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@define
class Stopping:
    """Shutdown state of a server, shared with its connections.

    Attributes
    ----------
    event : trio.Event
        Set when the server stops accepting connections.
    idle_scopes : set of trio.CancelScope
        Scopes of the connections that wait for their next request.
    sends_connection_close : bool
        Whether responses carry ``Connection: close`` before `event` is set.
        Callers then reconnect elsewhere while the server still accepts
        connections.
    """

    event: trio.Event = field(factory=trio.Event)
    idle_scopes: set[trio.CancelScope] = field(factory=set)
    sends_connection_close: bool = False

    @property
    def is_set(self) -> bool:
        """Whether the server is stopping."""
        return self.event.is_set()

    def set(self):
        """Start the shutdown.

        Running exchanges finish. Idle connections are closed unless another
        request arrives within `STOP_GRACE_S`.
        """
        self.event.set()
        latest_deadline = trio.current_time() + STOP_GRACE_S
        for scope in list(self.idle_scopes):
            scope.deadline = min(scope.deadline, latest_deadline)


def log_error(error: Exception):
    """Write an unexpected exception and its traceback to the standard log."""
    logging.getLogger(__name__).error("internal error", exc_info=error)


async def serve_http(
    handler: Handler,
    listeners: list[trio.SocketListener],
    stopping: Stopping,
    limits: ConnectionLimits | None = None,
    report: ErrorReporter = log_error,
):
    """Serve connections until `stopping` is set and all exchanges have ended.

    Parameters
    ----------
    handler : callable
        Responds to one exchange.
    listeners : list of trio.SocketListener
    stopping : Stopping
    limits : ConnectionLimits, optional
    report : callable
        Called with each unexpected exception that ends an exchange.
    """
    limits = limits or ConnectionLimits()
    watcher = DisconnectWatcher()

    async def serve(stream, caller):
        connection = _Connection(stream, caller, handler, stopping, limits, watcher)
        await connection.run(report)

    async with trio.open_nursery() as background:
        background.start_soon(watcher.run)
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                for listener in listeners:
                    accepting.start_soon(
                        _accept, listener, serve, connections, stopping
                    )
                await stopping.event.wait()
                accepting.cancel_scope.cancel()
                for listener in listeners:
                    # Closing the listener resets the connections that wait in the
                    # kernel's queue, although their callers may have sent requests.
                    # Nothing may be awaited between the two, so that no other
                    # connections arrive in between.
                    with contextlib.suppress(OSError):
                        for stream, caller in _accept_waiting(listener.socket):
                            connections.start_soon(serve, stream, caller)
                    listener.socket.close()
        background.cancel_scope.cancel()


async def _accept(listener, serve, connections, stopping):
    with contextlib.suppress(trio.ClosedResourceError):
        while not stopping.is_set:
            await trio.lowlevel.wait_readable(listener.socket)
            try:
                for stream, caller in _accept_waiting(listener.socket):
                    connections.start_soon(serve, stream, caller)
            except OSError as error:
                logging.getLogger(__name__).error("cannot accept", exc_info=error)
                await trio.sleep(ACCEPT_ERROR_PAUSE_S)


def _accept_waiting(
    listening: trio.socket.SocketType,
) -> Iterator[tuple[TcpStream, str]]:
    """Yield the connections in the kernel's queue and the callers' IP addresses."""
    descriptor = listening.fileno()
    if descriptor < 0:
        # It was closed between the wake-up of this task and its turn.
        return
    raw_socket = socket.socket(fileno=descriptor)
    try:
        while True:
            try:
                connection, address = raw_socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            yield TcpStream(connection), address[0]
    finally:
        raw_socket.detach()


class Exchange:
    """One request and its response, as a handler sees them.

    Parameters
    ----------
    request : RequestHead
    caller : str
        IP address of the caller.

    Attributes
    ----------
    started : bool
        Whether the handler has begun the response.
    caller_disconnected : bool
        Whether the caller was seen to disconnect; set only within
        `detect_caller_disconnect` and `cancel_on_caller_disconnect`.
    """

    def __init__(self, connection, request: RequestHead, caller: str):
        self._connection = connection
        self.request = request
        self.caller = caller
        self.started = False
        self.caller_disconnected = False
        self._on_disconnect: Callable[[], None] = lambda: None

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request's body in chunks."""
        while True:
            chunk = await self._connection.next_body_chunk()
            if chunk is None:
                return
            yield chunk

    @property
    def declared_length(self) -> int | None:
        """Length of the request's body by its head; None if the head names none.

        0 if the request has no body.
        """
        if self.request.header(b"transfer-encoding") is not None:
            return None
        return int(self.request.header(b"content-length") or 0)

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BadMessage
            With status 413 if the body is longer than `limit` bytes.
        """
        parts = []
        size = 0
        async for part in self.body():
            size += len(part)
            if size > limit:
                raise BadMessage(413, f"the body exceeds the limit of {limit} bytes")
            parts.append(part)
        return b"".join(parts)

    async def reply(self, status: int, headers: Headers, body: bytes = b""):
        """Send a whole response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        if body and self.request.method != "HEAD":
            self._connection.buffer_body(body)
        await self.finish()

    async def start(self, status: int, headers: Headers):
        """Begin a response.

        The head is buffered. It is sent with the first chunk of the body, with
        the end of the response, or by `flush`.
        """
        self.started = True
        self._connection.buffer_response_head(status, headers)

    async def flush(self):
        """Send all buffered bytes, for responses whose body follows later."""
        await self._connection.flush()

    async def send(self, chunk: bytes):
        """Send a chunk of the response body."""
        await self._connection.send_event(h11.Data(data=chunk))

    async def finish(self):
        """End the response."""
        await self._connection.send_event(h11.EndOfMessage())

    @contextlib.contextmanager
    def cancel_on_caller_disconnect(self):
        """Cancel the block if the caller closes its side of the connection.

        Without it, a request keeps running at its target and occupies a slot
        there, although the caller has disconnected. Use it only after the body
        has been read: the next bytes are then either the end of the stream or
        the start of another request. A caller that has pipelined more than fits into
        the kernel's receive buffer cannot be seen to disconnect.
        """
        with trio.CancelScope() as scope:
            self._on_disconnect = scope.cancel
            with self.detect_caller_disconnect():
                yield scope

    @contextlib.contextmanager
    def detect_caller_disconnect(self):
        """Set `caller_disconnected` if the caller closes its side in the block.

        Unlike `cancel_on_caller_disconnect`, this does not cancel the block.
        """
        watcher, stream = self._connection.watcher, self._connection.stream
        watcher.watch(stream, self._note_disconnect)
        try:
            yield
        finally:
            watcher.unwatch(stream)

    def _note_disconnect(self):
        self.caller_disconnected = True
        self._on_disconnect()


class _Connection:
    def __init__(self, stream, caller, handler, stopping, limits, watcher):
        self.stream = stream
        self.caller = caller
        self.handler = handler
        self.stopping = stopping
        self.limits = limits
        self.watcher = watcher
        self.method = b""
        self.unsent = Outgoing()
        self.resets_on_close = False
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def run(self, report):
        try:
            await self._serve_exchanges(report)
        except (CallerDisconnected, *SOCKET_ERRORS):
            pass
        except Exception as error:
            # A bug in a handler or in this module must end only this connection,
            # not the process with all its other connections.
            report(error)
        finally:
            self.stream.close()

    async def _serve_exchanges(self, report):
        while True:
            try:
                request = await self._next_request()
            except BadMessage as problem:
                await self._send_error(problem)
                return
            if request is None:
                return
            exchange = Exchange(self, request, self.caller)
            await self._serve_one(exchange, report)
            if exchange.caller_disconnected:
                # Nobody receives the responses to requests that it has pipelined.
                await self._linger()
                return
            # Close only after a response with "Connection: close". Otherwise the
            # caller's next request may already be in transit and would be lost.
            if self.h11.our_state is not h11.DONE:
                await self._linger()
                return
            if self.h11.their_state is not h11.DONE:
                await self._linger()
                return
            self.h11.start_next_cycle()

    async def _serve_one(self, exchange, report):
        try:
            await self.handler(exchange)
        except BadMessage as problem:
            if exchange.started:
                raise CallerDisconnected(problem.reason) from problem
            await self._send_error(problem)
        except (CallerDisconnected, *SOCKET_ERRORS):
            raise
        except Exception as error:
            report(error)
            if exchange.started:
                raise CallerDisconnected("the response cannot be completed") from error
            await exchange.reply(502, [], b"internal error\n")

    async def _next_request(self) -> RequestHead | None:
        event = self._parse()
        if event is not h11.NEED_DATA:
            # A caller that pipelines requests must not keep other tasks waiting.
            await trio.lowlevel.checkpoint()
        elif not self.h11.trailing_data[0]:
            if not await self._wait_while_idle():
                return None
            event = self._parse()
        if event is h11.NEED_DATA:
            event = await self._receive_rest_of_head()
        if not isinstance(event, h11.Request):
            return None
        self.method = bytes(event.method)
        request = _validate_request(event)
        if not _declares_body(request):
            # Consume the end of the empty body here. If a handler responds
            # without reading the body, the unread end would otherwise make the
            # connection close.
            self._parse()
        return request

    async def _receive_rest_of_head(self):
        event = h11.NEED_DATA
        with trio.move_on_after(self.limits.head_timeout_s):
            while event is h11.NEED_DATA:
                await self._receive()
                event = self._parse()
            return event
        raise BadMessage(408, "the head of the request took too long to arrive")

    async def _wait_while_idle(self) -> bool:
        """Wait for the first bytes of a request; return False on a timeout."""
        timeout_s = STOP_GRACE_S if self.stopping.is_set else self.limits.idle_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            self.stopping.idle_scopes.add(scope)
            try:
                await self._receive()
                return True
            finally:
                self.stopping.idle_scopes.discard(scope)
        return False

    async def next_body_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None at its end."""
        if self.h11.they_are_waiting_for_100_continue:
            await self.send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        while self.h11.their_state is h11.SEND_BODY:
            event = self._parse()
            if event is h11.NEED_DATA:
                with trio.move_on_after(self.limits.idle_timeout_s) as scope:
                    await self._receive()
                if scope.cancelled_caught:
                    raise BadMessage(408, "the body took too long to arrive")
            elif isinstance(event, h11.Data):
                return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) or event is h11.PAUSED:
                return None
            else:
                raise CallerDisconnected("the caller disconnected during the body")
        return None

    def buffer_response_head(self, status: int, headers: Headers):
        will_close = self.stopping.is_set or self.stopping.sends_connection_close
        if will_close or self.h11.their_state is not h11.DONE:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        self.unsent.add(self.h11.send(response))
        if self._ends_with_connection(response):
            # If the response breaks off, only a reset shows that it is incomplete.
            self.stream.reset_on_close(True)
            self.resets_on_close = True

    def _ends_with_connection(self, response: h11.Response) -> bool:
        """Return whether only the end of the connection tells the body's length."""
        if self.h11.their_http_version != b"1.0" or self.method == b"HEAD":
            return False
        is_framed = any(name == b"content-length" for name, _ in response.headers)
        return not is_framed and response.status_code not in STATUSES_WITHOUT_BODY

    def buffer_body(self, chunk: bytes):
        self.unsent.add(self.h11.send(h11.Data(data=chunk)))

    async def send_event(self, event):
        self.unsent.add(self.h11.send(event))
        await self.flush()
        if self.resets_on_close and isinstance(event, h11.EndOfMessage):
            self.stream.reset_on_close(False)
            self.resets_on_close = False

    async def flush(self):
        if self.unsent:
            self.stream.write_timeout_s = self.limits.idle_timeout_s
            await self.unsent.send(self.stream)

    def _parse(self):
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as error:
            raise BadMessage(error.error_status_hint, str(error)) from error

    async def _receive(self):
        data = await self.stream.receive_some(READ_BYTES)
        self.h11.receive_data(data)

    async def _send_error(self, problem: BadMessage):
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = (problem.reason + "\n").encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        await self.send_event(h11.Response(status_code=problem.status, headers=headers))
        if self.method != b"HEAD":
            await self.send_event(h11.Data(data=body))
        await self.send_event(h11.EndOfMessage())
        await self._linger()

    async def _linger(self):
        """Read and discard input for a short time before the connection closes.

        Closing a socket with unread bytes makes the kernel send a reset, and the
        caller may then lose the response that was just sent.
        """
        with contextlib.suppress(trio.ClosedResourceError):
            await self.stream.send_eof()
        remaining_bytes = LINGER_BYTES
        with trio.move_on_after(LINGER_TIMEOUT_S):
            while remaining_bytes > 0:
                data = await self.stream.receive_some(READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)


def _validate_request(event: h11.Request) -> RequestHead:
    headers = [(bytes(name), bytes(value)) for name, value in event.headers]
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Guard against request smuggling: two servers that use different headers
        # disagree on where the request ends, and the rest of its body would be
        # read as another caller's request.
        raise BadMessage(400, "Transfer-Encoding and Content-Length exclude each other")
    if names.count(b"host") > 1:
        raise BadMessage(400, "a request must not have more than one Host header")
    if event.method == b"CONNECT":
        raise BadMessage(405, "the method CONNECT is not supported")
    target = event.target.decode("latin-1")
    if not target.startswith("/"):
        raise BadMessage(400, f"the request target {target!r} must start with '/'")
    return RequestHead(event.method.decode(), target, headers)


def _declares_body(request: RequestHead) -> bool:
    names = {name for name, _ in request.headers}
    return bool(names & {b"content-length", b"transfer-encoding"})
