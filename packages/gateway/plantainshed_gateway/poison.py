"""Detection of poison requests: requests that crash the targets that run them.

If a caller repeats such a request, every attempt crashes another target, which comes
back cold, until the pool is empty. Requests are therefore refused after they crashed a
few targets.

A target counts as crashed when a connection breaks during a request and a new
connection is refused a moment later; a lost answer alone does not count. A crash is
identified by the run of the target that it ended, so that a target which restarts under
its name can crash again, and VMs that notice the same crash count it once. VMs share
crashes in their heartbeats.

A blocked request may be harmless: its targets may have crashed for another reason.
After a while, one VM of the fleet sends it to a target once. If that is answered, the
record is cleared on all VMs; if it crashes another target, the request is refused for
twice as long.
"""

import math
from collections.abc import Callable

import trio
import xxhash
from attrs import define, field

# Number of targets that a request has to crash before it is refused. Two can be a
# coincidence, when several targets crash at once and an object moves from one to the
# next.
CRASHES_TO_BLOCK = 3
# How long a crash counts, and how long a request is refused after the crash that
# blocks it. Each further crash doubles the time.
BLOCK_S = 30.0
MAX_BLOCK_S = 600.0
# A blocked request is forgotten after this many times the time for which it is refused.
# Until then, only the VM that is selected to try it sends it to a target.
FORGET_PERIODS = 4
# How long a VM waits for the outcome of a trial before the next one.
TRIAL_S = 5.0
# How long VMs report that a blocked request was answered.
REPORT_ANSWER_S = 3.0
# Stands for the run of a target in reports of an answer.
ANSWERED = ""
# How long forgotten crashes are remembered, so that late reports do not restore them.
TOMBSTONE_S = 300.0
MAX_RECORDS = 1000
# Maximum number of crashes in a heartbeat.
MAX_REPORTED = 16


def compute_fingerprint(
    workspace: str | None, method: str, target: str, body: bytes
) -> str:
    """Return a hash that identifies a request when it is repeated."""
    digest = xxhash.xxh3_64()
    for part in (workspace or "", method, target):
        digest.update(part.encode() + b"\x00")
    digest.update(body)
    return digest.hexdigest()


def is_selected_to_try(fingerprint: str, vm: str, vms: list[str]) -> bool:
    """Return whether a VM is the one that tries a blocked request."""
    others = (_trial_rank(fingerprint, other) for other in vms)
    return _trial_rank(fingerprint, vm) >= max(others, default=(0, ""))


def _trial_rank(fingerprint: str, vm: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{fingerprint} {vm}".encode()), vm


@define
class _Record:
    """Crashes of one request.

    Attributes
    ----------
    crashes : dict of str to float
        Runs of targets that it has crashed, and when this VM learned of each. Empty
        once the request was answered.
    forgotten : set of str
        Runs that no longer count.
    tried_at : float
        When this VM last sent it to a target although it was blocked.
    answered_at : float
        When it was last answered while it was blocked.
    ended_at : float
        When its crashes last ceased to count.
    """

    crashes: dict[str, float] = field(factory=dict)
    forgotten: set[str] = field(factory=set)
    tried_at: float = -math.inf
    answered_at: float = -math.inf
    ended_at: float = -math.inf

    @property
    def has_blocking_crashes(self) -> bool:
        """Whether it has crashed enough targets to be refused."""
        return len(self.crashes) >= CRASHES_TO_BLOCK

    @property
    def blocked_until(self) -> float:
        """When the request may be tried again."""
        further = max(0, len(self.crashes) - CRASHES_TO_BLOCK)
        return self._crashed_at + min(MAX_BLOCK_S, BLOCK_S * 2**further)

    @property
    def counts_until(self) -> float:
        """When its crashes no longer count."""
        periods = FORGET_PERIODS if self.has_blocking_crashes else 1
        return self._crashed_at + periods * (self.blocked_until - self._crashed_at)

    @property
    def _crashed_at(self) -> float:
        return max(self.crashes.values(), default=-math.inf)

    def forget(self, now: float):
        """Count none of its crashes any more."""
        self.forgotten.update(self.crashes)
        self.crashes.clear()
        self.ended_at = now


class PoisonTracker:
    """Records which requests crashed which targets, on this VM and on others."""

    def __init__(self):
        self._records: dict[str, _Record] = {}

    def note_crash(self, fingerprint: str, run: str):
        """Record that a run of a target crashed while it ran a request."""
        now = trio.current_time()
        record = self._records.setdefault(fingerprint, _Record())
        if run in record.crashes or run in record.forgotten:
            return
        if record.crashes and now >= record.counts_until:
            record.forget(now)
        record.crashes[run] = now

    def note_answered(self, fingerprint: str):
        """Clear the record of a request that was answered."""
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return
        now = trio.current_time()
        if record.has_blocking_crashes:
            record.answered_at = now
        record.forget(now)

    def is_blocked(
        self, fingerprint: str, is_selected: Callable[[str], bool] = lambda _: True
    ) -> bool:
        """Return whether a request is refused now.

        Parameters
        ----------
        fingerprint : str
        is_selected : callable
            Returns whether this VM is to try the request once it may be tried again.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.has_blocking_crashes:
            return False
        now = trio.current_time()
        if now >= record.counts_until:
            return False
        if now < record.blocked_until or now < record.tried_at + TRIAL_S:
            return True
        if not is_selected(fingerprint):
            return True
        record.tried_at = now
        return False

    def recent_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return the most recent crashes and answers, to send to other VMs."""
        now = trio.current_time()
        self._remove_old_records(now)
        recent = []
        for fingerprint, record in self._records.items():
            if now < record.answered_at + REPORT_ANSWER_S:
                recent.append((record.answered_at, fingerprint, ANSWERED))
            elif now < record.counts_until:
                recent += [(at, fingerprint, run) for run, at in record.crashes.items()]
        newest = sorted(recent, reverse=True)[:MAX_REPORTED]
        return tuple((fingerprint, run) for _, fingerprint, run in newest)

    def merge(self, reported: tuple[tuple[str, str], ...]):
        """Merge the crashes and answers that another VM reported."""
        for fingerprint, run in reported:
            if run != ANSWERED:
                self.note_crash(fingerprint, run)
            elif fingerprint in self._records:
                self._records[fingerprint].forget(trio.current_time())

    def _remove_old_records(self, now: float):
        for fingerprint, record in list(self._records.items()):
            ends_at = record.counts_until if record.crashes else record.ended_at
            if now > ends_at + TOMBSTONE_S or len(self._records) > MAX_RECORDS:
                del self._records[fingerprint]
