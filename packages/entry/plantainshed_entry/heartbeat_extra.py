"""Application data that VMs of one failure domain exchange in heartbeats."""

import orjson
from attrs import frozen

from .loads import DomainLoad
from .targets import ProbeResult


@frozen
class HeartbeatExtra:
    """Data that a VM adds to its heartbeats within its failure domain.

    Parameters
    ----------
    load : DomainLoad
        Demand that arrives at the sender.
    probes : dict of str to ProbeResult
        Results of the sender's health checks, by target.
    outside_silence_s : float
        Seconds since the sender last heard from outside the failure domain.
    """

    load: DomainLoad
    probes: dict[str, ProbeResult]
    outside_silence_s: float

    def to_bytes(self) -> bytes:
        """Encode the data as compact JSON."""
        probes = {
            name: [int(result.healthy), int(result.draining), result.load]
            for name, result in self.probes.items()
        }
        load = self.load.to_bytes().decode()
        return orjson.dumps([load, probes, round(self.outside_silence_s, 1)])

    @classmethod
    def from_bytes(cls, data: bytes) -> "HeartbeatExtra":
        """Decode data that was encoded by `to_bytes`."""
        load, probes, silence_s = orjson.loads(data)
        return cls(
            DomainLoad.from_bytes(load.encode()),
            {n: ProbeResult(bool(h), bool(d), x) for n, (h, d, x) in probes.items()},
            silence_s,
        )
