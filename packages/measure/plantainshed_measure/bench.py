"""Benchmarks of look-ups, memory and relaying.

Run them as ``python -m plantainshed_measure.bench``. Absolute times depend on the
machine, so the cost of relaying is also compared with a minimal relay that runs in
the same process.
"""

import json
import statistics
import sys
import time

import trio

from plantainshed_coordination.versioned import Revision
from plantainshed_entry.in_force import empty_indexed_document, index_document
from plantainshed_entry.lookup import Lookup
from plantainshed_http.client import ClientConnection
from plantainshed_model.codec import to_segments
from plantainshed_model.document import ClientBlock, Document, FailureDomain, Region

from .bench_parts import bare_relay, entry_relay, serve_target
from .memory import measure_in_new_process

BLOCKS = 210_000
DOMAINS = 28
REGIONS = 12
LOOKUPS = 200_000
REQUESTS = 1500
ROUNDS = 5
MIN_LOOKUPS_PER_S = 50_000
MAX_MEMORY_MB = 64
MAX_RELAY_RATIO = 2.5


def large_document(blocks: int = BLOCKS) -> Document:
    """Return a document of the planned size that contains only the topology."""
    domains = tuple(
        FailureDomain(f"d{number:02d}", f"r{number % REGIONS:02d}")
        for number in range(DOMAINS)
    )
    regions = tuple(Region(f"r{number:02d}") for number in range(REGIONS))
    rows = tuple(
        ClientBlock(_cidr(number), domains[number % DOMAINS].name)
        for number in range(blocks)
    )
    return Document(regions=regions, failure_domains=domains, blocks=rows)


def _cidr(number: int) -> str:
    address = (10 << 24) + number * 256
    return ".".join(str(address >> shift & 255) for shift in (24, 16, 8, 0)) + "/24"


class StubDependencies:
    """Stub of steering and membership, so that only the look-up decision is timed."""

    class Identity:
        """Identity of the VM that answers the look-ups."""

        vm = "d00-1"
        failure_domain = "d00"

    identity = Identity()

    def records(self):
        """Return no VMs."""
        return []

    def domains_for(self, pool, home, bucket):
        """Return no domains."""
        return []


def bench_lookup() -> dict:
    """Measure the rate of look-up decisions with all client blocks loaded."""
    segments = to_segments(large_document())
    in_force = index_document(
        Revision(1, "c", "", {n: n for n in segments}, "", "", ""),
        segments,
        empty_indexed_document(),
    )
    lookup = Lookup(StubDependencies(), StubDependencies())
    lookup.in_force = in_force
    lookup._work_out = lambda pool, home, bucket: (pool, home, bucket)
    addresses = [_cidr(number * 37 % BLOCKS)[:-4] + "9" for number in range(5000)]
    rates = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for number in range(LOOKUPS // ROUNDS):
            lookup.answer(addresses[number % len(addresses)], "p")
        rates.append(LOOKUPS / ROUNDS / (time.process_time() - began))
    blocks = len(in_force.blocks)
    return {"lookups_s": round(statistics.median(rates)), "blocks": blocks}


def bench_memory() -> dict:
    """Measure the memory of a daemon with all client blocks loaded."""
    figures = measure_in_new_process(to_segments(large_document()))
    return {"memory_mb": figures["loaded_mb"], "imports_mb": figures["imported_mb"]}


async def bench_relay() -> dict:
    """Compare the processor time of a request through a daemon and a minimal relay.

    Both run in turn in this process, with the same target and caller. The cost of the
    target and the caller is measured without a relay and subtracted from both.
    """
    async with trio.open_nursery() as nursery:
        target = await nursery.start(serve_target)
        bare = await nursery.start(bare_relay, target)
        entry, key = await nursery.start(entry_relay, target)
        costs = {"direct": [], "bare": [], "entry": []}
        addresses = {"direct": target, "bare": bare, "entry": entry}
        for _ in range(ROUNDS):
            for name, address in addresses.items():
                costs[name].append(await _measure_request(address, key))
        nursery.cancel_scope.cancel()
    direct, bare_cost, entry_cost = (
        statistics.median(costs[name]) for name in ("direct", "bare", "entry")
    )
    return {
        "bare_relay_us": round((bare_cost - direct) * 1e6),
        "entry_us": round((entry_cost - direct) * 1e6),
        "ratio": round((entry_cost - direct) / (bare_cost - direct), 2),
    }


async def _measure_request(address: str, key: bytes) -> float:
    connection = await ClientConnection.open(address, 2)
    headers = [(b"authorization", b"Bearer " + key)]
    for _ in range(20):
        await connection.request("GET", "/p/x", headers)
    began = time.process_time()
    for _ in range(REQUESTS // ROUNDS):
        await connection.request("GET", "/p/x", headers)
    seconds = time.process_time() - began
    await connection.aclose()
    return seconds / (REQUESTS // ROUNDS)


def main():
    """Run all benchmarks; exit with status 1 if one misses its limit."""
    figures = {**bench_lookup(), **bench_memory(), **trio.run(bench_relay)}
    passed = {
        "lookups_s": figures["lookups_s"] >= MIN_LOOKUPS_PER_S,
        "memory_mb": figures["memory_mb"] <= MAX_MEMORY_MB,
        "ratio": figures["ratio"] <= MAX_RELAY_RATIO,
    }
    for name, value in figures.items():
        verdict = {True: "ok", False: "MISSED", None: ""}[passed.get(name)]
        print(f"{name:<16} {value:>12} {verdict}")
    print(json.dumps(figures))
    sys.exit(0 if all(passed.values()) else 1)


if __name__ == "__main__":
    main()
