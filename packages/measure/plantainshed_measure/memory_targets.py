"""Simulated targets that count their requests and can shed load, drain and crash."""

from collections import Counter

import trio
from attrs import define, field

from plantainshed_entry.call import Call
from plantainshed_entry.errors import AttemptFailed
from plantainshed_entry.reasons import Outcome
from plantainshed_entry.targets import ProbeResult

POISON_PATH = "/poison"


@define
class MemoryTarget:
    """A simulated back end.

    Attributes
    ----------
    reports_healthy_when_down : bool
        Whether health probes succeed while the target is down.
    most_running : int
        Largest number of requests that ran at the same time.
    shed : int
        Number of requests refused because all slots were in use.
    runs : collections.Counter
        Number of runs of each request, by operation id or request id.
    started : list of (float, Call)
        Start time and call of each run.
    """

    name: str
    failure_domain: str
    slots: int
    service_time_s: float
    is_down: bool = False
    is_draining: bool = False
    reports_healthy_when_down: bool = False
    running: int = 0
    most_running: int = 0
    shed: int = 0
    runs: Counter = field(factory=Counter)
    started: list[tuple[float, Call]] = field(factory=list)
    _crash: trio.Event = field(factory=trio.Event)

    async def run(self, call: Call):
        """Run a request to completion or raise `AttemptFailed`."""
        if self.is_down:
            raise AttemptFailed(f"{self.name} is down", Outcome.NOT_RUN)
        if self.running >= self.slots:
            self.shed += 1
            raise AttemptFailed("shed", Outcome.NOT_RUN, is_target_fault=False)
        self.runs[str(call.operation or call.request_id)] += 1
        self.started.append((trio.current_time(), call))
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        crash = self._crash
        try:
            if call.path.endswith(POISON_PATH):
                await trio.sleep(self.service_time_s / 4)
                self.crash()
            with trio.move_on_after(self.service_time_s):
                await crash.wait()
        finally:
            self.running -= 1
        if crash.is_set():
            raise AttemptFailed(f"{self.name} crashed", Outcome.UNKNOWN, crashed=True)

    def crash(self):
        """Crash: requests in progress get no response."""
        self.is_down = True
        self._crash.set()
        self._crash = trio.Event()

    def probe(self) -> ProbeResult:
        """Return the result of a health probe."""
        if self.is_down and not self.reports_healthy_when_down:
            return ProbeResult(healthy=False, draining=False, load=0.0)
        return ProbeResult(True, self.is_draining, float(self.running))
