"""How long the processes of a VM waited for a processor, and when."""

import contextlib
from pathlib import Path

import trio
from attrs import define, field, frozen

READ_PERIOD_S = 0.05


def scheduled_s(pid: int) -> tuple[float, float]:
    """Return how long a process has had a processor, and has waited for one."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran) / 1e9, int(waited) / 1e9


def read(pid: int) -> "Reading":
    """Read what the kernel has counted of a process."""
    since = trio.current_time()
    ran_s, waited_s = scheduled_s(pid)
    return Reading(since, trio.current_time(), ran_s, waited_s)


@frozen
class Reading:
    """What the kernel had counted of a process.

    Parameters
    ----------
    since, until : float
        Between which it was read.
    ran_s, waited_s : float
        Since the process began.
    """

    since: float
    until: float
    ran_s: float = 0.0
    waited_s: float = 0.0


@frozen
class Wait:
    """Waiting in one piece or several, somewhere in a time.

    Parameters
    ----------
    began_at, ended_at : float
        Between which all of it lies.
    waited_s : float
    """

    began_at: float
    ended_at: float
    waited_s: float

    def least_within(self, since: float, until: float) -> float:
        """Return how much of it lies between two times in any case."""
        common_s = min(self.ended_at, until) - max(self.began_at, since)
        if common_s <= 0:
            return 0.0
        outside_s = self.ended_at - self.began_at - common_s
        return min(common_s, max(0.0, self.waited_s - outside_s))


@define
class Waits:
    """What the processes of a VM waited, one process after the other.

    Attributes
    ----------
    found : list of Wait
    ran_s, waited_s : float
        Sums over all processes.
    ran_after : float
        The present process has run later than this; what it is found to have
        waited next began later, too.
    """

    found: list[Wait] = field(factory=list)
    ran_s: float = 0.0
    waited_s: float = 0.0
    ran_after: float = 0.0
    last: Reading = Reading(0.0, 0.0)
    patient: list[trio.CancelScope] = field(factory=list)

    async def watch(self, process: trio.Process):
        """Read a process again and again until it ends."""
        while process.returncode is None:
            self.note(read(process.pid))
            await trio.sleep(READ_PERIOD_S)

    def begin(self):
        """Expect readings of a new process."""
        now = trio.current_time()
        self.last, self.ran_after = Reading(now, now), now

    def note(self, reading: Reading):
        """Take in a reading.

        The kernel counts a wait once it is over, so it may have begun before
        the reading before.
        """
        last, self.last = self.last, reading
        waited_s = reading.waited_s - last.waited_s
        if waited_s > 0:
            began_at = max(self.ran_after, last.since - waited_s)
            self.found.append(Wait(began_at, reading.until, waited_s))
            self._give_time(waited_s)
        if reading.ran_s > last.ran_s:
            self.ran_after = last.since
        self.waited_s += waited_s
        self.ran_s += reading.ran_s - last.ran_s

    def least_within(self, since: float, until: float) -> float:
        """Return how long was waited between two times in any case, in seconds."""
        return sum(wait.least_within(since, until) for wait in self.found)

    def longer_than(self, least_s: float) -> list[float]:
        """Return the waits between two readings that were longer, in seconds."""
        waits = [wait.waited_s for wait in self.found if wait.waited_s > least_s]
        return [round(wait_s, 2) for wait_s in waits]

    @contextlib.contextmanager
    def patience(self, limit_s: float):
        """Cancel a block after so many seconds and those that the process waited.

        A request given up sooner would not show whether its VM ever answers.
        """
        with trio.move_on_after(limit_s) as scope:
            self.patient.append(scope)
            try:
                yield
            finally:
                self.patient.remove(scope)

    def _give_time(self, seconds: float):
        for scope in self.patient:
            scope.deadline += seconds
