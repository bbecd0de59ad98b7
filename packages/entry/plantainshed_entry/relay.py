"""Carrying one request to one target and its answer back, over HTTP.

Both directions stream; what is buffered is one piece at a time. The key never
leaves the daemon, and the deadline and the caller's leaving stop the target's
work by closing its connection.
"""

import contextlib
import re
from collections import deque
from collections.abc import Callable

import trio

from plantainshed_coordination.nurseries import open_plain_nursery
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
    end_to_end,
)

from .call import Call
from .errors import AttemptFailed, Refusal
from .reasons import Outcome, Reason
from .targets import ProbeNews, TargetState

CONNECT_TIMEOUT_S = 1.0
DEADLINE_HEADER = b"request-timeout-ms"
WORKSPACE_HEADER = b"plantainshed-workspace"
REQUEST_ID_HEADER = b"plantainshed-request-id"
NOT_FOR_TARGETS = frozenset(
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
# Stricter than `isdigit`, which is also true of digits that `float` raises on,
# and short enough to be finite: an error there would end the process.
LOAD = re.compile(r"(?=.?[0-9])[0-9]{0,20}(\.[0-9]{0,20})?")
DRAINING_HEADER = b"plantainshed-draining"
IDLE_FOR_EACH_SLOT = 2


class HttpRelay:
    """Runs attempts over pooled connections to targets.

    Attributes
    ----------
    idle : dict of str to deque of ClientConnection
        Open connections that carry nothing at present, by address.
    opened : int
        Connections opened so far.
    vm_count : callable
        Number of VMs that may hold connections to the same targets.
    """

    def __init__(self):
        self.idle: dict[str, deque[ClientConnection]] = {}
        self.opened = 0
        self.vm_count: Callable[[], int] = lambda: 1

    async def run(self, call: Call, state: TargetState):
        """Run one attempt, or raise `AttemptFailed`.

        A request that no target can be sent raises `Refusal`.
        """
        connection = await self._connection(state)
        reusable = False
        try:
            await self._exchange(call, state, connection)
            reusable = connection.reusable
        finally:
            await self._put_back(state, connection, reusable)

    async def _connection(self, state: TargetState) -> ClientConnection:
        address = state.target.address
        waiting = self.idle.get(address)
        while waiting:
            connection = waiting.pop()
            if not connection.stale:
                return connection
            await connection.aclose()
        try:
            self.opened += 1
            return await ClientConnection.open(address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise AttemptFailed(
                f"target {state.target.name} accepts no connection: {error}",
                Outcome.NOT_RUN,
            ) from error

    async def _put_back(self, state, connection, reusable: bool):
        waiting = self.idle.setdefault(state.target.address, deque())
        if reusable and len(waiting) < self._most_idle(state):
            waiting.append(connection)
        else:
            # Closing is also how a target learns that nobody waits any more.
            with trio.CancelScope(shield=True):
                await connection.aclose()

    def _most_idle(self, state: TargetState) -> int:
        """Return how many idle connections to keep to a target.

        Half of what the target accepts, divided by all VMs; the other half is
        for connections in use, of which there are no more than slots.
        """
        fair = state.pool.connections // (2 * max(1, self.vm_count()))
        return min(IDLE_FOR_EACH_SLOT * state.pool.slots, fair)

    async def _exchange(self, call: Call, state: TargetState, connection):
        exchange = call.exchange
        try:
            await connection.send_head(
                call.method, call.path, _headers_for_target(call, exchange.request)
            )
            if call.body is not None:
                await self._send_whole_body(call, connection)
                head = await connection.response_head()
                await self._answer(call, state, connection, head)
            else:
                await self._stream_both_ways(call, state, connection)
        except UnsendableRequest as error:
            # The caller's fault, not the target's: it blames and tries no other.
            raise Refusal(Reason.BAD_REQUEST, error.reason) from error
        except ConnectionBroken as error:
            raise AttemptFailed(
                f"target {state.target.name} broke off: {error}",
                Outcome.UNKNOWN if connection.touched else Outcome.NOT_RUN,
                crashed=connection.touched,
            ) from error

    async def _send_whole_body(self, call, connection):
        if call.body:
            await connection.send_body(call.body)
        await connection.end_request()

    async def _stream_both_ways(self, call, state, connection):
        async with open_plain_nursery() as nursery:
            nursery.start_soon(self._send_body, call, connection)
            head = await connection.response_head()
            await self._answer(call, state, connection, head)
            nursery.cancel_scope.cancel()

    async def _send_body(self, call, connection):
        async for chunk in call.exchange.body():
            await connection.send_body(chunk)
        await connection.end_request()

    async def _answer(self, call, state, connection, head):
        _learn_from_answer(state, head)
        if head.status == 503 and head.header(NOT_RUN_HEADER):
            async for _ in connection.response_body():
                pass
            raise AttemptFailed(
                f"target {state.target.name} has no room",
                Outcome.NOT_RUN,
                is_target_fault=False,
            )
        exchange = call.exchange
        await exchange.start(head.status, _headers_for_caller(call, head.headers))
        if not connection.has_more_at_hand:
            # The body may come much later; its head is not held back for it.
            await exchange.flush()
        async for chunk in connection.response_body():
            await exchange.send(chunk)
        await exchange.finish()

    async def aclose(self):
        """Close all idle connections."""
        for waiting in self.idle.values():
            while waiting:
                await waiting.pop().aclose()


@contextlib.asynccontextmanager
async def open_relay():
    """Have a relay for the length of a block."""
    relay = HttpRelay()
    try:
        yield relay
    finally:
        with trio.CancelScope(shield=True):
            await relay.aclose()


def _headers_for_target(call: Call, request: RequestHead) -> Headers:
    headers = [
        (name, value)
        for name, value in end_to_end(request.headers)
        if name not in NOT_FOR_TARGETS
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
        for name, value in end_to_end(headers)
        if name not in (LOAD_HEADER, DRAINING_HEADER)
    ]
    if not any(name == b"content-length" for name, _ in kept):
        if call.method != "HEAD":
            kept.append((b"transfer-encoding", b"chunked"))
    kept.append((REQUEST_ID_HEADER, call.request_id.encode()))
    return kept


def reported_load(head: ResponseHead) -> float | None:
    """Return the load that a target reports; None if it reports no number."""
    text = head.header(LOAD_HEADER)
    if text is None or not LOAD.fullmatch(text):
        return None
    return float(text)


def _learn_from_answer(state: TargetState, head: ResponseHead):
    if head.header(DRAINING_HEADER):
        state.draining_at = trio.current_time()
    load = reported_load(head)
    if load is None:
        return
    healthy = state.probe.healthy if state.probe else True
    state.probe = ProbeNews(healthy, state.is_leaving, load)
    state.probe_at = trio.current_time()
