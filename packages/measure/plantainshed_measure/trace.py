"""Trace files: timed request arrivals and faults, and limits for the figures.

A trace is a file of JSON lines. The first line holds the deployment and the length,
the last line the limits. Each line in between has a time ``t`` in seconds and either

- ``requests``: a list of ``[workspace, pool, home, count]``. ``count`` requests
  arrive at random times within the next `SLICE_S` seconds; the times are the same in
  each replay; or
- ``fault``: the name of a fault, along with its arguments.

A trace that was recorded on another system has one request per line, with count 1.
"""

import json
from pathlib import Path

from attrs import asdict, field, frozen

SLICE_S = 0.5


@frozen
class Arrivals:
    """Requests that arrive within one time slice and share these properties.

    Parameters
    ----------
    workspace, pool : str
    home : str
        Failure domain that the requests come from.
    count : int
    """

    workspace: str
    pool: str
    home: str
    count: int


@frozen
class TraceEvent:
    """One line of a trace: either arrivals or a fault.

    Parameters
    ----------
    t : float
        Seconds from the start.
    requests : list of Arrivals
    fault : str
        Name of a function in `faults`; empty for arrivals.
    arguments : dict
        Keyword arguments of that function.
    """

    t: float
    requests: list[Arrivals] = field(factory=list)
    fault: str = ""
    arguments: dict = field(factory=dict)


@frozen
class Trace:
    """The contents of a trace file.

    Parameters
    ----------
    name, deployment : str
    length_s : float
    events : list of TraceEvent
    limits : dict of str to float
        The largest allowed value of each figure; for ``worst_workspace`` it is the
        smallest.
    """

    name: str
    deployment: str
    length_s: float
    events: list[TraceEvent]
    limits: dict[str, float]


def read_trace(path: Path) -> Trace:
    """Read a trace from a file of JSON lines."""
    first, *lines = [json.loads(line) for line in path.read_text().splitlines()]
    events = []
    limits = {}
    for line in lines:
        if "limits" in line:
            limits = line["limits"]
        elif "fault" in line:
            arguments = {k: v for k, v in line.items() if k not in ("t", "fault")}
            events.append(TraceEvent(line["t"], [], line["fault"], arguments))
        else:
            requests = [Arrivals(*item) for item in line["requests"]]
            events.append(TraceEvent(line["t"], requests))
    return Trace(path.stem, first["deployment"], first["length_s"], events, limits)


def write_trace(path: Path, trace: Trace):
    """Write a trace as JSON lines."""
    lines = [{"deployment": trace.deployment, "length_s": trace.length_s}]
    for item in sorted(trace.events, key=lambda item: item.t):
        if item.fault:
            lines.append({"t": item.t, "fault": item.fault, **item.arguments})
        else:
            requests = [list(asdict(a).values()) for a in item.requests]
            lines.append({"t": item.t, "requests": requests})
    lines.append({"limits": trace.limits})
    text = "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)
    path.write_text(text)
