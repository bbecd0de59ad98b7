"""What VMs of one failure domain tell each other with their heartbeats."""

import orjson
from attrs import frozen

from .loads import DomainLoad
from .targets import ProbeNews


@frozen
class HeartbeatExtra:
    """One VM's news for the others of its failure domain.

    Parameters
    ----------
    load : DomainLoad
    probes : dict of str to ProbeNews
        What it found, by target.
    outside_silence_s : float
        How long it has heard nothing from outside the failure domain.
    """

    load: DomainLoad
    probes: dict[str, ProbeNews]
    outside_silence_s: float

    def to_bytes(self) -> bytes:
        """Return the news as compact JSON."""
        probes = {
            name: [int(news.healthy), int(news.draining), news.load]
            for name, news in self.probes.items()
        }
        load = self.load.to_bytes().decode()
        return orjson.dumps([load, probes, round(self.outside_silence_s, 1)])

    @classmethod
    def from_bytes(cls, data: bytes) -> "HeartbeatExtra":
        """Read news that `to_bytes` wrote."""
        load, probes, silence_s = orjson.loads(data)
        return cls(
            DomainLoad.from_bytes(load.encode()),
            {n: ProbeNews(bool(h), bool(d), x) for n, (h, d, x) in probes.items()},
            silence_s,
        )
