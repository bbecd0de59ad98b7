"""Distinguishes an outage of the store from calls of this VM that fail.

Targets' entries expire while the store is away for all, and missing entries may then
belong to live targets. If the store only rejects this VM, or this VM was cut off, a
missing entry was removed, and its target must get no more requests.

Each VM reports when the store last answered a VM, and for how long it has answered
without a gap. An outage is a gap that the reports of no VM fill.
"""

import math
from collections.abc import Callable
from math import inf

import trio
from attrs import frozen

# Shortest outage in which entries expire: an entry expires 4.5 s after its target's
# last update, and updates are 1.5 s apart. Slightly shorter, as answers take time.
MIN_OUTAGE_S = 2.8
# Longest time between two answers of a store that works, in intervals between polls.
MAX_GAP_POLLS = 1.5
# Longer times without a gap are reported as this one.
MAX_REPORTED_S = 60.0


@frozen
class ContactReport:
    """What a VM knows of the store's answers to all VMs.

    Parameters
    ----------
    answered_s_ago : float
        Time since the store last answered a VM, rounded up to 0.1 s.
    available_s : int
        How long it has answered without an outage, as far as the VM has observed.
    """

    answered_s_ago: float
    available_s: int

    def aged(self, seconds: float) -> "ContactReport":
        """Return the report as it is after the given time."""
        return _make_report(self.answered_s_ago + seconds, self.available_s + seconds)


def _make_report(answered_s_ago: float, available_s: float) -> ContactReport:
    # Rounded up and down: VMs pass reports on, and must not claim more each time.
    return ContactReport(math.ceil(answered_s_ago * 10) / 10, math.floor(available_s))


class StoreContact:
    """When the store answered any VM, from this VM's calls and others' reports.

    Parameters
    ----------
    poll_interval_s : callable
        Returns the interval between two polls of a failure domain, in seconds.

    Attributes
    ----------
    answered_at : float
        When the store last answered a VM; minus infinity until it has.
    outage_ended_at : float
        When the store answered for the first time after its last outage; minus
        infinity if none is known.
    on_outage_refuted : callable
        Called if a report shows that what seemed an outage was none.
    """

    def __init__(self, poll_interval_s: Callable[[], float] = lambda: 0.0):
        self.poll_interval_s = poll_interval_s
        self.answered_at = -inf
        self.outage_ended_at = -inf
        self.on_outage_refuted: Callable[[], None] = lambda: None
        self._first_answer_at = inf
        self._outage_began_at = -inf
        self._earlier_outage_ended_at = -inf

    @property
    def min_outage_s(self) -> float:
        """Length from which a gap between two answers is an outage."""
        return max(MIN_OUTAGE_S, MAX_GAP_POLLS * self.poll_interval_s())

    @property
    def excludes_outage(self) -> bool:
        """Whether the store certainly had no outage in which entries expire."""
        answered_s_ago = trio.current_time() - self.answered_at
        notices_all = self.min_outage_s <= MIN_OUTAGE_S
        return notices_all and answered_s_ago < MIN_OUTAGE_S

    @property
    def outage_over_for_s(self) -> float:
        """Time since the last known outage ended; infinite if there was none."""
        return trio.current_time() - self.outage_ended_at

    def report(self) -> ContactReport | None:
        """Return what this VM tells the others; None if it knows of no answer."""
        if self.answered_at == -inf:
            return None
        now = trio.current_time()
        available_since = max(self._first_answer_at, self.outage_ended_at)
        return _make_report(
            now - self.answered_at, min(MAX_REPORTED_S, now - available_since)
        )

    def note_answer(self):
        """Record that the store answered a call of this VM."""
        self._note_answer_at(trio.current_time())

    def merge(self, report: ContactReport | None):
        """Record the report of another VM; None if it sent none."""
        if report is None:
            return
        now = trio.current_time()
        answers = now - report.available_s, now - report.answered_s_ago
        if self._fills(answers, (self.answered_at, answers[1])):
            self.answered_at = answers[1]
        else:
            self._note_answer_at(answers[1])
        if self._fills(answers, (self._outage_began_at, self.outage_ended_at)):
            self._outage_began_at = -inf
            self.outage_ended_at = self._earlier_outage_ended_at
            self.on_outage_refuted()

    def _note_answer_at(self, at: float):
        if self.answered_at == -inf:
            self._first_answer_at = at
        elif at - self.answered_at >= self.min_outage_s:
            self._outage_began_at = self.answered_at
            self._earlier_outage_ended_at = self.outage_ended_at
            self.outage_ended_at = at
        self.answered_at = max(self.answered_at, at)

    def _fills(self, answers: tuple[float, float], gap: tuple[float, float]) -> bool:
        """Return whether answers from one time to another leave no part of an outage.

        False if the gap is too short for an outage.
        """
        (since, until), (began_at, ended_at) = answers, gap
        shortest_s = self.min_outage_s
        if began_at == -inf or ended_at - began_at < shortest_s:
            return False
        return since - began_at < shortest_s and ended_at - until < shortest_s
