"""Serving of callers' requests.

`Serving.serve` authenticates a request, applies the workspace's rate limit,
deduplicates operations and forwards the request to a target. If one of these
steps fails, it answers with a refusal.
"""

import re
import secrets

import orjson
import trio

from plantainshed_coordination.membership import Membership
from plantainshed_coordination.operations import (
    BadOperationId,
    OperationId,
    OperationRegistry,
    Verdict,
)
from plantainshed_http.messages import RequestHead
from plantainshed_http.server import Exchange
from plantainshed_model.document import Pool

from .admission import Admission
from .attempts import Attempts
from .call import Call
from .context import Context
from .errors import Refusal
from .facts import RunStatistics
from .in_force import IndexedDocument
from .loads import LoadTracker
from .lookup import Lookup
from .poison import compute_fingerprint
from .reasons import STATUS, Outcome, Reason
from .recorded_answers import AnswerRecorder, RecordedAnswer
from .relay import DEADLINE_HEADER

OPERATION_HEADER = b"operation-id"
OUTCOME_HEADER = b"plantainshed-outcome"
REASON_HEADER = b"plantainshed-reason"
REPEAT_HEADER = b"plantainshed-repeat"
BUFFERED_BODY_BYTES = 64 * 1024
MAX_TIMEOUT_MS = 3_600_000
# `str.isdigit` also accepts digits that `int` rejects, such as superscripts, and
# `int` rejects very long numbers. The ValueError would end the process.
TIMEOUT_MS_PATTERN = re.compile(r"[0-9]{1,20}")
REQUEST_ID_BYTES = 8
IN_PROGRESS_RETRY_AFTER_S = 1.0


class Serving:
    """Serves callers' requests on this VM.

    Attributes
    ----------
    in_force : IndexedDocument
        Document in force.
    calls : dict of str to Call
        Requests that are running or queued on this VM, by request id.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        admission: Admission,
        attempts: Attempts,
        operations: OperationRegistry,
        loads: LoadTracker,
        lookup: Lookup,
        statistics: RunStatistics,
    ):
        self.log = context.log
        self.metrics = context.metrics
        self.membership = membership
        self.admission = admission
        self.attempts = attempts
        self.operations = operations
        self.loads = loads
        self.lookup = lookup
        self.statistics = statistics
        self.in_force: IndexedDocument | None = None
        self.calls: dict[str, Call] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that are running or queued on this VM."""
        return len(self.calls)

    async def serve(self, exchange: Exchange):
        """Answer one request with a target's response or with a refusal."""
        call = None
        try:
            self._require_caught_up()
            call = await self._read_call(exchange)
            with self._registered(call):
                await self._run_within_deadline(call)
        except Refusal as refusal:
            await self._refuse(exchange, call, refusal)

    def _require_caught_up(self):
        # After a pause, this process's budget parts and withdrawn keys may be
        # out of date; see `Membership.is_caught_up`.
        if not self.membership.is_caught_up():
            raise Refusal(
                Reason.NOT_READY,
                "this VM was paused and is refreshing its data",
                retry_after_s=1.0,
            )

    async def _read_call(self, exchange: Exchange) -> Call:
        head = exchange.request
        pool = self.in_force.pool_for(head.target)
        if pool is None:
            raise Refusal(Reason.UNKNOWN_PATH, f"no pool serves {head.target}")
        admitted = self.admission.authenticate(head)
        call = Call(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            method=head.method,
            path=head.target,
            workspace=admitted.workspace.name,
            key_id=admitted.key_id,
            pool=pool,
            home_domain=self.lookup.locate_client(exchange.caller)[0],
            deadline=trio.current_time() + _parse_timeout_s(head, pool),
            operation=_parse_operation_id(head),
            exchange=exchange,
        )
        self.loads.count_arrival(pool.name, call.home_domain)
        await self.admission.take_rate_token(admitted.workspace)
        if _fits_in_buffer(head):
            call.body = await exchange.read_body(BUFFERED_BODY_BYTES)
        call.fingerprint = compute_fingerprint(
            call.workspace, call.method, call.path, call.body
        )
        return call

    def _registered(self, call: Call):
        return _CallRegistration(self.calls, call)

    async def _run_within_deadline(self, call: Call):
        call.cancel_scope = trio.CancelScope(deadline=call.deadline)
        with call.cancel_scope:
            if self.admission.is_withdrawn(call.key_id):
                # The key was withdrawn while the request waited for a rate token.
                call.cancel_scope.cancel()
            if call.body is None:
                await self._run_at_most_once(call)
            else:
                with call.exchange.cancel_on_caller_disconnect():
                    await self._run_at_most_once(call)
            return
        self._refuse_cancelled(call)

    def _refuse_cancelled(self, call: Call):
        """Raise the refusal for a request whose cancel scope was cancelled."""
        outcome = Outcome.UNKNOWN if call.attempts else Outcome.NOT_RUN
        # Withdrawing a key cancels its requests, both running and queued.
        if self.admission.is_withdrawn(call.key_id):
            raise Refusal(
                Reason.KEY_WITHDRAWN, f"the key {call.key_id} was withdrawn", outcome
            )
        raise Refusal(Reason.DEADLINE, "the deadline has passed", outcome)

    async def _run_at_most_once(self, call: Call):
        """Run a request; run an operation with an operation id at most once.

        Idempotent methods are not deduplicated.
        """
        if call.operation is None or call.is_idempotent:
            await self._run(call)
            return
        claim = await self.operations.claim(call.operation)
        if claim.verdict is not Verdict.RUN:
            await self._answer_repeated_operation(call, claim)
            return
        await self._run_claimed(call)

    async def _run_claimed(self, call: Call):
        recorder = AnswerRecorder(call.exchange)
        call.exchange = recorder
        did_not_run = False
        try:
            await self._run(call)
        except Refusal as refusal:
            did_not_run = refusal.outcome is Outcome.NOT_RUN
            raise
        finally:
            with trio.CancelScope(shield=True):
                if did_not_run:
                    await self.operations.release(call.operation)
                else:
                    # Without a complete answer, the outcome is unknown. The
                    # operation stays claimed, so that a repeat is refused with
                    # an unknown outcome instead of being run again.
                    answer = recorder.to_bytes() if recorder.is_complete else None
                    await self.operations.finish(call.operation, answer)

    async def _run(self, call: Call):
        await self.attempts.run(call)
        seconds = trio.current_time() - call.began_at
        self.metrics.count_answer(call.workspace, seconds)
        self.statistics.answered[call.workspace] += 1

    async def _answer_repeated_operation(self, call: Call, claim):
        if claim.verdict is Verdict.DONE and claim.answer:
            recorded = RecordedAnswer.from_bytes(claim.answer)
            headers = [*recorded.headers, (REPEAT_HEADER, b"1")]
            await call.exchange.reply(recorded.status, headers, recorded.body)
            return
        if claim.verdict is Verdict.IN_PROGRESS:
            raise Refusal(
                Reason.OPERATION_IN_PROGRESS,
                f"operation {call.operation} is still running; retry later",
                Outcome.UNKNOWN,
                IN_PROGRESS_RETRY_AFTER_S,
            )
        raise Refusal(
            Reason.OPERATION_UNKNOWN,
            f"operation {call.operation} may have been started and its outcome "
            "is unknown; it was not run again",
            Outcome.UNKNOWN,
        )

    def cancel_calls_with_key(self, key_id: str) -> int:
        """Cancel all requests that use a withdrawn key.

        Returns
        -------
        int
            Number of cancelled requests.
        """
        cancelled = 0
        for call in list(self.calls.values()):
            if call.key_id == key_id and call.cancel_scope is not None:
                call.cancel_scope.cancel()
                cancelled += 1
        return cancelled

    async def _refuse(self, exchange: Exchange, call: Call | None, refusal: Refusal):
        workspace = call.workspace if call else ""
        self.metrics.count_refusal(refusal.reason, refusal.outcome, workspace)
        self.statistics.refused[refusal.reason, refusal.outcome, workspace] += 1
        self.log.info(
            "refused",
            extra={
                "reason": refusal.reason,
                "outcome": refusal.outcome,
                "workspace": workspace,
                "request_id": call.request_id if call else "",
                "path": exchange.request.target,
            },
        )
        if exchange.started:
            # Part of the answer was already sent. Only closing the connection
            # tells the caller that the answer is incomplete.
            raise trio.BrokenResourceError
        await exchange.reply(
            STATUS[refusal.reason], _refusal_headers(refusal), _refusal_body(refusal)
        )


class _CallRegistration:
    """Context manager that keeps a call in the table of running calls."""

    def __init__(self, calls: dict[str, Call], call: Call):
        self.calls = calls
        self.call = call

    def __enter__(self):
        self.calls[self.call.request_id] = self.call

    def __exit__(self, *exc_info):
        del self.calls[self.call.request_id]


def _parse_timeout_s(head: RequestHead, pool: Pool) -> float:
    text = head.header(DEADLINE_HEADER)
    if text is None:
        return pool.timeout_s
    if not TIMEOUT_MS_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_TIMEOUT_MS:
        raise Refusal(
            Reason.BAD_REQUEST,
            f"request-timeout-ms: {text!r} must be 1 to {MAX_TIMEOUT_MS} milliseconds",
        )
    return min(pool.timeout_s, int(text) / 1000)


def _parse_operation_id(head: RequestHead) -> OperationId | None:
    text = head.header(OPERATION_HEADER)
    if text is None:
        return None
    try:
        return OperationId.parse(text)
    except BadOperationId as error:
        raise Refusal(Reason.BAD_REQUEST, f"operation-id: {error}") from error


def _fits_in_buffer(head: RequestHead) -> bool:
    length = head.header(b"content-length")
    if length is not None:
        return int(length) <= BUFFERED_BODY_BYTES
    return head.header(b"transfer-encoding") is None


def _refusal_headers(refusal: Refusal):
    headers = [
        (b"content-type", b"application/json"),
        (REASON_HEADER, refusal.reason.encode()),
        (OUTCOME_HEADER, refusal.outcome.encode()),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, round(refusal.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


def _refusal_body(refusal: Refusal) -> bytes:
    return orjson.dumps(
        {
            "reason": refusal.reason,
            "outcome": refusal.outcome,
            "message": refusal.message,
            "retry_after_s": refusal.retry_after_s,
        }
    )
