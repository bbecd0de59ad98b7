"""The gateway's metrics in Prometheus text format."""

from .reasons import Reason
from .series import Distribution, Values, render_all

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)


class Metrics:
    """Counters, gauges and histograms of one VM."""

    def __init__(self):
        self.series: list[Values | Distribution] = []
        self.answers = self._counter("answers", "Requests answered, by route, status.")
        self.refusals = self._counter("refusals", "Requests refused, by reason.")
        self.retries = self._counter("retries", "Further attempts, by reason.")
        self.lookups = self._counter("lookups", "Look-ups answered.")
        self.skipped = self._counter(
            "skipped_answers", "Answers of targets that belonged to no request."
        )
        self.latency = self._distribution(
            "request_seconds",
            "Time from the head of a request to its answer, by route.",
        )
        self.attempt_latency = self._distribution(
            "attempt_seconds", "Time that targets take to answer, by pool."
        )
        self.round_trip = self._gauge(
            "round_trip_seconds", "Usual time to a failure domain and back."
        )
        self.copy_age = self._gauge(
            "copy_age_seconds",
            "Time since which a collection's copy may lack changes of the store.",
        )
        self.copy_revision = self._gauge(
            "copy_revision",
            "Revision of the store up to which a collection's copy is complete.",
        )
        self.configuration_problems = self._gauge(
            "configuration_problems",
            "Items of the configuration in force that are unknown or ignored.",
        )
        self.vms = self._gauge(
            "vms",
            "VMs: known, alive, and alive with another list of VMs than this one.",
        )
        self.share_sum = self._gauge(
            "share_sum",
            "Shares of a workspace's quota on all VMs, where they exceed one.",
        )
        self.relayed = self._counter(
            "relayed", "Requests forwarded for VMs that reach no target, by VM."
        )
        self.targets_unreachable = self._gauge(
            "targets_unreachable", "1 if this VM reaches no target, otherwise 0."
        )
        self.limited_targets = self._gauge(
            "limited_targets", "Targets that name a limit of requests per second."
        )
        self.sent_to_limited = self._counter(
            "sent_to_limited", "Requests sent to targets that name a limit, by target."
        )
        self.retry_after = self._counter(
            "target_retry_after", "Answers with which targets asked for no requests."
        )
        self.load_reports = self._gauge(
            "load_reports",
            "Sources whose load report counts: VMs of the domain, other domains.",
        )
        self.body_bytes = self._gauge(
            "body_bytes", "Memory reserved for the bodies of requests and of answers."
        )
        self.state = self._gauge("state", "State of this VM.")

    def _counter(self, name: str, doc: str) -> Values:
        return self._add(Values(f"plantainshed_{name}_total", doc, is_counter=True))

    def _gauge(self, name: str, doc: str) -> Values:
        return self._add(Values(f"plantainshed_{name}", doc, is_counter=False))

    def _distribution(self, name: str, doc: str) -> Distribution:
        return self._add(Distribution(f"plantainshed_{name}", doc, LATENCY_BUCKETS_S))

    def _add(self, series):
        self.series.append(series)
        return series

    def count_refusal(self, reason: Reason, route: str):
        """Count a request that the gateway refused."""
        self.refusals.inc({"reason": reason, "route": route})

    def count_retry(self, reason: Reason, pool: str):
        """Count a retry."""
        self.retries.inc({"reason": reason, "pool": pool})

    def count_answer(self, route: str, status: int, seconds: float):
        """Count a target's response and record its latency."""
        self.answers.inc({"route": route, "status": str(status)})
        self.latency.observe({"route": route}, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render_all(self.series)
