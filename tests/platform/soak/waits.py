"""Measures when, and for how long, the processes of a VM waited for a CPU."""

import contextlib
from pathlib import Path

import trio
from attrs import define, field, frozen

SAMPLE_PERIOD_S = 0.05


def cpu_times_s(pid: int) -> tuple[float, float]:
    """Return how long a process has run on a CPU and has waited for one."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran) / 1e9, int(waited) / 1e9


def sample_process(pid: int) -> "SchedstatSample":
    """Read the CPU and waiting times that the kernel has counted for a process."""
    since = trio.current_time()
    ran_s, waited_s = cpu_times_s(pid)
    return SchedstatSample(since, trio.current_time(), ran_s, waited_s)


@frozen
class SchedstatSample:
    """CPU and waiting times of a process, as counted by the kernel.

    Parameters
    ----------
    since, until : float
        Time before and after the read.
    ran_s, waited_s : float
        Totals since the process started.
    """

    since: float
    until: float
    ran_s: float = 0.0
    waited_s: float = 0.0


@frozen
class CpuWait:
    """CPU waiting time, in one or several pieces, within an interval.

    Parameters
    ----------
    began_at, ended_at : float
        Interval that contains all of the waiting time.
    waited_s : float
        Total waiting time.
    """

    began_at: float
    ended_at: float
    waited_s: float

    def min_within(self, since: float, until: float) -> float:
        """Return the least waiting time that must lie between two times."""
        common_s = min(self.ended_at, until) - max(self.began_at, since)
        if common_s <= 0:
            return 0.0
        outside_s = self.ended_at - self.began_at - common_s
        return min(common_s, max(0.0, self.waited_s - outside_s))


@define
class CpuWaits:
    """CPU waiting times of the successive processes of a VM.

    Attributes
    ----------
    intervals : list of CpuWait
    ran_s, waited_s : float
        Totals over all processes.
    ran_after : float
        Lower limit for the start of the next wait: the current process is known to
        have run after this time.
    """

    intervals: list[CpuWait] = field(factory=list)
    ran_s: float = 0.0
    waited_s: float = 0.0
    ran_after: float = 0.0
    last_sample: SchedstatSample = SchedstatSample(0.0, 0.0)
    timeout_scopes: list[trio.CancelScope] = field(factory=list)

    async def watch(self, process: trio.Process):
        """Sample a process periodically until it exits."""
        while process.returncode is None:
            self.add_sample(sample_process(process.pid))
            await trio.sleep(SAMPLE_PERIOD_S)

    def start_process(self):
        """Reset the counters for a new process."""
        now = trio.current_time()
        self.last_sample, self.ran_after = SchedstatSample(now, now), now

    def add_sample(self, sample: SchedstatSample):
        """Add the difference from the last sample to the waits and totals.

        The kernel counts a wait only when it ends, so the wait may have begun before
        the last sample.
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
        """Return the least waiting time between two times, in seconds."""
        return sum(wait.min_within(since, until) for wait in self.intervals)

    def longer_than(self, least_s: float) -> list[float]:
        """Return the waits between two samples that exceed a limit, in seconds."""
        waits = [wait.waited_s for wait in self.intervals if wait.waited_s > least_s]
        return [round(wait_s, 2) for wait_s in waits]

    @contextlib.contextmanager
    def timeout(self, limit_s: float):
        """Cancel a block after a time limit plus the process's CPU waiting time.

        If a caller gave up sooner, it would not show whether the VM ever responds.
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
