"""``python -m plantainshed_measure``: replay all traces with all policies."""

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
    wrong = violations(figures, trace) if policy == CHOSEN else []
    return figures, wrong


def measure(only: str = "", policy: str = "", root: str = ".", jobs: int = 6):
    """Replay the committed traces and print a table and a JSON line for each.

    Parameters
    ----------
    only : str
        Part of the names of the traces to replay; all if empty.
    policy : str
        One policy; all if empty.
    root : str
        The checkout.
    jobs : int
        Replays that run at a time. They do not depend on each other, and each
        runs on a clock of its own that no load on the machine can change.
    """
    began_at = time.monotonic()
    paths = sorted(p for p in Path(root, "traces").glob("*.jsonl") if only in p.name)
    policies = [p for p in POLICIES if policy in ("", p.name)]
    examples = Path(root, "examples")
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(_replay_one, path, examples, chosen)
            for path in paths
            for chosen in policies
        ]
        results = [future.result() for future in futures]
    _print_table([figures for figures, _ in results])
    for figures, _ in results:
        print(json.dumps(figures))
    wrong = [(f, w) for f, found in results for w in found]
    for figures, violation in wrong:
        print(f"VIOLATION {figures['trace']}: {violation}")
    print(f"{len(results)} replays in {time.monotonic() - began_at:.0f} s")
    if wrong:
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
