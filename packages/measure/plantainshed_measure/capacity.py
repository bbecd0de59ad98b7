"""Updates the tables of docs/CAPACITY.md with measurements.

Run it as ``python -m plantainshed_measure.capacity``. Its output replaces everything
between the markers of the page.
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
TARGETS_PER_DOMAIN = 250
WORKSPACES = 2000
LOOKUPS_PER_S = 400_000
PEERS_PER_DOMAIN = -(-DAEMONS // DOMAINS)
HEARTBEATS_PER_S = 8
CONTROL_CPU_US = 15_000
PLANNED_SIZE = {
    "client blocks, packed": BLOCKS,
    "member records": DAEMONS,
    "rate parts": WORKSPACES,
    "targets with slots": TARGETS_PER_DOMAIN,
    "change applied, blocks unchanged": WORKSPACES,
    "blocks rebuilt": BLOCKS,
    "heartbeat made and read": PEERS_PER_DOMAIN,
    "rebalance division": DAEMONS,
}


def capacity(page: str = str(PAGE)):
    """Measure the slopes and costs, print them, and update the tables of the page."""
    slopes = all_slopes()
    costs = trio.run(transport_costs)
    memory = measure_in_new_process(to_segments(large_document()))
    lookups = bench_lookup()["lookups_s"]
    tables = (
        _slope_table(slopes),
        _cost_table(costs),
        _limits_table(slopes, costs, memory, lookups),
    )
    text = "\n\n".join("\n".join(rows) for rows in tables)
    print(text)
    path = Path(page)
    if path.exists():
        path.write_text(_replace_between_markers(path.read_text(), text))
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
        values = ", ".join(_format_value(value) for value in slope.values)
        rate, _ = slope.fit
        measured = size in slope.sizes
        kind = "measured" if measured else "extrapolated"
        rows.append(
            f"| {slope.what} | {sizes} | {values} {slope.unit} | "
            f"{rate:.3g} {slope.unit} a {slope.per} | {slope.residual:.1%} | "
            f"{_format_value(slope.predict(size))} {slope.unit} at {size} ({kind}) |"
        )
    return rows


def _cost_table(costs: dict[str, float]) -> list[str]:
    rows = [
        "| message of 200 bytes, both ends together | processor time |",
        "| --- | --- |",
    ]
    rows += [f"| {kind} | {cost:g} us |" for kind, cost in costs.items()]
    return rows


def _limits_table(slopes: list[Slope], costs, memory, lookups) -> list[str]:
    by_name = {slope.what: slope for slope in slopes}
    heartbeat_us = by_name["heartbeat made and read"].predict(PEERS_PER_DOMAIN)
    datagram_us = costs["UDP datagram, one way, authenticated"]
    heartbeats_us = HEARTBEATS_PER_S * (heartbeat_us + datagram_us)
    sizes = message_bytes(PEERS_PER_DOMAIN)
    summaries_s = DELEGATES_PER_DOMAIN * (DOMAINS - 1) / PEERS_PER_DOMAIN
    # Traffic counts in both directions. One summary in five is full, the others
    # carry only the sender's record and new information.
    heartbeat_bytes = 2 * HEARTBEATS_PER_S * sizes["heartbeat"]
    summary_bytes = 2 * summaries_s * sizes["summary"] / FULL_SUMMARY_EVERY
    change_us = by_name["change applied, blocks unchanged"].predict(WORKSPACES)
    return [
        "| limit of the planned size | measured beside it |",
        "| --- | --- |",
        f"| 64 MB a daemon | {memory['loaded_mb']} MB resident with {memory['blocks']} "
        f"blocks ({memory['imported_mb']} MB of it imports), measured |",
        f"| {CONTROL_CPU_US} us of control a second | "
        f"{_format_value(heartbeats_us)} us for "
        f"{HEARTBEATS_PER_S} heartbeats made, sent and read in a domain of "
        f"{PEERS_PER_DOMAIN}, from the slopes above |",
        "| 26,000 bytes of control a second | "
        f"{_format_value(heartbeat_bytes)} for heartbeats "
        f"({sizes['heartbeat']} bytes each in a domain of "
        f"{PEERS_PER_DOMAIN}, measured) "
        f"and {_format_value(summary_bytes)} for summaries "
        f"({sizes['summary']} bytes when "
        "full, measured), both directions, worked out from the sizes |",
        "| 5,400 changes a day in force within 8 s | "
        f"{_format_value(change_us)} us to read, "
        f"check and install one at {WORKSPACES} workspaces, from the slope above; 0.01 "
        "to 0.02 s until six VMs have it, by `make measure` |",
        f"| {LOOKUPS_PER_S} look-ups a second | "
        f"{lookups} decisions a second on one core, "
        f"measured: {LOOKUPS_PER_S / lookups:.1f} cores of decisions for the fleet, "
        f"{LOOKUPS_PER_S / DAEMONS:.0f} a second for each daemon; the HTTP around them "
        "costs more, see the benchmarks |",
    ]


def _format_value(value: float) -> str:
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def _replace_between_markers(page: str, text: str) -> str:
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{text}\n\n{END}{tail}"


if __name__ == "__main__":
    fire.Fire(capacity)
