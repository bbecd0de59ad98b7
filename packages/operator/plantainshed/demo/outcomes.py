"""Results of the demo, and the check of the requirements that they must meet."""

import statistics
from collections import Counter

from attrs import define, field

MAX_CONFIG_S = 8.0
MAX_KEY_S = 5.0
MAX_DRAIN_S = 5.0


@define
class Tally:
    """Counts of one run.

    Attributes
    ----------
    sent, answered : int
    lost : int
        Requests without a successful answer after all attempts.
    interrupted : int
        Attempts whose answer was lost after the request had been sent.
    refused : collections.Counter
        Refused attempts, by reason. The check of the withdrawn key uses a tally of
        its own.
    latencies : list of float
        Durations of the answered requests in seconds.
    bookings : set of str
        Operation ids of the answered bookings.
    """

    sent: int = 0
    answered: int = 0
    lost: int = 0
    interrupted: int = 0
    refused: Counter = field(factory=Counter)
    latencies: list[float] = field(factory=list)
    bookings: set[str] = field(factory=set)

    def record_answer(self, request, operation: str, seconds: float):
        """Count an answered request."""
        self.answered += 1
        self.latencies.append(seconds)
        if request.is_booking:
            self.bookings.add(operation)

    def record_refusal(self, reason: str):
        """Count a refusal."""
        self.refused[reason] += 1

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        if len(self.latencies) < 2:
            return 0.0
        cuts = statistics.quantiles(self.latencies, n=100, method="inclusive")
        return round(cuts[percent - 1] * 1000, 1)


@define
class Outcomes:
    """The results of the demo.

    Attributes
    ----------
    tally : Tally
    run_twice : int
        Operations that ran more than once.
    not_run : int
        Answered bookings that no target has run.
    keys_seen_by_targets : int
        Requests that reached a target with a caller's key.
    config_in_force_s, key_withdrawn_s, drain_s : float or None
        Seconds until a change was in force on all VMs, a withdrawn key was no longer
        accepted, and a drained target received no new requests. None if not measured.
    """

    tally: Tally
    run_twice: int = 0
    not_run: int = 0
    keys_seen_by_targets: int = 0
    config_in_force_s: float | None = None
    key_withdrawn_s: float | None = None
    drain_s: float | None = None

    def as_fields(self) -> dict:
        """Return the results as plain values, for output as JSON.

        Every refusal counts as wrongful, as callers stay below their rate limits.
        """
        tally = self.tally
        return {
            "sent": tally.sent,
            "answered": tally.answered,
            "refused": dict(tally.refused),
            "wrongful_refusals": sum(tally.refused.values()),
            "lost": tally.lost + self.not_run,
            "doubled": self.run_twice,
            "cut": tally.interrupted,
            "p50_ms": tally.percentile_ms(50),
            "p99_ms": tally.percentile_ms(99),
            "config_in_force_s": self.config_in_force_s,
            "key_withdrawn_s": self.key_withdrawn_s,
            "drain_s": self.drain_s,
            "keys_seen_by_targets": self.keys_seen_by_targets,
        }

    def violations(self) -> list[str]:
        """Return a description of each violated requirement."""
        fields = self.as_fields()
        found = [
            f"{name} is {fields[name]}, not 0"
            for name in (
                "wrongful_refusals",
                "lost",
                "doubled",
                "cut",
                "keys_seen_by_targets",
            )
            if fields[name]
        ]
        for name, limit in (
            ("config_in_force_s", MAX_CONFIG_S),
            ("key_withdrawn_s", MAX_KEY_S),
            ("drain_s", MAX_DRAIN_S),
        ):
            if fields[name] is None or fields[name] > limit:
                found.append(f"{name} is {fields[name]}, not within {limit:g} s")
        if not self.tally.answered:
            found.append("no request was answered")
        return found
