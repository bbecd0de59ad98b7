"""A small stand-in for a target (back end) that follows the published protocol."""

import contextlib

import h11
import trio
from attrs import define, field

from tests.http_support import reset_on_close

SOCKET_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
HEALTH_PATH = "/health"


@define
class Run:
    """A request that the target has started to run."""

    request_id: str
    headers: dict[str, str]
    body: bytes
    path: str


@define
class Arrival:
    """A request that has arrived, and when."""

    at: float
    request_id: str


@define
class TargetStandin:
    """Runs requests, sheds those beyond its slots, and injects faults into answers.

    Attributes
    ----------
    instance : str
    slots : int
        How many requests run at once. Further ones are shed and reported as not
        run.
    run_time_s : float
        How long a run takes.
    queue_time_s : float
        How long a request waits before it is shed.
    shed : int
        How many requests were shed or are waiting to be.
    response_faults : list of str
        Faults of the next answers, in order: ``unsigned`` (no seal), ``encoded``,
        ``truncated``, ``reset``, ``extra`` (another request's answer first),
        ``long extra`` (the same, of 100 KB),
        ``unnamed rejection`` (first a rejection without a request id),
        ``after`` (bytes after the end), ``fails`` (500), ``garbage``, ``unframed``
        (no length, ends when the connection closes), ``unframed reset`` (the same,
        but reset halfway), ``cut`` (the body ends early). An empty string means no
        fault.
    turns_away : bool
        Whether it runs no request and answers 503.
    extra_headers : dict of str to str
        Headers of all answers to requests that are meant for this target.
    arrivals : list of Arrival
        Requests that are meant for this target.
    uses_per_connection : int
        Number of requests after which it announces that it closes the connection; 0
        for no limit.
    runs : list of Run
    """

    instance: str
    slots: int = 4
    run_time_s: float = 0.0
    queue_time_s: float = 0.0
    shed: int = 0
    response_faults: list[str] = field(factory=list)
    body: bytes = b"the target's bytes"
    turns_away: bool = False
    extra_headers: dict[str, str] = field(factory=dict)
    arrivals: list[Arrival] = field(factory=list)
    uses_per_connection: int = 0
    runs: list[Run] = field(factory=list)
    running: int = 0
    connections: int = 0
    health_checks: int = 0
    address: str = ""

    def body_for(self, headers: dict[str, str]) -> bytes:
        """Return the body of the answer to a request."""
        return self.body

    async def serve_connection(self, stream):
        """Serve one connection until it ends."""
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        with contextlib.suppress(*SOCKET_ERRORS, h11.RemoteProtocolError):
            uses = 0
            is_open = True
            while is_open:
                uses += 1
                is_last = uses == self.uses_per_connection
                is_open = await self._serve_one(stream, connection, is_last)
                is_open = is_open and not is_last
                if is_open:
                    connection.start_next_cycle()
        await trio.aclose_forcefully(stream)

    async def _serve_one(self, stream, connection, is_last: bool) -> bool:
        request, body = await _read_request(stream, connection)
        if request is None:
            return False
        headers = {k.decode(): v.decode() for k, v in request.headers}
        path = request.target.decode()
        if headers.get("expect-instance") not in (None, self.instance):
            await self._reply(stream, connection, 421, headers, b"")
            return True
        if path == HEALTH_PATH:
            self.health_checks += 1
            await self._reply(stream, connection, 200, headers, b"")
            return True
        arrival = Arrival(trio.current_time(), headers.get("request-id", ""))
        self.arrivals.append(arrival)
        if self.turns_away or self.running >= self.slots:
            self.shed += 1
            await trio.sleep(self.queue_time_s)
            extra_headers = [("Not-Executed", "1")]
            await self._reply(stream, connection, 503, headers, b"", extra_headers)
            return True
        self.runs.append(Run(headers.get("request-id", ""), headers, body, path))
        self.running += 1
        try:
            await trio.sleep(self.run_time_s)
        finally:
            self.running -= 1
        return await self._answer(stream, connection, headers, is_last)

    async def _answer(self, stream, connection, headers, is_last: bool) -> bool:
        fault = self.response_faults.pop(0) if self.response_faults else ""
        full_body = self.body_for(headers)
        seal = [("Server-Seal", f"seal-{self.instance}")]
        if fault == "reset":
            reset_on_close(stream)
            return False
        if fault == "garbage":
            await stream.send_all(b"\x00\x01 what is this\r\n\r\n")
            return False
        if fault in ("unframed", "unframed reset", "cut"):
            await self._send_until_close(
                stream, headers["request-id"], fault, full_body
            )
            return False
        if fault == "truncated":
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {headers['request-id']}\r\n"
            head += "Server-Seal: s\r\nContent-Length: 900\r\n\r\nonly a part"
            await stream.send_all(head.encode())
            return False
        if fault in ("extra", "long extra"):
            body = "wrong" * (20_000 if fault == "long extra" else 1)
            head = "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Seal: s\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            await stream.send_all((head + body).encode())
        if fault == "unnamed rejection":
            rejection = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
            await stream.send_all(rejection + b"Content-Length: 0\r\n\r\n")
        if fault == "encoded":
            seal.append(("Content-Encoding", "gzip"))
        if fault == "unsigned":
            seal = []
        if is_last:
            seal.append(("Connection", "close"))
        status = 500 if fault == "fails" else 200
        await self._reply(stream, connection, status, headers, full_body, seal)
        if fault == "after":
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
        return True

    async def _send_until_close(self, stream, request_id, fault, full_body):
        """Send an answer that ends when the connection closes."""
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: s\r\n"
        if fault == "cut":
            head += f"Content-Length: {len(full_body)}\r\n"
        body = full_body if fault == "unframed" else full_body[: len(full_body) // 2]
        await stream.send_all((head + "\r\n").encode() + body)
        if fault == "unframed reset":
            # Let the bytes arrive; an immediate reset would discard them.
            await trio.sleep(0.05)
            reset_on_close(stream)

    async def _reply(self, stream, connection, status, headers, body, extra_headers=()):
        sent = [("Content-Length", str(len(body))), ("Instance-Id", self.instance)]
        if "request-id" in headers:
            sent.append(("Request-Id", headers["request-id"]))
        if status != 421:
            sent += self.extra_headers.items()
        response = h11.Response(status_code=status, headers=[*sent, *extra_headers])
        data = connection.send(response)
        data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage())
        await stream.send_all(data)


async def _read_request(stream, connection):
    request, parts = None, []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return request, b"".join(parts)
        else:
            return None, b""


@contextlib.asynccontextmanager
async def running_target(target: TargetStandin):
    """Serve the stand-in on loopback; set and yield its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    target.address = f"127.0.0.1:{port}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target.serve_connection, listeners)
        yield target.address
        nursery.cancel_scope.cancel()
