"""Relaying of one request to one target over HTTP, and of the response back.

Bodies are streamed in both directions, one chunk at a time. The caller's key is never
sent to a target. When the deadline passes or the caller disconnects, the connection to
the target is closed, so that the target stops its work.
"""

import contextlib
import re
from collections import deque
from collections.abc import Callable

import trio

from plantainshed_coordination.nurseries import open_unwrapping_nursery
from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import (
    ConnectFailed,
    ConnectionBroken,
    UnsendableRequest,
)
from plantainshed_http.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
)

from .call import Call
from .errors import AttemptFailed, Refusal
from .reasons import Outcome, Reason
from .targets import ProbeResult, TargetState

CONNECT_TIMEOUT_S = 1.0
DEADLINE_HEADER = b"request-timeout-ms"
WORKSPACE_HEADER = b"plantainshed-workspace"
REQUEST_ID_HEADER = b"plantainshed-request-id"
STRIPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        DEADLINE_HEADER,
        WORKSPACE_HEADER,
        REQUEST_ID_HEADER,
    }
)
NOT_RUN_HEADER = b"plantainshed-not-run"
LOAD_HEADER = b"plantainshed-load"
# `str.isdigit` also accepts digits that `float` rejects, and an unhandled error would
# end the process. The length limit keeps the value finite.
NUMBER_PATTERN = re.compile(r"(?=.?[0-9])[0-9]{0,20}(\.[0-9]{0,20})?")
DRAINING_HEADER = b"plantainshed-draining"
IDLE_PER_SLOT = 2


class HttpRelay:
    """Runs attempts over pooled connections to targets.

    Attributes
    ----------
    idle : dict of str to deque of ClientConnection
        Idle open connections, by address of the target.
    opened : int
        Number of connections that this relay has tried to open.
    vm_count : callable
        Returns the number of VMs that may hold connections to the same targets.
    """

    def __init__(self):
        self.idle: dict[str, deque[ClientConnection]] = {}
        self.opened = 0
        self.vm_count: Callable[[], int] = lambda: 1

    async def run(self, call: Call, state: TargetState):
        """Run one attempt, or raise `AttemptFailed`.

        Raises `Refusal` for a request that cannot be sent to any target.
        """
        connection = await self._acquire(state)
        reusable = False
        try:
            await self._exchange(call, state, connection)
            reusable = connection.reusable
        finally:
            await self._release(state, connection, reusable)

    async def _acquire(self, state: TargetState) -> ClientConnection:
        address = state.target.address
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.stale:
                return connection
            await connection.aclose()
        try:
            self.opened += 1
            return await ClientConnection.open(address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise AttemptFailed(
                f"cannot connect to target {state.target.name}: {error}",
                Outcome.NOT_RUN,
            ) from error

    async def _release(self, state, connection, reusable: bool):
        idle = self.idle.setdefault(state.target.address, deque())
        if reusable and len(idle) < self._max_idle(state):
            idle.append(connection)
        else:
            # Closing the connection also tells the target that nobody waits for
            # the response any more.
            with trio.CancelScope(shield=True):
                await connection.aclose()

    def _max_idle(self, state: TargetState) -> int:
        """Return the maximum number of idle connections to a target.

        All VMs together may keep half of the connections that the target accepts.
        The other half is for connections in use, which the slots limit.
        """
        fair_share = state.pool.connections // (2 * max(1, self.vm_count()))
        return min(IDLE_PER_SLOT * state.pool.slots, fair_share)

    async def _exchange(self, call: Call, state: TargetState, connection):
        exchange = call.exchange
        try:
            await connection.send_head(
                call.method, call.path, _headers_for_target(call, exchange.request)
            )
            if call.body is not None:
                await self._send_buffered_body(call, connection)
                head = await connection.response_head()
                await self._relay_response(call, state, connection, head)
            else:
                await self._stream_both_ways(call, state, connection)
        except UnsendableRequest as error:
            # The request itself is invalid, so the target is not blamed and the
            # request is not retried.
            raise Refusal(Reason.BAD_REQUEST, error.reason) from error
        except ConnectionBroken as error:
            raise AttemptFailed(
                f"the connection to target {state.target.name} broke: {error}",
                Outcome.UNKNOWN if connection.send_started else Outcome.NOT_RUN,
                crashed=connection.send_started,
            ) from error

    async def _send_buffered_body(self, call, connection):
        if call.body:
            await connection.send_body(call.body)
        await connection.end_request()

    async def _stream_both_ways(self, call, state, connection):
        async with open_unwrapping_nursery() as nursery:
            nursery.start_soon(self._send_body, call, connection)
            head = await connection.response_head()
            await self._relay_response(call, state, connection, head)
            nursery.cancel_scope.cancel()

    async def _send_body(self, call, connection):
        async for chunk in call.exchange.body():
            await connection.send_body(chunk)
        await connection.end_request()

    async def _relay_response(self, call, state, connection, head):
        _update_from_response(state, head)
        if head.status == 503 and head.header(NOT_RUN_HEADER):
            # Whatever follows does not change that.
            await connection.discard_response()
            raise AttemptFailed(
                f"target {state.target.name} has no room",
                Outcome.NOT_RUN,
                is_target_fault=False,
            )
        exchange = call.exchange
        await exchange.start(head.status, _headers_for_caller(call, head.headers))
        if not connection.has_buffered_data:
            # The body may arrive much later, so the head is sent at once.
            await exchange.flush()
        async for chunk in connection.response_body():
            await exchange.send(chunk)
        await exchange.finish()

    async def aclose(self):
        """Close all idle connections."""
        for idle in self.idle.values():
            while idle:
                await idle.pop().aclose()


@contextlib.asynccontextmanager
async def open_relay():
    """Open a relay for the duration of a block."""
    relay = HttpRelay()
    try:
        yield relay
    finally:
        with trio.CancelScope(shield=True):
            await relay.aclose()


def _headers_for_target(call: Call, request: RequestHead) -> Headers:
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.headers)
        if name not in STRIPPED_HEADERS
    ]
    length = request.header(b"content-length")
    if call.body is not None:
        if call.body or length is not None:
            headers.append((b"content-length", str(len(call.body)).encode()))
    elif length is not None:
        headers.append((b"content-length", length.encode()))
    else:
        headers.append((b"transfer-encoding", b"chunked"))
    left_ms = max(1, int(call.seconds_left * 1000))
    headers.append((DEADLINE_HEADER, str(left_ms).encode()))
    headers.append((WORKSPACE_HEADER, call.workspace.encode()))
    headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
    return headers


def _headers_for_caller(call: Call, headers: Headers) -> Headers:
    kept = [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name not in (LOAD_HEADER, DRAINING_HEADER)
    ]
    if not any(name == b"content-length" for name, _ in kept):
        if call.method != "HEAD":
            kept.append((b"transfer-encoding", b"chunked"))
    kept.append((REQUEST_ID_HEADER, call.request_id.encode()))
    return kept


def reported_load(head: ResponseHead) -> float | None:
    """Return the load that a target reports, or None without a valid number."""
    return _number(head.header(LOAD_HEADER))


def retry_after_s(head: ResponseHead) -> float | None:
    """Return the seconds for which a target that turns a request away wants none.

    In other responses, the header is meant for the caller.
    """
    return _number(head.header(b"retry-after")) if head.status == 503 else None


def _number(text: str | None) -> float | None:
    if text is None or not NUMBER_PATTERN.fullmatch(text):
        return None
    return float(text)


def _update_from_response(state: TargetState, head: ResponseHead):
    if head.header(DRAINING_HEADER):
        state.draining_at = trio.current_time()
    seconds = retry_after_s(head)
    if seconds is not None:
        state.note_retry_after(seconds)
    load = reported_load(head)
    if load is None:
        return
    healthy = state.probe.healthy if state.probe else True
    state.probe = ProbeResult(healthy, state.is_draining, load)
    state.probe_at = trio.current_time()
