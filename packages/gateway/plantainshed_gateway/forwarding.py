"""Forwarding: sends a request to one target and reads the answer."""

import contextlib
from collections.abc import AsyncIterator

import trio
from attrs import frozen

from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectFailed, ConnectionBroken
from plantainshed_http.messages import ResponseHead

from .call import Call
from .connections import TargetConnections
from .errors import AttemptFailed
from .logs import DecisionLog
from .memory_budget import MemoryBudget, Reservation
from .metrics import Metrics
from .ports import TargetAnswer, TargetRequestInfo, Wire
from .reasons import Reason
from .selection.registry import TargetState
from .selection.target_limits import TargetLimits

# Answers up to this size are buffered completely before the caller gets the first
# byte, so that the request can still be retried if the connection breaks.
MAX_BUFFERED_BYTES = 256 * 1024
# Maximum number of answers to other requests that are skipped on one connection.
MAX_SKIPPED_ANSWERS = 3
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "DELETE", "TRACE"})


@frozen
class Answer:
    """A target's answer that can be sent to the caller.

    Parameters
    ----------
    head : ResponseHead
    body : bytes
        The whole body, or its first part if `remaining` is set.
    memory : Reservation
        Memory that the body takes.
    remaining : AsyncIterator of bytes or None
        The rest of a body that is too large to buffer.
    """

    head: ResponseHead
    body: bytes
    memory: Reservation
    remaining: AsyncIterator[bytes] | None = None


class Forwarder:
    """Sends requests to targets, one attempt at a time."""

    def __init__(
        self,
        wire: Wire,
        connections: TargetConnections,
        limits: TargetLimits,
        metrics: Metrics,
        log: DecisionLog,
        answer_memory: MemoryBudget | None = None,
    ):
        self.wire = wire
        self.answer_memory = answer_memory or MemoryBudget()
        self.connections = connections
        self.limits = limits
        self.registry = limits.registry
        self.metrics = metrics
        self.log = log

    @contextlib.asynccontextmanager
    async def forward(self, call: Call, state: TargetState):
        """Yield a target's answer, or raise `AttemptFailed`.

        The connection stays in use until the `async with` block ends, because the
        block may still read a long body from it.
        """
        connection = await self._connect(call, state)
        if not state.wants_requests_at(trio.current_time()):
            # It said so while the connection was being opened.
            self.connections.keep(state, connection)
            raise AttemptFailed(
                Reason.TARGET_BUSY, "target wants no requests now", False
            )
        sent_at = trio.current_time()
        try:
            is_idempotent = call.route.is_idempotent
            with self.answer_memory.reservation() as memory:
                with self.connections.reach.waiting_for_answer(is_idempotent) as scope:
                    await self._send_request(call, state, connection)
                    head = await self._read_head(call, state, connection, sent_at)
                    chunks = call.progress.track(connection.response_body())
                    answer = await buffer_body(head, chunks, memory)
                if scope.cancelled_caught:
                    raise AttemptFailed(
                        Reason.CUT_OFF, "this VM reaches no target any more", True
                    )
                yield answer
        except ConnectionBroken as error:
            self.connections.reach.note_failed()
            after_s = trio.current_time() - sent_at
            self.connections.note_broken(state, connection.idle_s, after_s)
            raise _connection_failure(connection, str(error)) from error
        except AttemptFailed as failure:
            if failure.reason is not Reason.TARGET_BUSY:
                await connection.aclose()
            raise
        except BaseException:
            await connection.aclose()
            raise
        if connection.has_buffered_data:
            # Unexpected bytes after the end of the answer would be parsed as the
            # start of the answer to the next request.
            await connection.aclose()
            return
        self.connections.release(state, connection, answer.head)

    async def _connect(self, call: Call, state: TargetState) -> ClientConnection:
        try:
            return await self.connections.acquire(state, call.route.is_idempotent)
        except ConnectFailed as error:
            raise AttemptFailed(
                Reason.CONNECT_FAILED, str(error), may_have_run=False
            ) from error

    async def _send_request(
        self, call: Call, state: TargetState, connection: ClientConnection
    ):
        info = TargetRequestInfo(
            instance=state.entry.instance,
            deadline_s=max(0.001, call.cancel_at - trio.current_time()),
            workspace=call.workspace_name,
        )
        headers = self.wire.target_headers(call.head, info)
        if call.body or call.head.method not in METHODS_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(call.body)))
        await connection.send_head(call.head.method, call.head.target, headers)
        if call.body:
            # Head and body go out together, a small body even in one write, so that the
            # target usually gets either the whole request or nothing.
            connection.buffer_body(call.body)
        await connection.end_request()

    async def _read_head(
        self,
        call: Call,
        state: TargetState,
        connection: ClientConnection,
        sent_at: float,
    ) -> ResponseHead:
        for _ in range(1 + MAX_SKIPPED_ANSWERS):
            call.progress.has_begun = False
            head = await connection.response_head()
            call.progress.has_begun = True
            state.note_answer()
            self.connections.reach.note_answer(is_first=connection.idle_s == 0)
            metadata = self.wire.read_answer(head)
            if metadata.request_id in (None, call.request.request_id):
                break
            # This answers an earlier request and is a duplicate or late. The answer
            # to this request follows.
            await connection.drain_response(MAX_BUFFERED_BYTES)
            connection.skip_response()
            self.metrics.skipped.inc({"pool": state.entry.pool})
        else:
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "received only answers to other requests", True
            )
        if metadata.request_id is None and call.request.request_id:
            # It may answer an earlier request, so nothing that it says holds for this
            # one, not even that it did not run.
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "the answer has no request id", True
            )
        state.note_load(metadata.load)
        if metadata.cold_for_s:
            state.note_cold(metadata.cold_for_s)
        await self._validate(state, head, metadata, connection, sent_at)
        return head

    async def _validate(
        self,
        state: TargetState,
        head: ResponseHead,
        metadata: TargetAnswer,
        connection: ClientConnection,
        sent_at: float,
    ):
        """Take note of what an answer's head says, or raise `AttemptFailed`."""
        if metadata.is_other_instance:
            raise AttemptFailed(
                Reason.OTHER_INSTANCE, "another instance uses this address", False
            )
        self.limits.note_answer(state, metadata.limit_per_s, sent_at)
        if metadata.is_leaving and not state.is_leaving:
            self.registry.note_leaving(state)
            self.log.event("target is leaving", target=state.entry.instance)
        if metadata.retry_after_s is not None:
            self._note_retry_after(state, metadata.retry_after_s)
        if metadata.did_not_run:
            # Whatever follows does not change that.
            await connection.discard_response()
            self.connections.release(state, connection, head)
            raise AttemptFailed(
                Reason.TARGET_BUSY,
                f"target did not run it: status {head.status}",
                False,
            )
        if 200 <= head.status < 300 and not _is_authentic(metadata):
            raise AttemptFailed(
                Reason.SPOILT_ANSWER,
                "the answer was altered or is not from the target",
                True,
            )
        if metadata.request_id is None and head.status < 500:
            raise AttemptFailed(
                Reason.SPOILT_ANSWER, "the answer has no request id", True
            )

    def _note_retry_after(self, state: TargetState, seconds: float):
        state.note_retry_after(seconds)
        self.metrics.retry_after.inc({"pool": state.entry.pool})
        self.log.event(
            "target asked for no requests",
            target=state.entry.instance,
            seconds=seconds,
        )


def _is_authentic(metadata: TargetAnswer) -> bool:
    return (
        metadata.is_signed
        and not metadata.is_encoded
        and metadata.request_id is not None
    )


async def buffer_body(
    head: ResponseHead, chunks: AsyncIterator[bytes], memory: Reservation
) -> Answer:
    """Return an answer whose body is buffered as far as possible.

    It is buffered up to `MAX_BUFFERED_BYTES`, and only while its memory lasts. It
    cannot be refused for want of memory, as the request has run.
    """
    # Many small chunks would need many times their size if they were kept apart.
    buffered = bytearray()
    async for chunk in chunks:
        buffered += chunk
        if not memory.try_use(len(chunk)) or len(buffered) > MAX_BUFFERED_BYTES:
            return Answer(head, bytes(buffered), memory, chunks)
    return Answer(head, bytes(buffered), memory)


def _connection_failure(connection: ClientConnection, problem: str) -> AttemptFailed:
    connection.close()
    return AttemptFailed(Reason.CONNECTION_BROKEN, problem, connection.send_started)
