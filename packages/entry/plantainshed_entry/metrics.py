"""Prometheus metrics of the daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .reasons import Outcome, Reason, RetryReason

LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0]


class Metrics:
    """Counters, gauges and histograms of one daemon."""

    def __init__(self):
        self.registry = Registry()
        self.requests = Counter(
            "plantainshed_requests_total",
            "Requests answered by a target, by workspace.",
            registry=self.registry,
        )
        self.refusals = Counter(
            "plantainshed_refusals_total",
            "Requests refused, by reason, outcome and workspace.",
            registry=self.registry,
        )
        self.retries = Counter(
            "plantainshed_retries_total",
            "Further attempts, by reason.",
            registry=self.registry,
        )
        self.lookups = Counter(
            "plantainshed_lookups_total", "Look-ups answered.", registry=self.registry
        )
        self.offline_uses = Counter(
            "plantainshed_offline_key_uses_total",
            "Requests admitted while no news of withdrawn keys could arrive.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "plantainshed_request_seconds",
            "Time from the head of a request to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.gauges = Gauge(
            "plantainshed_state", "State of this daemon.", registry=self.registry
        )

    def count_refusal(self, reason: Reason, outcome: Outcome, workspace: str):
        """Count a refusal."""
        labels = {"reason": reason, "outcome": outcome, "workspace": workspace}
        self.refusals.inc(labels)

    def count_retry(self, reason: RetryReason):
        """Count a retry."""
        self.retries.inc({"reason": reason})

    def count_answer(self, workspace: str, seconds: float):
        """Count an answered request and record its latency."""
        self.requests.inc({"workspace": workspace})
        self.latency.observe({"workspace": workspace}, seconds)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        body, _ = render(self.registry, ["text/plain"])
        return body
