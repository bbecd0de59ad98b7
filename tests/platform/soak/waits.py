"""How long the processes of a VM waited for a processor, and when."""

import contextlib
from pathlib import Path

import trio
from attrs import define, field, frozen

SAMPLE_PERIOD_S = 0.05


def cpu_times_s(pid: int) -> tuple[float, float]:
    """Return how long a process has had a processor, and has waited for one."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran) / 1e9, int(waited) / 1e9


def sample_process(pid: int) -> "SchedstatSample":
    """Read what the kernel has counted of a process."""
    since = trio.current_time()
    ran_s, waited_s = cpu_times_s(pid)
    return SchedstatSample(since, trio.current_time(), ran_s, waited_s)


@frozen
class SchedstatSample:
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
class CpuWait:
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

    def min_within(self, since: float, until: float) -> float:
        """Return how much of it lies between two times in any case."""
        common_s = min(self.ended_at, until) - max(self.began_at, since)
        if common_s <= 0:
            return 0.0
        outside_s = self.ended_at - self.began_at - common_s
        return min(common_s, max(0.0, self.waited_s - outside_s))


@define
class CpuWaits:
    """What the processes of a VM waited, one process after the other.

    Attributes
    ----------
    intervals : list of Wait
    ran_s, waited_s : float
        Sums over all processes.
    ran_after : float
        The present process has run later than this; what it is found to have
        waited next began later, too.
    """

    intervals: list[CpuWait] = field(factory=list)
    ran_s: float = 0.0
    waited_s: float = 0.0
    ran_after: float = 0.0
    last_sample: SchedstatSample = SchedstatSample(0.0, 0.0)
    timeout_scopes: list[trio.CancelScope] = field(factory=list)

    async def watch(self, process: trio.Process):
        """Read a process again and again until it ends."""
        while process.returncode is None:
            self.add_sample(sample_process(process.pid))
            await trio.sleep(SAMPLE_PERIOD_S)

    def start_process(self):
        """Expect readings of a new process."""
        now = trio.current_time()
        self.last_sample, self.ran_after = SchedstatSample(now, now), now

    def add_sample(self, sample: SchedstatSample):
        """Take in a sample.

        The kernel counts a wait once it is over, so it may have begun before
        the reading before.
        """
        last, self.last_sample = self.last_sample, sample
        waited_s = sample.waited_s - last.waited_s
        if waited_s > 0:
            began_at = max(self.ran_after, last.since - waited_s)
            self.intervals.append(CpuWait(began_at, sample.until, waited_s))
            self._extend_timeouts(waited_s)
        if sample.ran_s > last.ran_s:
            self.ran_after = last.since
        self.waited_s += waited_s
        self.ran_s += sample.ran_s - last.ran_s

    def min_within(self, since: float, until: float) -> float:
        """Return how long was waited between two times in any case, in seconds."""
        return sum(wait.min_within(since, until) for wait in self.intervals)

    def longer_than(self, least_s: float) -> list[float]:
        """Return the waits between two readings that were longer, in seconds."""
        waits = [wait.waited_s for wait in self.intervals if wait.waited_s > least_s]
        return [round(wait_s, 2) for wait_s in waits]

    @contextlib.contextmanager
    def timeout(self, limit_s: float):
        """Cancel a block after so many seconds and those that the process waited.

        A request given up sooner would not show whether its VM ever answers.
        """
        with trio.move_on_after(limit_s) as scope:
            self.timeout_scopes.append(scope)
            try:
                yield
            finally:
                self.timeout_scopes.remove(scope)

    def _extend_timeouts(self, seconds: float):
        for scope in self.timeout_scopes:
            scope.deadline += seconds
