"""Replays all traces with all policies: ``python -m plantainshed_measure``."""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire

from .policies import CHOSEN, POLICIES
from .replay import replay, violations
from .trace import read_trace

COLUMNS = (
    "trace",
    "policy",
    "sent",
    "overshoot",
    "wrongful_refusals",
    "worst_workspace",
    "p50_ms",
    "p99_ms",
    "headroom_min",
    "cut",
    "doubled",
    "lost",
    "control_bytes_s",
    "store_calls_s",
)


def _replay_one(path: Path, examples: Path, policy):
    trace = read_trace(path)
    figures = replay(trace, examples, policy)
    found = violations(figures, trace) if policy == CHOSEN else []
    return figures, found


def measure(only: str = "", policy: str = "", root: str = ".", jobs: int = 6):
    """Replay the traces in ``traces``; print a table, and a JSON line per replay.

    Exit with status 1 if the production policy violates a limit of a trace.

    Parameters
    ----------
    only : str
        Replay only traces whose file names contain this text; all if empty.
    policy : str
        Name of the only policy to replay; all if empty.
    root : str
        Root folder of the repository.
    jobs : int
        Number of parallel replays. Replays are independent of each other, and
        each has a simulated clock that the load of the machine does not affect.
    """
    began_at = time.monotonic()
    paths = sorted(p for p in Path(root, "traces").glob("*.jsonl") if only in p.name)
    policies = [p for p in POLICIES if policy in ("", p.name)]
    examples = Path(root, "examples")
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(_replay_one, path, examples, selected)
            for path in paths
            for selected in policies
        ]
        results = [future.result() for future in futures]
    _print_table([figures for figures, _ in results])
    for figures, _ in results:
        print(json.dumps(figures))
    all_violations = [(figures, one) for figures, found in results for one in found]
    for figures, violation in all_violations:
        print(f"VIOLATION {figures['trace']}: {violation}")
    print(f"{len(results)} replays in {time.monotonic() - began_at:.0f} s")
    if all_violations:
        sys.exit(1)


def _print_table(rows: list[dict]):
    widths = {
        name: max(len(name), *(len(str(row[name])) for row in rows)) for name in COLUMNS
    }
    print("  ".join(name.ljust(widths[name]) for name in COLUMNS))
    for row in rows:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in COLUMNS))
    print()


if __name__ == "__main__":
    fire.Fire(measure)
