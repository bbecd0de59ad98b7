"""``python -m plantainshed_measure.capacity``: rewrites the tables of the page.

Everything between the markers of docs/CAPACITY.md is this program's output.
"""

import json
from pathlib import Path

import fire
import trio

from plantainshed_coordination.summaries import DELEGATES_PER_DOMAIN, FULL_SUMMARY_EVERY
from plantainshed_model.codec import to_segments

from .bench import bench_lookup, large_document
from .memory import measure_in_new_process
from .slopes import Slope, all_slopes, message_bytes
from .transports import transport_costs

PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"
DAEMONS = 940
DOMAINS = 28
BLOCKS = 210_000
TARGETS_A_DOMAIN = 250
WORKSPACES = 2000
LOOKUPS_S = 400_000
PEERS_A_DOMAIN = -(-DAEMONS // DOMAINS)
HEARTBEATS_S = 8
CONTROL_CPU_US = 15_000
PLANNED_SIZE = {
    "client blocks, packed": BLOCKS,
    "member records": DAEMONS,
    "rate parts": WORKSPACES,
    "targets with slots": TARGETS_A_DOMAIN,
    "change applied, blocks unchanged": WORKSPACES,
    "blocks rebuilt": BLOCKS,
    "heartbeat made and read": PEERS_A_DOMAIN,
    "rebalance division": DAEMONS,
}


def capacity(page: str = str(PAGE)):
    """Measure slopes, print them, and rewrite the page's tables."""
    slopes = all_slopes()
    costs = trio.run(transport_costs)
    memory = measure_in_new_process(to_segments(large_document()))
    lookups = bench_lookup()["lookups_s"]
    tables = (
        _slope_table(slopes),
        _cost_table(costs),
        _sums(slopes, costs, memory, lookups),
    )
    text = "\n\n".join("\n".join(rows) for rows in tables)
    print(text)
    path = Path(page)
    if path.exists():
        path.write_text(_between_markers(path.read_text(), text))
    figures = {slope.what: [*slope.fit, slope.residual] for slope in slopes}
    print(json.dumps({"slopes": figures, "costs": costs, **memory}))


def _slope_table(slopes: list[Slope]) -> list[str]:
    rows = [
        "| what | measured at | values | slope | residual | at the planned size |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        size = PLANNED_SIZE[slope.what]
        sizes = ", ".join(str(size) for size in slope.sizes)
        values = ", ".join(_short(value) for value in slope.values)
        rate, _ = slope.fit
        measured = size in slope.sizes
        kind = "measured" if measured else "extrapolated"
        rows.append(
            f"| {slope.what} | {sizes} | {values} {slope.unit} | "
            f"{rate:.3g} {slope.unit} a {slope.per} | {slope.residual:.1%} | "
            f"{_short(slope.at(size))} {slope.unit} at {size} ({kind}) |"
        )
    return rows


def _cost_table(costs: dict[str, float]) -> list[str]:
    rows = [
        "| message of 200 bytes, both ends together | processor time |",
        "| --- | --- |",
    ]
    rows += [f"| {kind} | {cost:g} us |" for kind, cost in costs.items()]
    return rows


def _sums(slopes: list[Slope], costs, memory, lookups) -> list[str]:
    by_name = {slope.what: slope for slope in slopes}
    heartbeat_us = by_name["heartbeat made and read"].at(PEERS_A_DOMAIN)
    datagram_us = costs["UDP datagram, one way, authenticated"]
    beats = HEARTBEATS_S * (heartbeat_us + datagram_us)
    sizes = message_bytes(PEERS_A_DOMAIN)
    summaries_s = DELEGATES_PER_DOMAIN * (DOMAINS - 1) / PEERS_A_DOMAIN
    # Both directions; one summary in five is full, the others carry the
    # sender's record and what is new.
    beat_bytes = 2 * HEARTBEATS_S * sizes["heartbeat"]
    summary_bytes = 2 * summaries_s * sizes["summary"] / FULL_SUMMARY_EVERY
    change_us = by_name["change applied, blocks unchanged"].at(WORKSPACES)
    return [
        "| limit of the planned size | measured beside it |",
        "| --- | --- |",
        f"| 64 MB a daemon | {memory['loaded_mb']} MB resident with {memory['blocks']} "
        f"blocks ({memory['imported_mb']} MB of it imports), measured |",
        f"| {CONTROL_CPU_US} us of control a second | {_short(beats)} us for "
        f"{HEARTBEATS_S} heartbeats made, sent and read in a domain of "
        f"{PEERS_A_DOMAIN}, from the slopes above |",
        f"| 26,000 bytes of control a second | {_short(beat_bytes)} for heartbeats "
        f"({sizes['heartbeat']} bytes each in a domain of {PEERS_A_DOMAIN}, measured) "
        f"and {_short(summary_bytes)} for summaries ({sizes['summary']} bytes when "
        "full, measured), both directions, worked out from the sizes |",
        f"| 5,400 changes a day in force within 8 s | {_short(change_us)} us to read, "
        f"check and install one at {WORKSPACES} workspaces, from the slope above; 0.01 "
        "to 0.02 s until six VMs have it, by `make measure` |",
        f"| {LOOKUPS_S} look-ups a second | {lookups} decisions a second on one core, "
        f"measured: {LOOKUPS_S / lookups:.1f} cores of decisions for the fleet, "
        f"{LOOKUPS_S / DAEMONS:.0f} a second for each daemon; the HTTP around them "
        "costs more, see the benchmarks |",
    ]


def _short(value: float) -> str:
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def _between_markers(page: str, text: str) -> str:
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{text}\n\n{END}{tail}"


if __name__ == "__main__":
    fire.Fire(capacity)
