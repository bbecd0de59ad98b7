"""Attempts and retries of a request at targets.

A request is retried only if it cannot have run, or if it is idempotent, and only within
the retry budget and the deadline.
"""

from collections.abc import Awaitable, Callable

import trio

from .call import Call
from .errors import AttemptFailed, Refusal
from .metrics import Metrics
from .poison import PoisonTracker
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
    """Sends a request to a target and retries at other targets where allowed.

    Parameters
    ----------
    routing : Routing
    targets : TargetTable
    poison : PoisonTracker
    metrics : Metrics
    relay : callable
        Runs one attempt at one target; raises `AttemptFailed` if it fails.
    """

    def __init__(
        self,
        routing: Routing,
        targets: TargetTable,
        poison: PoisonTracker,
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
        """Relay a request to a target until it is answered, or raise `Refusal`."""
        try:
            await self._run(call)
        except Refusal as refusal:
            # An earlier attempt may have run even if the last one did not run or
            # was never started, so the outcome "not run" would be wrong.
            if call.may_have_run:
                refusal.outcome = Outcome.UNKNOWN
            raise

    async def _run(self, call: Call):
        self.budget.deposit()
        excluded: set[str] = set()
        while True:
            self._check_poison(call)
            is_suspect = self.poison.is_suspect(call.fingerprint)
            excluded |= self.poison.crashed_targets(call.fingerprint)
            async with self.routing.slot(call, excluded, exclusive=is_suspect) as state:
                failure = await self._attempt(call, state, is_suspect)
            if failure is None:
                return
            excluded.add(state.target.name)
            reason = self._retry_reason(call, failure)
            if reason is None:
                raise _refusal_for(failure)
            self.metrics.count_retry(reason)

    def _check_poison(self, call: Call):
        if self.poison.is_blocked(call.fingerprint):
            raise Refusal(
                Reason.POISON,
                "targets crashed while they ran this request; it is refused for now",
                retry_after_s=POISON_RETRY_AFTER_S,
            )

    async def _attempt(
        self, call: Call, state: TargetState, is_suspect: bool
    ) -> AttemptFailed | None:
        call.attempts += 1
        began_at = trio.current_time()
        try:
            await self.relay(call, state)
        except AttemptFailed as failure:
            self._record_failure(call, state, failure, is_suspect)
            return failure
        seconds = trio.current_time() - began_at
        state.note_success(seconds)
        self.poison.note_success(call.fingerprint)
        self.targets.note_service_time(call.pool.name, seconds)
        return None

    def _record_failure(
        self, call: Call, state: TargetState, failure: AttemptFailed, is_suspect: bool
    ):
        call.may_have_run |= failure.outcome is Outcome.UNKNOWN
        if failure.crashed:
            self.poison.note_crash(
                call.fingerprint, state.target.name, isolated=is_suspect
            )
        if failure.is_target_fault:
            self.targets.note_failure(state.target.name)
            if failure.outcome is Outcome.NOT_RUN:
                self.targets.note_connect_refused(state.target.name)

    def _retry_reason(self, call: Call, failure: AttemptFailed):
        """Return the reason for a retry, or None if no retry is allowed."""
        exchange = call.exchange
        if exchange is not None and (exchange.started or call.body is None):
            return None
        max_attempts = MAX_ATTEMPTS
        if failure.outcome is Outcome.NOT_RUN:
            max_attempts = MAX_ATTEMPTS_NOT_RUN
        if call.attempts >= max_attempts or call.seconds_left <= 0:
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
            # The request may have run, and running it again could have its effect
            # twice, for example a second booking.
            return None
        return reason if self.budget.try_spend() else None


def _refusal_for(failure: AttemptFailed) -> Refusal:
    reason = Reason.TARGET_FAILED if failure.is_target_fault else Reason.NO_ROOM
    return Refusal(reason, str(failure), failure.outcome, FAILED_RETRY_AFTER_S)
