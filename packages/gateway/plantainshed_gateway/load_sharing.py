"""Exchange of load reports with other VMs; see `selection.load_reports`.

Reports are part of heartbeats and summaries. A VM sends them while any live VM of the
fleet needs them, so they cost nothing where every VM knows the load from answers.
"""

from functools import lru_cache

import trio
import xxhash
from attrs import evolve

from .heartbeats import DomainSummary, Heartbeat
from .logs import DecisionLog
from .members import Members
from .metrics import Metrics
from .selection.load_reports import FleetLoad, LoadReport, LoadTracker, trimmed
from .selection.registry import Registry, TargetState
from .selection.report_need import ReportNeed
from .settings import ShareLoad

# Bytes per second that one VM may send for load reports in heartbeats, of the 26,000
# for all control messages; see `speakers.SUMMARY_LOAD_BYTES_PER_S`.
HEARTBEAT_LOAD_BYTES_PER_S = 6_800
HEARTBEATS_PER_S = 2
# Two of 256 targets share a digest in 0.2 % of all fleets. What is reported of either
# then counts for one of them.
TARGET_DIGEST_BITS = 24
# Interval at which targets and objects without requests are forgotten while no reports
# are sent.
FORGET_INTERVAL_S = 10.0


class LoadSharing:
    """Measures this VM's load, and exchanges load reports while any VM needs them.

    Parameters
    ----------
    share_load : ShareLoad
    members : Members
    registry : Registry
    log : DecisionLog

    Attributes
    ----------
    tracker : LoadTracker
    fleet_load : FleetLoad
    need : ReportNeed
    """

    def __init__(
        self,
        share_load: ShareLoad,
        members: Members,
        registry: Registry,
        log: DecisionLog,
    ):
        self.share_load = share_load
        self.members = members
        self.registry = registry
        self.log = log
        self.tracker = LoadTracker()
        self.fleet_load = FleetLoad(self.tracker)
        self.need = ReportNeed()
        self._was_needed = False
        self._forgotten_at = trio.current_time()
        self._generation = -1
        self._instances: dict[int, str] = {}

    # This VM's load.

    def note_in_flight(self, state: TargetState):
        """Record that the number of requests in flight to a target has changed."""
        self.tracker.note_in_flight(state.entry.instance, state.in_flight)

    # Messages.

    @property
    def needs_reports(self) -> bool:
        """Whether this VM needs the reports of other VMs."""
        if self.share_load is ShareLoad.AUTO:
            return self.need.is_needed
        return self.share_load is ShareLoad.ALWAYS

    def make_report(self) -> LoadReport | None:
        """Return this VM's report; None unless a live VM of the fleet needs it."""
        if self.share_load is ShareLoad.NEVER:
            return None
        if not self.needs_reports and not any(
            message.needs_load for message in self.members.reports()
        ):
            return None
        receivers = max(1, len(self.members.in_own_domain()))
        max_bytes = HEARTBEAT_LOAD_BYTES_PER_S / HEARTBEATS_PER_S / receivers
        report = trimmed(self.tracker.report(), max_bytes)
        by_digest = {target_digest(k): load for k, load in report.targets.items()}
        return evolve(report, targets=by_digest)

    def record_heartbeat(self, heartbeat: Heartbeat):
        """Record the report in a new heartbeat of a VM of the own failure domain."""
        if heartbeat.load is not None and self.share_load is not ShareLoad.NEVER:
            self.fleet_load.record_vm(heartbeat.vm, self._by_instance(heartbeat.load))

    def record_summary(self, summary: DomainSummary):
        """Record the report in a new summary of another failure domain."""
        if summary.load is not None and self.share_load is not ShareLoad.NEVER:
            load = self._by_instance(summary.load)
            self.fleet_load.record_domain(
                summary.failure_domain, load, summary.load_age_s
            )

    def _by_instance(self, report: LoadReport) -> LoadReport:
        """Return a received report by instance, without targets unknown to this VM."""
        if self._generation != self.registry.generation:
            self._generation = self.registry.generation
            self._instances = {target_digest(k): k for k in self.registry.states}
        instances = self._instances
        targets = {
            instances[digest]: load
            for digest, load in report.targets.items()
            if digest in instances
        }
        return evolve(report, targets=targets)

    # Upkeep.

    def refresh(self):
        """Log whether reports are needed if that has changed; bound what is kept."""
        is_needed = self.needs_reports
        if is_needed != self._was_needed:
            self._was_needed = is_needed
            self.log.event(
                "load reports needed" if is_needed else "load reports not needed",
                share_load=self.share_load,
                mean_age_s=round(self.need.mean_age_s, 2),
            )
        now = trio.current_time()
        if now - self._forgotten_at >= FORGET_INTERVAL_S:
            self._forgotten_at = now
            self.tracker.forget_idle()

    def measure(self, metrics: Metrics):
        """Update the metrics."""
        for kind in ("vm", "domain"):
            count = self.fleet_load.count_sources(kind)
            metrics.load_reports.set({"kind": kind}, count)


@lru_cache(maxsize=4096)
def target_digest(instance: str) -> int:
    """Return the digest by which load reports name a target."""
    return xxhash.xxh64_intdigest(instance.encode()) >> (64 - TARGET_DIGEST_BITS)
