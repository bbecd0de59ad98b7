"""Time series of counts, levels and durations.

Recording a value changes a dictionary or a list. `aioprometheus` is only loaded, and
its collectors are only built, when the metrics are read, because loading it would
lengthen each start.
"""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from attrs import define, field

Labels = dict[str, str]
LabelItems = tuple[tuple[str, str], ...]


@define
class Values:
    """Numbers by labels: a counter or a gauge.

    Parameters
    ----------
    name, doc : str
    is_counter : bool
    """

    name: str
    doc: str
    is_counter: bool
    by_labels: dict[LabelItems, float] = field(factory=dict)

    def inc(self, labels: Labels):
        """Add one."""
        key = tuple(labels.items())
        self.by_labels[key] = self.by_labels.get(key, 0) + 1

    def set(self, labels: Labels, value: float):
        """Replace the value."""
        self.by_labels[tuple(labels.items())] = value

    def register(self, registry):
        """Add a collector with the current values to a registry."""
        from aioprometheus import Counter, Gauge

        kind = Counter if self.is_counter else Gauge
        collector = kind(self.name, self.doc, registry=registry)
        for key, value in self.by_labels.items():
            collector.set(dict(key), value)


@define
class Observations:
    """Counts by bucket, and the sum, of the values of one set of labels.

    Attributes
    ----------
    counts : list of int
        Values up to each upper bound and above the one before; the last count is of
        the values above all bounds.
    total : float
    """

    counts: list[int]
    total: float = 0.0


@define
class Distribution:
    """Distributions of values by labels: a histogram.

    Parameters
    ----------
    name, doc : str
    bounds : tuple of float
        Upper bounds of the buckets, ascending.
    """

    name: str
    doc: str
    bounds: tuple[float, ...]
    by_labels: dict[LabelItems, Observations] = field(factory=dict)

    def observe(self, labels: Labels, value: float):
        """Count one value."""
        key = tuple(labels.items())
        observations = self.by_labels.get(key)
        if observations is None:
            observations = Observations([0] * (len(self.bounds) + 1))
            self.by_labels[key] = observations
        observations.counts[bisect_left(self.bounds, value)] += 1
        observations.total += value

    def register(self, registry):
        """Add a collector with the current values to a registry."""
        from aioprometheus import Histogram
        from aioprometheus.histogram import Histogram as Buckets

        collector = Histogram(
            self.name, self.doc, registry=registry, buckets=list(self.bounds)
        )
        for key, observations in self.by_labels.items():
            buckets = Buckets(*self.bounds)
            cumulative = accumulate(observations.counts)
            buckets.buckets.update(zip(buckets.buckets, cumulative, strict=True))
            buckets.observations = sum(observations.counts)
            buckets.sum = observations.total
            collector.set_value(dict(key), buckets)


def render_all(series: Iterable[Values | Distribution]) -> bytes:
    """Return the current values in the Prometheus text format."""
    from aioprometheus import Registry, render

    registry = Registry()
    for one in series:
        one.register(registry)
    body, _ = render(registry, [])
    return body
