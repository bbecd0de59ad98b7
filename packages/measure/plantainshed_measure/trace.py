"""Traces: arrivals and faults with their times, and the outcomes expected.

A trace is JSON lines. The first has the deployment and the length, the last
the outcomes. In between, each line has a time ``t`` in seconds and either

- ``requests``: a list of ``[workspace, pool, home, count]``; so many requests
  come at random times, the same in each replay, within the next `SLICE_S`; or
- ``fault``: the name of something that happens, with its arguments.

A trace that was recorded elsewhere has one request to a line, with count 1.
"""

import json
from pathlib import Path

from attrs import asdict, field, frozen

SLICE_S = 0.5


@frozen
class Arrivals:
    """Requests of one kind within one slice of time."""

    workspace: str
    pool: str
    home: str
    count: int


@frozen
class TraceEvent:
    """One line of a trace.

    Parameters
    ----------
    t : float
        Seconds from the start.
    requests : list of Arrivals
    fault : str
    arguments : dict
    """

    t: float
    requests: list[Arrivals] = field(factory=list)
    fault: str = ""
    arguments: dict = field(factory=dict)


@frozen
class Trace:
    """A whole trace.

    Parameters
    ----------
    name, deployment : str
    length_s : float
    events : list of TraceEvent
    limits : dict of str to float
        The largest value that each figure may have.
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
