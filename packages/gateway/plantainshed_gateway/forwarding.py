"""One attempt: a request goes to one target and its answer comes back."""

import contextlib

import trio
from attrs import frozen

from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectFailed, ConnectionBroken
from plantainshed_http.messages import ResponseHead

from .call import Call
from .connections import TargetConnections
from .errors import AttemptFailed
from .metrics import Metrics
from .ports import Outgoing, TargetAnswer, Wire
from .reasons import Reason
from .registry import TargetState

# Answers up to this size are read whole before the caller gets the first byte,
# so that a broken one can still be replaced by another attempt's.
HELD_ANSWER_BYTES = 256 * 1024
# Answers to other requests that are skipped on one connection.
MOST_SKIPPED = 3
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "DELETE", "TRACE"})


@frozen
class Answer:
    """A target's answer that can be passed on.

    Parameters
    ----------
    head : ResponseHead
    body : bytes
        All of it, or its first part if `rest` is set.
    rest : AsyncIterator of bytes or None
        What follows a body that is too large to be held.
    """

    head: ResponseHead
    body: bytes
    rest: object | None = None


class Forwarder:
    """Runs attempts at targets."""

    def __init__(self, wire: Wire, connections: TargetConnections, metrics: Metrics):
        self.wire = wire
        self.connections = connections
        self.metrics = metrics

    @contextlib.asynccontextmanager
    async def answer(self, call: Call, state: TargetState):
        """Yield a target's answer, or raise `AttemptFailed`.

        The connection is the block's until it ends, because a long body is
        still being read from it.
        """
        connection = await self._connect(call, state)
        sent_at = trio.current_time()
        try:
            await self._send(call, state, connection)
            answer = await self._read(call, state, connection)
            yield answer
        except ConnectionBroken as error:
            after_s = trio.current_time() - sent_at
            self.connections.note_broken(state, connection.idle_s, after_s)
            raise _broken(connection, str(error)) from error
        except AttemptFailed as failure:
            if failure.reason is not Reason.TARGET_BUSY:
                await connection.aclose()
            raise
        except BaseException:
            await connection.aclose()
            raise
        if connection.has_buffered_data:
            # Bytes after the end belong to no request, and would be taken for
            # the beginning of the next one's answer.
            await connection.aclose()
            return
        self.connections.give_back(state, connection, answer.head)

    async def _connect(self, call: Call, state: TargetState) -> ClientConnection:
        try:
            return await self.connections.take(state, call.route.is_idempotent)
        except ConnectFailed as error:
            raise AttemptFailed(
                Reason.CONNECT_FAILED, str(error), may_have_run=False
            ) from error

    async def _send(self, call: Call, state: TargetState, connection: ClientConnection):
        outgoing = Outgoing(
            instance=state.entry.instance,
            deadline_s=max(0.001, call.wait_until - trio.current_time()),
            workspace=call.workspace_name,
        )
        headers = self.wire.target_headers(call.head, outgoing)
        if call.body or call.head.method not in METHODS_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(call.body)))
        await connection.send_head(call.head.method, call.head.target, headers)
        if call.body:
            # With the head in one write: a target then has all of it or none.
            connection.buffer_body(call.body)
        await connection.end_request()

    async def _read(
        self, call: Call, state: TargetState, connection: ClientConnection
    ) -> Answer:
        for _ in range(1 + MOST_SKIPPED):
            head = await connection.response_head()
            said = self.wire.read_answer(head)
            if said.request_id in (None, call.request.request_id):
                break
            # An answer to an earlier request, sent twice or late. Ours follows.
            await _drain(connection)
            connection.skip_response()
            self.metrics.skipped.inc({"pool": state.entry.pool})
        else:
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "only other requests' answers came", True
            )
        state.note_load(said.load)
        if said.cold_for_s:
            state.note_cold(said.cold_for_s)
        return await self._checked(state, head, said, connection)

    async def _checked(
        self,
        state: TargetState,
        head: ResponseHead,
        said: TargetAnswer,
        connection: ClientConnection,
    ) -> Answer:
        if said.is_other_instance:
            await _drain(connection)
            raise AttemptFailed(
                Reason.OTHER_INSTANCE, "another instance has the address", False
            )
        if said.did_not_run:
            await _drain(connection)
            self.connections.give_back(state, connection, head)
            raise AttemptFailed(Reason.TARGET_BUSY, f"it said {head.status}", False)
        if 200 <= head.status < 300 and not _is_sound(said):
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "the answer is not the target's own", True
            )
        if said.request_id is None and head.status < 500:
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "the answer names no request", True
            )
        return await _held(head, connection)


def _is_sound(said: TargetAnswer) -> bool:
    return said.is_signed and not said.is_encoded and said.request_id is not None


async def _held(head: ResponseHead, connection: ClientConnection) -> Answer:
    parts = []
    size = 0
    pieces = connection.response_body()
    async for piece in pieces:
        parts.append(piece)
        size += len(piece)
        if size > HELD_ANSWER_BYTES:
            return Answer(head, b"".join(parts), pieces)
    return Answer(head, b"".join(parts))


async def _drain(connection: ClientConnection):
    """Read a response to its end; its bytes are of no use."""
    size = 0
    async for piece in connection.response_body():
        size += len(piece)
        if size > HELD_ANSWER_BYTES:
            raise ConnectionBroken(f"{connection.address}: too long an answer to skip")


def _broken(connection: ClientConnection, problem: str) -> AttemptFailed:
    with contextlib.suppress(OSError):
        connection.stream.socket.close()
    return AttemptFailed(Reason.CONNECTION_BROKEN, problem, connection.send_started)
