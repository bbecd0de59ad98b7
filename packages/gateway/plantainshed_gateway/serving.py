"""Request handling on this VM, from the request head to the answer.

`Serving.serve` admits a request, sends it to targets until one answers, and refuses
it if none does.
"""

import contextlib
from http import HTTPStatus

import trio

from plantainshed_http.messages import Headers, RequestHead
from plantainshed_http.server import Exchange

from .admission import Admission
from .answers import refusal_body, refusal_headers, send_answer
from .call import Call
from .cancelled_attempts import failure_of_cancelled
from .context import Context
from .crash_checks import CrashChecks
from .errors import AttemptFailed, BadRequest, Refusal
from .forwarding import Answer, Forwarder
from .load_sharing import LoadSharing
from .members import Members
from .memory_budget import Reservation
from .model import Configuration
from .permits import Permits
from .poison import compute_fingerprint
from .reach_prober import ReachProber
from .reasons import Reason
from .relay_admission import require_same_handling
from .relay_messages import (
    RelayedRequest,
    configuration_mark,
    refusal_marks,
    split_relayed,
)
from .relaying import Relaying
from .request_bodies import RequestBodies
from .response_progress import ResponseProgress
from .retry_budget import RetryBudgets
from .selection.placement import Placement
from .selection.registry import TargetState
from .stop_times import StopTimes

# Attempts allowed beyond the route's limit while no target has run the request.
EXTRA_ATTEMPTS_NOT_RUN = 2
# Minimum time left before the deadline for a retry to be worthwhile.
MIN_SECONDS_FOR_RETRY = 0.05
# Retry-after for refused requests. A target's queue has advanced by then.
NO_ROOM_RETRY_AFTER_S = 0.4
# Retry-after for requests that crash targets. Callers that honour it give up.
POISON_RETRY_AFTER_S = 5.0
# Retry-after while this VM refreshes its data after a pause: reading three
# collections again takes a few round trips.
PAUSED_RETRY_AFTER_S = 0.3
# Longest time that a request waits for a VM that has just started: a few round trips
# to the store. If it were refused at once, the caller would retry and reach other
# VMs that are starting too.
MAX_STARTUP_WAIT_S = 0.4
# Requests wait for this VM to become ready only during this time after its start.
# Later, the store is considered unresponsive, and requests are refused at once.
STARTUP_S = 1.2
# Retry-after while this VM stops. Look-ups already name other VMs.
STOPPING_RETRY_AFTER_S = 0.05
# Retry-after if this VM reaches no target and knows no VM that does. Another VM, which
# the caller tries next, may do so.
CUT_OFF_RETRY_AFTER_S = 0.1
RETRY_AFTER_BY_REASON = {
    Reason.POISON: POISON_RETRY_AFTER_S,
    Reason.CUT_OFF: CUT_OFF_RETRY_AFTER_S,
}


class Serving:
    """Handles callers' requests on this VM.

    Attributes
    ----------
    in_flight : int
        Number of requests that are being handled.
    is_ready : trio.Event
        Set once this VM has all the data that it needs to handle requests.
    is_caught_up : bool
        False after a pause of this process until its data is refreshed.
    stop_times : StopTimes or None
        Schedule of this VM's shutdown; None until it stops.
    """

    def __init__(
        self,
        context: Context,
        admission: Admission,
        placement: Placement,
        permits: Permits,
        forwarder: Forwarder,
        retries: RetryBudgets,
        members: Members,
        crash_checks: CrashChecks,
        reach_prober: ReachProber,
        relaying: Relaying,
        load_sharing: LoadSharing,
        bodies: RequestBodies,
    ):
        self.log = context.log
        self.metrics = context.metrics
        self.wire = context.platform_adapter.wire
        self.admission = admission
        self.placement = placement
        self.registry = placement.registry
        self.permits = permits
        self.forwarder = forwarder
        self.retries = retries
        self.members = members
        self.crash_checks = crash_checks
        self.reach_prober = reach_prober
        self.reach = reach_prober.reach
        self.relaying = relaying
        self.load_sharing = load_sharing
        self.bodies = bodies
        self.in_flight = 0
        self.is_ready = trio.Event()
        self.started_at = trio.current_time()
        self.is_caught_up = True
        self.stop_times: StopTimes | None = None

    async def serve(self, exchange: Exchange):
        """Answer one request with a target's answer or with a refusal."""
        await self._serve(exchange, exchange.request, None)

    async def serve_relayed(self, exchange: Exchange):
        """Answer a request that another VM, which reaches no target, has admitted."""
        try:
            head, relayed = split_relayed(exchange.request)
        except BadRequest as error:
            await exchange.reply(400, [], str(error).encode())
            return
        await self._serve(exchange, head, relayed)

    async def _serve(
        self, exchange: Exchange, head: RequestHead, relayed: RelayedRequest | None
    ):
        self.in_flight += 1
        try:
            with self.bodies.budget.reservation() as memory:
                refusal = await self._answer(exchange, head, relayed, memory)
        finally:
            self.in_flight -= 1
        await self.bodies.discard_refused(exchange, refusal)

    async def _answer(
        self,
        exchange: Exchange,
        head: RequestHead,
        relayed: RelayedRequest | None,
        memory: Reservation,
    ) -> Refusal | None:
        began_at, call = memory.began_at, None
        try:
            # The configuration sets the maximum body size, so wait for it before
            # reading the body.
            if not self.is_ready.is_set():
                await self._await_startup(began_at)
            body = await self.bodies.read(
                exchange, memory, self.admission.configuration
            )
            self._require_caught_up()
            self._require_accepting()
            if relayed is not None:
                self._require_able_to_relay()
            call = self.admission.make_call(head, body, began_at)
            if relayed is None:
                self._require_time_to_finish(call)
                await self.admission.take_quota(call.workspace)
                call.quota_taken_at = trio.current_time()
            else:
                require_same_handling(call, relayed, self._configuration_version)
                call.apply_relayed(relayed)
                self._require_time_to_finish(call)
            await self._run(exchange, call)
        except Refusal as refusal:
            marks = refusal_marks(refusal.reason) if relayed is not None else []
            await self._refuse(exchange, call, refusal, began_at, marks)
            return refusal
        return None

    def _require_able_to_relay(self):
        """Refuse a request that another VM can forward instead."""
        if self.reach.is_cut_off:
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.CUT_OFF,
                "this VM reaches no target",
                CUT_OFF_RETRY_AFTER_S,
            )

    async def _await_startup(self, began_at: float):
        deadline = min(began_at + MAX_STARTUP_WAIT_S, self.started_at + STARTUP_S)
        with trio.move_on_at(deadline):
            await self.is_ready.wait()

    def _require_caught_up(self):
        # With the data from before the pause, this VM would accept keys that have
        # been withdrawn since and send requests to targets that no longer exist.
        if not self.is_caught_up:
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.WAS_PAUSED,
                "this VM was paused and is refreshing its data",
                PAUSED_RETRY_AFTER_S,
            )

    def _require_accepting(self):
        # A connection that was accepted in time may send the rest of a request much
        # later. If that request were forwarded, it would be aborted without an answer
        # when this VM exits.
        times = self.stop_times
        if times is not None and trio.current_time() > times.accepts_requests_until:
            raise _stopping_refusal("this VM is shutting down")

    def _require_time_to_finish(self, call: Call):
        # Its target would still be running it when this VM exits.
        times = self.stop_times
        if times and not times.can_finish(trio.current_time(), call.cancel_at):
            raise _stopping_refusal("this VM may exit before the request ends")

    async def _run(self, exchange: Exchange, call: Call):
        """Get a request answered in time, or raise `Refusal`."""
        with trio.move_on_at(call.cancel_at) as scope:
            if not call.route.is_idempotent:
                # The run continues even if the caller disconnects. If it were
                # cancelled, it would be unknown whether it had taken effect.
                with exchange.detect_caller_disconnect():
                    await self._attempt_until_answered(exchange, call)
                return
            with exchange.cancel_on_caller_disconnect() as caller:
                await self._attempt_until_answered(exchange, call)
                return
        if scope.cancelled_caught:
            raise self._unanswered_refusal(
                call, Reason.TIMEOUT, "no target answered in time"
            )
        if caller.cancelled_caught:
            self._log(call, HTTPStatus.BAD_GATEWAY, Reason.CALLER_LEFT)

    async def _attempt_until_answered(self, exchange: Exchange, call: Call):
        excluded: set[str] = set()
        call.fingerprint = compute_fingerprint(
            call.workspace_name, call.head.method, call.head.target, call.body
        )
        while True:
            self._require_not_poison(call)
            if self.reach.is_cut_off:
                failure = await self._attempt_relayed(exchange, call)
            else:
                state = await self._choose(call, excluded)
                excluded.add(state.entry.instance)
                call.note_chosen(state)
                self.load_sharing.need.note_choice(call.load_age_s)
                failure = await self._attempt(exchange, call, state)
            if failure is None:
                return
            if exchange.caller_disconnected:
                # Nobody would receive another target's answer.
                self._log(call, HTTPStatus.BAD_GATEWAY, Reason.CALLER_LEFT)
                return
            if await self._was_not_sent(call, failure):
                continue
            if not self._can_retry(call, failure):
                raise self._unanswered_refusal(call, failure.reason, str(failure))
            self.metrics.count_retry(failure.reason, call.pool)

    async def _was_not_sent(self, call: Call, failure: AttemptFailed) -> bool:
        """Return whether a request reached no target because this VM reaches none.

        It is then sent through another VM, which is not a retry.
        """
        if failure.is_final or failure.reason is not Reason.CONNECT_FAILED:
            return False
        return not call.may_have_run and await self.reach_prober.confirm_cut(
            call.attempted_at
        )

    def _require_not_poison(self, call: Call):
        if self.crash_checks.is_blocked(call):
            raise self._unanswered_refusal(
                call, Reason.POISON, "targets crashed while they ran this request"
            )

    async def _choose(self, call: Call, excluded: set[str]) -> TargetState:
        configuration = self.admission.configuration
        if call.pool not in configuration.pools:
            raise self._unanswered_refusal(
                call, Reason.NO_TARGET, f"pool {call.pool} is no longer configured"
            )
        state = await self._find_target(call, configuration, excluded)
        if state is None:
            raise self._unanswered_refusal(
                call,
                Reason.NO_ROOM,
                f"no target of {call.pool} can answer in time",
                max(
                    self.registry.wanted_after_s(call.pool, call.home_regions),
                    self.placement.retry_after_s(call),
                ),
            )
        return state

    async def _find_target(
        self, call: Call, configuration: Configuration, excluded: set[str]
    ) -> TargetState | None:
        """Return a target that can take the request now, or None."""
        vms = self.members.ready_vms()
        if not self.permits.limits.limited:
            return self.placement.choose(call, configuration, excluded, vms)
        outdated = self.placement.outdated(call, excluded)
        state = await self.permits.find_permitted(outdated)
        if state is None:
            state = self.placement.choose(call, configuration, excluded, vms)
        if state is None:
            limited = self.placement.limited(call, excluded)
            state = await self.permits.find_permitted(limited)
        return state

    async def _attempt_relayed(
        self, exchange: Exchange, call: Call
    ) -> AttemptFailed | None:
        """Have another VM forward a request."""
        if call.relayed_for is not None:
            return AttemptFailed(
                Reason.CUT_OFF, "this VM reaches no target either", False, True
            )
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        outcome = await self.relaying.attempt(
            exchange, call, self._configuration_version
        )
        if not isinstance(outcome, AttemptFailed):
            self._log(call, outcome.status, None)
            return None
        call.attempts += 1
        call.may_have_run = may_have_run_before or outcome.may_have_run
        return outcome

    async def _attempt(
        self, exchange: Exchange, call: Call, state: TargetState
    ) -> AttemptFailed | None:
        began_at = call.attempted_at = trio.current_time()
        call.progress = ResponseProgress()
        entry = state.entry
        if not call.attempts:
            self.retries.note_request(call.pool)
        call.attempts += 1
        may_have_run_before = call.may_have_run
        # Assume that the request runs until the target reports otherwise. This is set
        # before sending, so that it also holds if the attempt is cancelled.
        call.may_have_run = True
        state.in_flight += 1
        self.load_sharing.note_in_flight(state)
        if state.limit_per_s is not None:
            self.metrics.sent_to_limited.inc({"target": state.entry.instance})
        try:
            async with self.forwarder.forward(call, state) as answer:
                took_s = trio.current_time() - began_at
                if self._should_try_another(call, answer):
                    raise AttemptFailed(
                        Reason.TARGET_ERROR, f"status {answer.head.status}", True
                    )
                await send_answer(exchange, answer, self._answer_marks(call))
        except AttemptFailed as failure:
            call.may_have_run = may_have_run_before or failure.may_have_run
            self._record_failure(call, state, failure)
            if failure.reason is Reason.CONNECTION_BROKEN and failure.may_have_run:
                await self.crash_checks.check(call, state, entry)
            return failure
        except trio.Cancelled:
            failure = failure_of_cancelled(exchange, call, state, self.reach)
            if failure is not None:
                self._record_failure(call, state, failure)
            raise
        finally:
            state.in_flight -= 1
            self.load_sharing.note_in_flight(state)
        if answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            state.note_failure()
        else:
            state.note_success()
        self.crash_checks.poison.note_answered(call.fingerprint)
        is_success = answer.head.status < HTTPStatus.BAD_REQUEST
        self.placement.note_answer(call, state, took_s, is_success)
        self.metrics.attempt_latency.observe({"pool": call.pool}, took_s)
        self._log(call, answer.head.status, None, attempt_s=round(took_s, 4))
        return None

    def _answer_marks(self, call: Call) -> Headers:
        if call.relayed_for is None:
            return []
        return configuration_mark(self._configuration_version)

    def _should_try_another(self, call: Call, answer: Answer) -> bool:
        """Return whether to retry a server error on another target."""
        return (
            answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and call.route.is_idempotent
            and call.attempts < call.route.attempts
            and call.seconds_left > call.route.objective_s / 2
        )

    def _record_failure(self, call: Call, state: TargetState, failure: AttemptFailed):
        if failure.reason in (Reason.CONNECT_FAILED, Reason.OTHER_INSTANCE):
            state.note_unreachable()
        elif failure.reason is Reason.UNENDED_ANSWER:
            state.note_unended()
        elif failure.reason not in (Reason.TARGET_BUSY, Reason.CUT_OFF):
            state.note_failure()
        self.log.event(
            "attempt failed",
            request_id=call.request.request_id,
            route=call.route.name,
            target=state.entry.instance,
            reason=failure.reason,
            problem=str(failure),
            may_have_run=failure.may_have_run,
            seconds_left=round(call.seconds_left, 3),
        )

    def _can_retry(self, call: Call, failure: AttemptFailed) -> bool:
        if failure.is_final:
            return False
        max_attempts = call.route.attempts
        if not call.may_have_run:
            max_attempts += EXTRA_ATTEMPTS_NOT_RUN
        elif not call.route.is_idempotent:
            # The request may have run, and a second run could take effect twice, for
            # example by booking a second seat.
            return False
        if call.attempts >= max_attempts or call.seconds_left < MIN_SECONDS_FOR_RETRY:
            return False
        return self.retries.try_spend(call.pool, self.members.count)

    def _unanswered_refusal(
        self,
        call: Call,
        reason: Reason,
        message: str,
        retry_after_s: float = 0.0,
    ) -> Refusal:
        """Return the refusal of a request that no target answered.

        If the request did not run, its quota token is returned, and the caller is
        told when to retry.
        """
        if not call.may_have_run:
            if call.workspace is not None and call.quota_taken_at is not None:
                self.admission.quotas.return_token(call.workspace, call.quota_taken_at)
            return Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                reason,
                message,
                max(
                    retry_after_s,
                    RETRY_AFTER_BY_REASON.get(reason, NO_ROOM_RETRY_AFTER_S),
                ),
            )
        status = HTTPStatus.BAD_GATEWAY
        if reason is Reason.TIMEOUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        return Refusal(status, reason, message)

    async def _refuse(
        self,
        exchange: Exchange,
        call: Call | None,
        refusal: Refusal,
        began_at: float,
        marks: Headers,
    ):
        route = call.route.name if call else ""
        self.metrics.count_refusal(refusal.reason, route)
        self.log.event(
            "refused",
            request_id=_request_id(self.wire, exchange),
            route=route,
            pool=call.pool if call else "",
            workspace=call.workspace_name if call else None,
            status=refusal.status,
            reason=refusal.reason,
            problem=str(refusal),
            retry_after_s=refusal.retry_after_s,
            object=call.request.affinity if call else None,
            tried=call.tried if call else [],
            load=call.load if call else None,
            load_age_s=call.load_age_s if call else None,
            relayed_for=call.relayed_for if call else None,
            may_have_run=call.may_have_run if call else False,
            configuration=self._configuration_version,
            took_s=round(trio.current_time() - began_at, 4),
        )
        if exchange.started:
            raise trio.BrokenResourceError
        headers = [*refusal_headers(refusal, self.wire), *marks]
        await exchange.reply(refusal.status, headers, refusal_body(refusal))

    @property
    def _configuration_version(self) -> int:
        configuration = self.admission.configuration
        return configuration.version if configuration else 0

    def _log(self, call: Call, status: int, reason: Reason | None, **fields):
        took_s = trio.current_time() - call.began_at
        if call.relayed_for is not None:
            self.metrics.relayed.inc({"vm": call.relayed_for})
        elif reason is None:
            self.metrics.count_answer(call.route.name, status, took_s)
        self.log.event(
            "answered" if reason is None else "dropped",
            request_id=call.request.request_id,
            route=call.route.name,
            pool=call.pool,
            workspace=call.workspace_name,
            status=int(status),
            reason=reason,
            object=call.request.affinity,
            tried=call.tried,
            relayed_for=call.relayed_for,
            load=call.load,
            load_age_s=call.load_age_s,
            owner_rank=call.owner_rank,
            expected_wait_s=call.expected_wait_s,
            expected_s=call.expected_s,
            configuration=self._configuration_version,
            took_s=round(took_s, 4),
            **fields,
        )


def _stopping_refusal(message: str) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.STOPPING,
        message,
        STOPPING_RETRY_AFTER_S,
    )


def _request_id(wire, exchange: Exchange) -> str:
    with contextlib.suppress(BadRequest):
        return wire.read_request(exchange.request).request_id
    return ""
