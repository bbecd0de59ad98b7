"""A caller's request from its head to its answer.

`Serving.serve` reads like the story: whose is it, which target answers it, and
what the caller is told if none does.
"""

import contextlib
import math
from http import HTTPStatus

import trio

from plantainshed_http.errors import BadMessage, ConnectFailed
from plantainshed_http.server import Exchange

from .admission import Admission
from .answers import pass_on, refusal_body, refusal_headers
from .call import Call
from .context import Context
from .errors import AttemptFailed, BadRequest, Refusal
from .forwarding import Answer, Forwarder
from .members import Members
from .placement import Placement
from .poison import PoisonBook, fingerprint
from .queueing import QueueLimits
from .reasons import Reason
from .registry import TargetState
from .retry_budget import RetryBudgets

# Attempts beyond the route's, for those that no target ran or saw.
MORE_ATTEMPTS_NOT_RUN = 2
# Time that must be left for another attempt to be of use.
LEAST_SECONDS_FOR_RETRY = 0.05
# When a refused caller may come back: a target's queue has moved on by then.
NO_ROOM_RETRY_AFTER_S = 0.4
# What a request that crashes targets is told; a caller that obeys gives up.
POISON_RETRY_AFTER_S = 5.0
# Reading three collections again takes a few round trips.
PAUSED_RETRY_AFTER_S = 0.3
# Longest wait of a request for a VM that has just started: a few round trips to the
# store. Refused at once, it would come back and find other VMs starting.
START_WAIT_S = 0.4
# Time after its start from which on a VM that knows nothing refuses at once: the
# store does not answer it.
STARTING_S = 1.2
# Other VMs take requests now; look-ups name them.
STOPPING_RETRY_AFTER_S = 0.05


class Serving:
    """Serves callers' requests on this VM.

    Attributes
    ----------
    in_flight : int
        Requests that were read and not yet answered.
    is_ready : trio.Event
        Set once this VM knows what it needs to serve.
    is_awake : bool
        False after a pause of this process, until it has caught up.
    takes_until : float
        When requests are no longer taken, because too little of the time to stop
        is left for them to be run.
    """

    def __init__(
        self,
        context: Context,
        admission: Admission,
        placement: Placement,
        forwarder: Forwarder,
        retries: RetryBudgets,
        members: Members,
        poison: PoisonBook,
        queues: QueueLimits,
    ):
        self.log = context.log
        self.metrics = context.metrics
        self.wire = context.surroundings.wire
        self.admission = admission
        self.placement = placement
        self.forwarder = forwarder
        self.retries = retries
        self.members = members
        self.poison = poison
        self.queues = queues
        self.in_flight = 0
        self.is_ready = trio.Event()
        self.started_at = trio.current_time()
        self.is_awake = True
        self.takes_until = math.inf

    async def serve(self, exchange: Exchange):
        """Answer one request, by a target or by a refusal."""
        began_at = trio.current_time()
        self.in_flight += 1
        call = None
        try:
            # The body can be read only once the configuration says how long it may be.
            wait_until = min(began_at + START_WAIT_S, self.started_at + STARTING_S)
            with trio.move_on_at(wait_until):
                await self.is_ready.wait()
            body = await self._read_body(exchange)
            self._require_awake()
            self._require_time_to_run()
            call = await self.admission.admit(exchange.request, body, began_at)
            self.retries.note_request(call.pool)
            await self._run(exchange, call)
        except Refusal as refusal:
            await self._refuse(exchange, call, refusal, began_at)
        finally:
            self.in_flight -= 1

    def _require_awake(self):
        # After a pause this VM would accept keys that were withdrawn meanwhile
        # and send to targets that are gone.
        if not self.is_awake:
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.WAS_PAUSED,
                "this VM was paused and is finding out what it missed",
                PAUSED_RETRY_AFTER_S,
            )

    def _require_time_to_run(self):
        # A connection that was taken in time may send the rest of a request much
        # later. Passed on, it would be broken off at its target when the time to
        # stop runs out, with no answer.
        if trio.current_time() > self.takes_until:
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.STOPPING,
                "this VM is about to end",
                STOPPING_RETRY_AFTER_S,
            )

    async def _read_body(self, exchange: Exchange) -> bytes:
        configuration = self.admission.configuration
        limit = configuration.limits.max_body_bytes if configuration else 0
        try:
            return await exchange.read_body(limit)
        except BadMessage as problem:
            if problem.status != HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
                raise
            if configuration is None:
                # Nothing is known yet, also not how long a body may be.
                return b""
            raise Refusal(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                Reason.BODY_TOO_LARGE,
                problem.reason,
            ) from problem

    async def _run(self, exchange: Exchange, call: Call):
        """Have a request answered in time, or raise `Refusal`."""
        with trio.move_on_at(call.wait_until) as scope:
            if not call.route.is_idempotent:
                # A run that was begun is let end though its caller has left:
                # broken off, nobody could tell whether it had taken effect.
                async with exchange.detect_caller_disconnect():
                    await self._attempt_until_answered(exchange, call)
                return
            async with exchange.cancel_on_caller_disconnect() as caller:
                await self._attempt_until_answered(exchange, call)
                return
        if scope.cancelled_caught:
            raise self._given_up(call, Reason.TIMEOUT, "no target answered in time")
        if caller.cancelled_caught:
            self._log(call, HTTPStatus.BAD_GATEWAY, Reason.CALLER_LEFT)

    async def _attempt_until_answered(self, exchange: Exchange, call: Call):
        excluded: set[str] = set()
        call.mark = fingerprint(
            call.workspace_name, call.head.method, call.head.target, call.body
        )
        while True:
            self._refuse_poison(call)
            state = self._choose(call, excluded)
            excluded.add(state.entry.instance)
            call.note_chosen(state)
            failure = await self._attempt(exchange, call, state)
            if failure is None:
                return
            if exchange.caller_disconnected:
                # Another target would run it for nobody.
                self._log(call, HTTPStatus.BAD_GATEWAY, Reason.CALLER_LEFT)
                return
            if not self._may_try_again(call, failure):
                raise self._given_up(call, failure.reason, str(failure))
            self.metrics.count_retry(failure.reason, call.pool)

    def _refuse_poison(self, call: Call):
        if self.poison.is_stopped(call.mark):
            refusal = self._given_up(
                call, Reason.POISON, "targets died while they ran this request"
            )
            if refusal.retry_after_s is not None:
                refusal.retry_after_s = POISON_RETRY_AFTER_S
            raise refusal

    def _choose(self, call: Call, excluded: set[str]) -> TargetState:
        configuration = self.admission.configuration
        vms = self.members.ready_vms()
        if call.pool not in configuration.pools:
            raise self._given_up(
                call, Reason.NO_TARGET, f"pool {call.pool} is not configured any more"
            )
        state = self.placement.choose(call, configuration, excluded, vms)
        if state is None:
            raise self._given_up(
                call, Reason.NO_ROOM, f"no target of {call.pool} can take it in time"
            )
        return state

    async def _attempt(
        self, exchange: Exchange, call: Call, state: TargetState
    ) -> AttemptFailed | None:
        began_at = trio.current_time()
        call.attempts += 1
        ran_before = call.may_have_run
        # Until the target says otherwise; a cancellation must not lose this.
        call.may_have_run = True
        state.in_flight += 1
        try:
            async with self.forwarder.answer(call, state) as answer:
                took_s = trio.current_time() - began_at
                if self._is_worth_another(call, answer):
                    raise AttemptFailed(
                        Reason.TARGET_ERROR, f"status {answer.head.status}", True
                    )
                await pass_on(exchange, answer)
        except AttemptFailed as failure:
            call.may_have_run = ran_before or failure.may_have_run
            self._learn_from(call, state, failure)
            if failure.reason is Reason.CONNECTION_BROKEN and failure.may_have_run:
                await self._check_crashed(call, state)
            return failure
        finally:
            state.in_flight -= 1
        if answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            state.note_failure()
        else:
            state.note_success()
        self.poison.note_answered(call.mark)
        self.queues.note_answer(state, took_s)
        self.metrics.attempt_latency.observe({"pool": call.pool}, took_s)
        self._log(call, answer.head.status, None, attempt_s=round(took_s, 4))
        return None

    def _is_worth_another(self, call: Call, answer: Answer) -> bool:
        """Tell whether another target may do better than a failed one."""
        return (
            answer.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and call.route.is_idempotent
            and call.attempts < call.route.attempts
            and call.seconds_left > call.route.objective_s / 2
        )

    def _learn_from(self, call: Call, state: TargetState, failure: AttemptFailed):
        if failure.reason in (Reason.CONNECT_FAILED, Reason.OTHER_INSTANCE):
            state.note_unreachable()
        elif failure.reason is not Reason.TARGET_BUSY:
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

    async def _check_crashed(self, call: Call, state: TargetState):
        """Find out whether the target died, or only the answer was lost."""
        try:
            connection = await self.forwarder.connections.open(state)
        except ConnectFailed:
            state.note_unreachable()
            self.poison.note_death(call.mark, state.entry.instance)
            self.log.event(
                "target died under request",
                request_id=call.request.request_id,
                target=state.entry.instance,
                mark=call.mark,
            )
        else:
            await connection.aclose()

    def _may_try_again(self, call: Call, failure: AttemptFailed) -> bool:
        most = call.route.attempts
        if not call.may_have_run:
            most += MORE_ATTEMPTS_NOT_RUN
        elif not call.route.is_idempotent:
            # It may have run. A second run could book a second chair.
            return False
        if call.attempts >= most or call.seconds_left < LEAST_SECONDS_FOR_RETRY:
            return False
        return self.retries.try_spend(call.pool, self.members.count)

    def _given_up(self, call: Call, reason: Reason, message: str) -> Refusal:
        """Return what a caller is told whose request no target answered."""
        if not call.may_have_run:
            if call.workspace is not None:
                self.admission.quotas.give_back(call.workspace, call.taken_at)
            return Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE, reason, message, NO_ROOM_RETRY_AFTER_S
            )
        status = HTTPStatus.BAD_GATEWAY
        if reason is Reason.TIMEOUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        return Refusal(status, reason, message)

    # Answers.

    async def _refuse(
        self,
        exchange: Exchange,
        call: Call | None,
        refusal: Refusal,
        began_at: float,
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
            tried=call.tried if call else [],
            load=call.load if call else None,
            load_age_s=call.load_age_s if call else None,
            may_have_run=call.may_have_run if call else False,
            configuration=self._version,
            took_s=round(trio.current_time() - began_at, 4),
        )
        if exchange.started:
            raise trio.BrokenResourceError
        await exchange.reply(
            refusal.status, refusal_headers(refusal, self.wire), refusal_body(refusal)
        )

    @property
    def _version(self) -> int:
        configuration = self.admission.configuration
        return configuration.version if configuration else 0

    def _log(self, call: Call, status: int, reason: Reason | None, **more):
        took_s = trio.current_time() - call.began_at
        if reason is None:
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
            load=call.load,
            load_age_s=call.load_age_s,
            configuration=self._version,
            took_s=round(took_s, 4),
            **more,
        )


def _request_id(wire, exchange: Exchange) -> str:
    with contextlib.suppress(BadRequest):
        return wire.read_request(exchange.request).request_id
    return ""
