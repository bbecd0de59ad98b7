"""Sending a request to targets until one answers, or nothing more may be tried.

Another attempt is made only where nothing can have run, or where running twice
does no harm, and then within the retry budget and the deadline.
"""

from collections.abc import Awaitable, Callable

import trio

from .call import Call
from .errors import AttemptFailed, Refusal
from .metrics import Metrics
from .poison import PoisonBook
from .reasons import Outcome, Reason, RetryReason
from .retry_budget import RetryBudget
from .routing import Routing
from .targets import TargetState, TargetTable

MAX_ATTEMPTS = 3
MAX_ATTEMPTS_NOT_RUN = 6
POISON_RETRY_AFTER_S = 60.0
FAILED_RETRY_AFTER_S = 1.0

Relay = Callable[[Call, TargetState], Awaitable[None]]


class Attempts:
    """Carries a request to a target, and to others when that is allowed.

    Parameters
    ----------
    routing : Routing
    targets : TargetTable
    poison : PoisonBook
    metrics : Metrics
    relay : callable
        Runs one attempt at one target; raises `AttemptFailed`.
    """

    def __init__(
        self,
        routing: Routing,
        targets: TargetTable,
        poison: PoisonBook,
        metrics: Metrics,
        relay: Relay,
    ):
        self.routing = routing
        self.targets = targets
        self.poison = poison
        self.metrics = metrics
        self.relay = relay
        self.budget = RetryBudget()

    async def run(self, call: Call):
        """Have a request answered by a target, or raise `Refusal`."""
        try:
            await self._run(call)
        except Refusal as refusal:
            # The last attempt may not have run, or never have begun, and still
            # an earlier one may have: "not run" would be false.
            if call.may_have_run:
                refusal.outcome = Outcome.UNKNOWN
            raise

    async def _run(self, call: Call):
        self.budget.earn()
        excluded: set[str] = set()
        while True:
            self._refuse_poison(call)
            marked = self.poison.is_marked(call.fingerprint)
            excluded |= self.poison.targets_marked_by(call.fingerprint)
            async with self.routing.slot(call, excluded, alone=marked) as state:
                failure = await self._attempt(call, state, marked)
            if failure is None:
                return
            excluded.add(state.target.name)
            reason = self._reason_to_retry(call, failure)
            if reason is None:
                raise _refusal_for(failure)
            self.metrics.count_retry(reason)

    def _refuse_poison(self, call: Call):
        if self.poison.is_stopped(call.fingerprint):
            raise Refusal(
                Reason.POISON,
                "targets died while they ran this same request; it is stopped for now",
                retry_after_s=POISON_RETRY_AFTER_S,
            )

    async def _attempt(
        self, call: Call, state: TargetState, marked: bool
    ) -> AttemptFailed | None:
        call.attempts += 1
        began_at = trio.current_time()
        try:
            await self.relay(call, state)
        except AttemptFailed as failure:
            self._learn_from(call, state, failure, marked)
            return failure
        seconds = trio.current_time() - began_at
        state.note_success(seconds)
        self.poison.note_success(call.fingerprint)
        self.targets.note_service_time(call.pool.name, seconds)
        return None

    def _learn_from(
        self, call: Call, state: TargetState, failure: AttemptFailed, marked: bool
    ):
        call.may_have_run |= failure.outcome is Outcome.UNKNOWN
        if failure.crashed:
            self.poison.note_crash(call.fingerprint, state.target.name, alone=marked)
        if failure.is_target_fault:
            self.targets.note_failure(state.target.name)
            if failure.outcome is Outcome.NOT_RUN:
                self.targets.note_refused(state.target.name)

    def _reason_to_retry(self, call: Call, failure: AttemptFailed):
        """Return why another attempt may be made, None if none may."""
        exchange = call.exchange
        if exchange is not None and (exchange.started or call.body is None):
            return None
        most = MAX_ATTEMPTS
        if failure.outcome is Outcome.NOT_RUN:
            most = MAX_ATTEMPTS_NOT_RUN
        if call.attempts >= most or call.seconds_left <= 0:
            return None
        if failure.outcome is Outcome.NOT_RUN:
            reason = (
                RetryReason.CONNECT_FAILED
                if failure.is_target_fault
                else RetryReason.SHED
            )
        elif call.is_idempotent:
            reason = RetryReason.IDEMPOTENT
        else:
            # It may have run. A second run could book a second chair.
            return None
        return reason if self.budget.try_spend() else None


def _refusal_for(failure: AttemptFailed) -> Refusal:
    reason = Reason.TARGET_FAILED if failure.is_target_fault else Reason.NO_ROOM
    return Refusal(reason, str(failure), failure.outcome, FAILED_RETRY_AFTER_S)
