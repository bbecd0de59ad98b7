"""What all VMs together know of the load of targets, pools and objects.

This is designed for fleets in which one VM sees too little to choose well: with 80 VMs
and 76 targets, a VM gets an answer of a given target every 15 s, and the load that an
answer names is outdated after less than a second. Each VM therefore measures its own
part, the requests that it has in flight and those that its callers send, and reports it
to the others in messages that are sent anyway. The sums are the load of the fleet.

The reports are averages over about a second. They are up to a second old when they
arrive, so they tell which targets are busier than others, not how long a queue is now.

Nothing is stored. The report of a VM that stops or is cut off expires, and a VM that
starts knows the load as soon as it hears from the others.
"""

import math
from collections.abc import Iterable

import trio
from attrs import define, field, frozen

# Averaging time of requests in flight. It spans two heartbeats and several runs.
IN_FLIGHT_AVERAGING_S = 1.0
# Averaging time of request rates and runs.
RATE_AVERAGING_S = 3.0
# Age above which a report no longer counts: three summaries between failure domains.
MAX_AGE_S = 3.0
# Smallest values that are reported. Smaller ones change no choice.
MIN_IN_FLIGHT = 0.02
MIN_RATE = 0.05
# Rate of an object below which it is forgotten. One request has this rate after 10 s.
MIN_KEPT_RATE = 0.01
# Largest number of targets and objects in one report, which bounds its size.
MAX_TARGETS = 256
MAX_OBJECTS = 32
# Sizes in a message after compression, measured with object keys of 17 characters and
# 3 to 76 targets.
TARGET_BYTES = 4.6
OBJECT_BYTES = 8.0
RATE_BYTES = 6.0
# Fraction of a report's size that targets may use. Which of them are busy matters more
# than which objects are requested often.
TARGETS_FRACTION = 0.9
# Longest object key that is reported. Callers choose the keys, and long ones would let
# them use up a VM's memory or make its heartbeats too large to send.
MAX_OBJECT_KEY_LENGTH = 64
# Number of objects whose rates a VM measures. The rarest are dropped beyond it.
MAX_MEASURED_OBJECTS = 2_000
# Time for which the sums over all VMs are reused.
SUMS_CACHE_S = 0.1


@frozen
class LoadReport:
    """Load that one VM causes, or the sum over the VMs of a failure domain.

    Parameters
    ----------
    targets : dict of str to float
        Mean number of requests in flight at each target, by instance.
    offered : dict of str to dict of int to float
        Requests per second that callers asked for, refused ones included, by pool and
        priority.
    objects : dict of str to float
        Requests per second for the most requested objects, by object key.
    runs : dict of str to (float, float)
        Answers per second, and first runs per second among them, by pool.
    """

    targets: dict[str, float] = field(factory=dict)
    offered: dict[str, dict[int, float]] = field(factory=dict)
    objects: dict[str, float] = field(factory=dict)
    runs: dict[str, tuple[float, float]] = field(factory=dict)


@define
class _Average:
    """A value averaged exponentially over time."""

    value: float = 0.0
    average: float = 0.0
    updated_at: float = field(factory=trio.current_time)

    def set(self, value: float):
        self.current()
        self.value = value

    def current(self) -> float:
        now = trio.current_time()
        decay = math.exp((self.updated_at - now) / IN_FLIGHT_AVERAGING_S)
        self.average = self.value + (self.average - self.value) * decay
        self.updated_at = now
        return self.average


@define
class _Rate:
    """Events per second, averaged exponentially."""

    rate: float = 0.0
    updated_at: float = field(factory=trio.current_time)

    def add(self, count: float = 1.0):
        self.rate = self.current() + count / RATE_AVERAGING_S

    def current(self) -> float:
        now = trio.current_time()
        self.rate *= math.exp((self.updated_at - now) / RATE_AVERAGING_S)
        self.updated_at = now
        return self.rate


class LoadTracker:
    """Measures the load that this VM causes."""

    def __init__(self):
        self._in_flight: dict[str, _Average] = {}
        self._offered: dict[tuple[str, int], _Rate] = {}
        self._objects: dict[str, _Rate] = {}
        self._runs: dict[tuple[str, bool], _Rate] = {}

    def note_in_flight(self, instance: str, in_flight: int):
        """Record how many requests of this VM a target has from now on."""
        average = self._in_flight.get(instance)
        if average is None:
            average = self._in_flight[instance] = _Average()
        average.set(in_flight)

    def note_offered(self, pool: str, priority: int, object_key: str | None):
        """Record a request of a caller, whether it is admitted or not."""
        self._offered.setdefault((pool, priority), _Rate()).add()
        if object_key is None or len(object_key) > MAX_OBJECT_KEY_LENGTH:
            return
        if len(self._objects) >= MAX_MEASURED_OBJECTS:
            self._drop_rare_objects()
        self._objects.setdefault(object_key, _Rate()).add()

    def note_run(self, pool: str, is_first: bool):
        """Record a run, and whether it was the first for its object at its target."""
        self._runs.setdefault((pool, is_first), _Rate()).add()

    def report(self) -> LoadReport:
        """Return this VM's load at present."""
        self.forget_idle()
        in_flight = {name: a.average for name, a in self._in_flight.items()}
        offered: dict[str, dict[int, float]] = {}
        for (pool, priority), rate in self._offered.items():
            if rate.current() >= MIN_RATE:
                offered.setdefault(pool, {})[priority] = round(rate.rate, 2)
        return LoadReport(
            targets=largest(in_flight, MAX_TARGETS, MIN_IN_FLIGHT),
            offered=offered,
            objects=largest(
                {key: rate.rate for key, rate in self._objects.items()},
                MAX_OBJECTS,
                MIN_RATE,
            ),
            runs=self._run_rates(),
        )

    def forget_idle(self):
        """Forget targets and objects that have had no requests for a while."""
        self._in_flight = {
            instance: average
            for instance, average in self._in_flight.items()
            if average.current() >= MIN_IN_FLIGHT or average.value
        }
        self._objects = {
            key: rate
            for key, rate in self._objects.items()
            if rate.current() >= MIN_KEPT_RATE
        }

    def _run_rates(self) -> dict[str, tuple[float, float]]:
        rates: dict[str, list[float]] = {}
        for (pool, is_first), rate in self._runs.items():
            totals = rates.setdefault(pool, [0.0, 0.0])
            totals[0] += rate.current()
            if is_first:
                totals[1] += rate.rate
        return {
            pool: (round(all_runs, 2), round(first_runs, 2))
            for pool, (all_runs, first_runs) in rates.items()
            if all_runs >= MIN_RATE
        }

    def _drop_rare_objects(self):
        rates = sorted(rate.current() for rate in self._objects.values())
        median = rates[len(rates) // 2]
        self._objects = {k: r for k, r in self._objects.items() if r.rate > median}


@frozen
class _Received:
    report: LoadReport
    measured_at: float


class FleetLoad:
    """The load that all VMs report, and this VM's own.

    Parameters
    ----------
    own : LoadTracker
    """

    def __init__(self, own: LoadTracker):
        self.own = own
        self._received: dict[tuple[str, str], _Received] = {}
        self._sums = LoadReport()
        self._summed_at = float("-inf")

    def record_vm(self, vm: str, report: LoadReport, age_s: float = 0.0):
        """Record the report of another VM of the own failure domain."""
        self._record(("vm", vm), report, age_s)

    def record_domain(self, failure_domain: str, report: LoadReport, age_s: float):
        """Record the sum over the VMs of another failure domain."""
        self._record(("domain", failure_domain), report, age_s)

    def _record(self, source: tuple[str, str], report: LoadReport, age_s: float):
        measured_at = trio.current_time() - age_s
        known = self._received.get(source)
        if known is None or known.measured_at <= measured_at:
            self._received[source] = _Received(report, measured_at)

    def of_others(self) -> LoadReport:
        """Return the sums over all other VMs."""
        now = trio.current_time()
        if now - self._summed_at >= SUMS_CACHE_S:
            self._received = {
                source: received
                for source, received in self._received.items()
                if now - received.measured_at < MAX_AGE_S
            }
            self._sums = sum_of(received.report for received in self._received.values())
            self._summed_at = now
        return self._sums

    def of_own_domain(self) -> LoadReport:
        """Return the sum over this VM's failure domain, which includes this VM."""
        now = trio.current_time()
        others = [
            received.report
            for (kind, _), received in self._received.items()
            if kind == "vm" and now - received.measured_at < MAX_AGE_S
        ]
        return trimmed(sum_of([self.own.report(), *others]))

    def count_sources(self, kind: str) -> int:
        """Return how many reports count now, of kind ``vm`` or ``domain``."""
        now = trio.current_time()
        return sum(
            1
            for source, received in self._received.items()
            if source[0] == kind and now - received.measured_at < MAX_AGE_S
        )

    def in_flight_of_others(self, instance: str) -> float:
        """Return the mean number of requests of other VMs at a target."""
        return self.of_others().targets.get(instance, 0.0)


def sum_of(reports: Iterable[LoadReport]) -> LoadReport:
    """Return the sum of several reports."""
    total = LoadReport()
    for report in reports:
        _add(total.targets, report.targets)
        _add(total.objects, report.objects)
        for pool, by_priority in report.offered.items():
            _add(total.offered.setdefault(pool, {}), by_priority)
        for pool, (all_runs, first_runs) in report.runs.items():
            known = total.runs.get(pool, (0.0, 0.0))
            total.runs[pool] = (known[0] + all_runs, known[1] + first_runs)
    return total


def trimmed(report: LoadReport, max_bytes: float = math.inf) -> LoadReport:
    """Return a report with only its largest values, so that it fits into a size.

    Parameters
    ----------
    report : LoadReport
    max_bytes : float
        Size in a message. The maximum numbers of targets and objects apply as well.
    """
    rates = sum(len(by_priority) for by_priority in report.offered.values())
    max_bytes = max(0.0, max_bytes - RATE_BYTES * (rates + len(report.runs)))
    max_targets = min(MAX_TARGETS, TARGETS_FRACTION * max_bytes / TARGET_BYTES)
    targets = largest(report.targets, int(max_targets), MIN_IN_FLIGHT)
    left_bytes = max_bytes - len(targets) * TARGET_BYTES
    max_objects = min(MAX_OBJECTS, left_bytes / OBJECT_BYTES)
    objects = largest(report.objects, int(max_objects), MIN_RATE)
    return LoadReport(targets, report.offered, objects, report.runs)


def _add(total: dict, values: dict):
    for key, value in values.items():
        total[key] = total.get(key, 0.0) + value


def largest(values: dict[str, float], count: int, least: float) -> dict[str, float]:
    """Return the largest values, rounded, without those below `least`."""
    kept = {key: round(value, 2) for key, value in values.items() if value >= least}
    if len(kept) <= count:
        return kept
    order = sorted(kept, key=kept.get, reverse=True)
    return {key: kept[key] for key in order[:count]}
