"""Tests that a replay is reproducible: it depends only on its trace and policy."""

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
# Together these contain every fault that the traces use, and both deployments.
TRACES_WITH_ALL_FAULTS = (
    "cerimonia-domain-cut-off",
    "cerimonia-region-lost",
    "cerimonia-shift-rising",
    "cerimonia-store-down",
    "maracas-bay-five-times",
    "maracas-bay-rolling-replacement",
    "maracas-bay-slow-targets",
)
SHORTENING_FACTOR = 8
ARRIVALS_PER_SLICE = 2
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


class TestReproducibility(unittest.TestCase):
    """Replaying the same trace twice gives identical figures.

    Guards against replays that depend on randomness outside the trace: two runs of
    `make measure` without any change counted 282 and 310 wrongful refusals for the
    same trace and policy. Such a difference looks like an effect of the policy or of
    the code change that is being compared.
    """

    maxDiff = None

    def test_in_one_process(self):
        first, second = (replay(SMALL, EXAMPLES, CHOSEN) for _ in range(2))
        self.assertEqual(first, second)

    def test_in_two_processes(self):
        """The hash seeds differ, so that a dependence on set order shows up."""
        with tempfile.TemporaryDirectory() as name:
            root = Path(name)
            (root / "examples").symlink_to(EXAMPLES)
            (root / "traces").mkdir()
            shortened = [
                _shorten(read_trace(TRACES / f"{n}.jsonl"))
                for n in TRACES_WITH_ALL_FAULTS
            ]
            for trace in (SMALL, *shortened):
                write_trace(root / "traces" / f"{trace.name}.jsonl", trace)
            processes = [_start_measure(root, hash_seed) for hash_seed in (1, 2)]
            first, second = (_figures(process) for process in processes)
        self.assertEqual(len(first), len(TRACES_WITH_ALL_FAULTS) + 1)
        self.assertEqual(first, second)


def _shorten(trace: Trace) -> Trace:
    """Return a shorter trace with the same faults and fewer requests."""
    events = []
    for item in trace.events:
        arguments = dict(item.arguments)
        if "seconds" in arguments:
            arguments["seconds"] /= SHORTENING_FACTOR
        events.append(
            evolve(
                item,
                t=item.t / SHORTENING_FACTOR,
                requests=item.requests[:ARRIVALS_PER_SLICE],
                arguments=arguments,
            )
        )
    length_s = trace.length_s / SHORTENING_FACTOR
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
