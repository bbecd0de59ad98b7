"""A replay repeats: nothing but its trace and policy decides how it goes."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from attrs import evolve

from plantainshed_measure.policies import CHOSEN
from plantainshed_measure.replay import replay
from plantainshed_measure.trace import (
    Arrivals,
    Trace,
    TraceEvent,
    read_trace,
    write_trace,
)

EXAMPLES = Path("examples").resolve()
TRACES = Path("traces").resolve()
# Between them they have every fault of the traces, and both deployments.
EACH_FAULT = (
    "cerimonia-domain-cut-off",
    "cerimonia-region-lost",
    "cerimonia-shift-rising",
    "cerimonia-store-down",
    "maracas-bay-five-times",
    "maracas-bay-rolling-replacement",
    "maracas-bay-slow-targets",
)
TIMES_SHORTER = 8
KINDS_A_SLICE = 2
REQUESTS = [
    Arrivals("cuneo", "calendario", "tor-a", 20),
    Arrivals("milano", "calendario", "mil-a", 20),
    Arrivals("torino", "prenota", "tor-b", 10),
]
SMALL = Trace(
    "small",
    "cerimonia",
    2.0,
    [
        TraceEvent(0.0, REQUESTS),
        TraceEvent(0.5, [], "kill_vm", {"vm": "tor-a-1", "restart_after_s": 0.5}),
        TraceEvent(0.5, REQUESTS),
        TraceEvent(1.0, [], "change_config", {"workspace": "milano", "rate": 201.0}),
        TraceEvent(1.0, REQUESTS),
    ],
    {},
)


class TestRepeats(unittest.TestCase):
    """A small trace played again gives the same outcome, to the last counter.

    `make measure` gave other figures in a second run, with nothing changed in
    between: 282 wrongful refusals in one, 310 in the other for the same trace and
    policy. Whoever compares two policies, or before and after a change, took the
    difference of two runs for an effect of the change.
    """

    maxDiff = None

    def test_in_one_process(self):
        first, second = (replay(SMALL, EXAMPLES, CHOSEN) for _ in range(2))
        self.assertEqual(first, second)

    def test_in_two_processes(self):
        """The seed of hashes is another one, so that no order may come from sets."""
        with tempfile.TemporaryDirectory() as name:
            root = Path(name)
            (root / "examples").symlink_to(EXAMPLES)
            (root / "traces").mkdir()
            shorter = [_shorter(read_trace(TRACES / f"{n}.jsonl")) for n in EACH_FAULT]
            for trace in (SMALL, *shorter):
                write_trace(root / "traces" / f"{trace.name}.jsonl", trace)
            processes = [_start_measure(root, hash_seed) for hash_seed in (1, 2)]
            first, second = (_figures(process) for process in processes)
        self.assertEqual(len(first), len(EACH_FAULT) + 1)
        self.assertEqual(first, second)


def _shorter(trace: Trace) -> Trace:
    """Return a trace with its faults in quick succession, and few requests."""
    events = []
    for item in trace.events:
        arguments = dict(item.arguments)
        if "seconds" in arguments:
            arguments["seconds"] /= TIMES_SHORTER
        events.append(
            evolve(
                item,
                t=item.t / TIMES_SHORTER,
                requests=item.requests[:KINDS_A_SLICE],
                arguments=arguments,
            )
        )
    length_s = trace.length_s / TIMES_SHORTER
    return evolve(trace, length_s=length_s, events=events, limits={})


def _start_measure(root: Path, hash_seed: int) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "plantainshed_measure", "--root", str(root)]
        + ["--policy", CHOSEN.name, "--jobs", "2"],
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        stdout=subprocess.PIPE,
        text=True,
    )


def _figures(process: subprocess.Popen) -> list[dict]:
    printed, _ = process.communicate()
    lines = [line for line in printed.splitlines() if line.startswith("{")]
    return [json.loads(line) for line in lines]
