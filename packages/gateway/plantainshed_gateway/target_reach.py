"""Detection of a VM that reaches no target although the targets are running.

A failed connection to one target says nothing about the others. If several targets
that are likely to be up refuse connections or do not answer at the same time, the links
of this VM are the cause: it is cut off from the targets.
"""

import contextlib
from enum import Enum
from random import Random

import trio
from attrs import define, field

from .selection.registry import Registry, TargetState

# Time without an answer, while requests wait for one, after which targets are probed.
SILENCE_S = 1.0
# Time without an answer after which requests of a VM that is cut off are sent again.
# Connections that live on still answer.
MIN_SILENCE_S = 0.5
# Minimum time between two checks that failed requests cause.
CHECK_INTERVAL_S = 0.5
# Number of targets that must be unreachable at once for this VM to count as cut off.
PROBED_TARGETS = 3


class Distance(Enum):
    """Where a target is, seen from this VM."""

    OWN_DOMAIN = "own failure domain"
    OWN_REGION = "own region"
    OTHER_REGION = "other region"


@define
class TargetReach:
    """Whether this VM reaches any target.

    Parameters
    ----------
    registry : Registry
    region, failure_domain : str
        Of this VM.

    Attributes
    ----------
    is_cut_off : bool
        Whether this VM reaches no target.
    cut_off_since : float
        When `is_cut_off` was last set.
    proven_at : float
        When an answer last arrived on a new connection. Connections that were open
        before a cut may live on, and something on the way may accept new ones.
    heard_at : float
        When a target last answered, or, if it was later, when requests began to wait.
    checked_at : float
        When the last check ended.
    has_failed_since_check : bool
        Whether a connection failed since, too soon for another check.
    waiting : int
        Number of requests that wait for an answer.
    repeatable : set of trio.CancelScope
        Scopes of the idempotent ones among them.
    suspected : trio.Event
        Set when something suggests that this VM may be cut off.
    """

    registry: Registry
    region: str
    failure_domain: str
    is_cut_off: bool = False
    cut_off_since: float = float("-inf")
    proven_at: float = float("-inf")
    suspected: trio.Event = field(factory=trio.Event)
    random: Random = field(factory=Random)
    heard_at: float = float("-inf")
    checked_at: float = float("-inf")
    has_failed_since_check: bool = False
    waiting: int = 0
    repeatable: set[trio.CancelScope] = field(factory=set)

    @contextlib.contextmanager
    def waiting_for_answer(self, is_idempotent: bool):
        """Count a request as waiting for its answer for the duration of a block.

        If this VM is cut off meanwhile, the block is cancelled for an idempotent
        request, so that another VM can send it. Yields the scope that is cancelled.
        """
        began_at = trio.current_time()
        if not self.waiting:
            self.heard_at = began_at
        self.waiting += 1
        with trio.CancelScope() as scope:
            if is_idempotent:
                self.repeatable.add(scope)
            try:
                yield scope
            except trio.Cancelled:
                if self.heard_at <= began_at:
                    # Callers' deadlines may be too short for `check_silence`.
                    self.note_failed()
                raise
            finally:
                self.waiting -= 1
                self.repeatable.discard(scope)

    def note_answer(self, is_first: bool = False):
        """Record an answer of any target.

        Parameters
        ----------
        is_first : bool
            Whether it is the first answer on its connection.
        """
        self.heard_at = trio.current_time()
        if is_first:
            self.proven_at = self.heard_at
            self._clear_suspicion()

    def _clear_suspicion(self):
        self.has_failed_since_check = False
        # Tasks wait for an event that is not set, so it must not be replaced.
        if self.suspected.is_set():
            self.suspected = trio.Event()

    def note_failed(self):
        """Record that a connection to a target failed or broke."""
        if trio.current_time() - self.checked_at >= CHECK_INTERVAL_S:
            self.suspected.set()
        else:
            self.has_failed_since_check = True

    def check_silence(self):
        """Suspect a cut if no target answers, or one failed just after a check."""
        is_silent = trio.current_time() - self.heard_at >= SILENCE_S
        if self.has_failed_since_check or (self.waiting and is_silent):
            self.note_failed()

    def end_check(self, is_cut_off: bool):
        """Record the result of a check."""
        self.checked_at = trio.current_time()
        self.has_failed_since_check = False
        if is_cut_off:
            # Wakes the task that looks for the end of the cut.
            self.suspected.set()
        else:
            self._clear_suspicion()
        if is_cut_off and not self.is_cut_off:
            self.cut_off_since = self.checked_at
            if self.checked_at - self.heard_at >= MIN_SILENCE_S:
                self._cancel_repeatable()
        self.is_cut_off = is_cut_off

    def _cancel_repeatable(self):
        for scope in self.repeatable:
            scope.cancel()

    def targets_to_check(self) -> list[TargetState]:
        """Return targets whose connections tell whether this VM is cut off.

        They are the likeliest to be up, and as different as possible: from the own
        failure domain, the rest of the region, and other regions, and of different
        pools. A partition between regions, or the loss of a whole pool, leaves some of
        them reachable.
        """
        chosen: list[TargetState] = []
        by_likelihood = sorted(
            self._candidates(), key=lambda s: (s.is_ejected, -s.answered_at)
        )
        for distance in Distance:
            there = [s for s in by_likelihood if self._distance(s) is distance]
            pools = {s.entry.pool for s in chosen}
            chosen += [*(s for s in there if s.entry.pool not in pools), *there][:1]
        chosen += [s for s in by_likelihood if s not in chosen]
        return chosen[:PROBED_TARGETS]

    def targets_to_retry(self) -> list[TargetState]:
        """Return two targets, drawn at random, to find out whether a cut has ended."""
        candidates = self._candidates()
        return self.random.sample(candidates, min(2, len(candidates)))

    def _candidates(self) -> list[TargetState]:
        now = trio.current_time()
        states = [s for s in self.registry.states.values() if not s.is_draining]
        # The others cannot be asked for an answer.
        return [s for s in states if s.may_be_checked_at(now)] or states

    def _distance(self, state: TargetState) -> Distance:
        domain = state.entry.failure_domain
        if domain == self.failure_domain:
            return Distance.OWN_DOMAIN
        if self.registry.region_of.get(domain) == self.region:
            return Distance.OWN_REGION
        return Distance.OTHER_REGION
