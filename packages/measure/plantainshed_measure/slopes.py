"""Measures at three sizes how memory and processor time grow with the size."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

import trio
from attrs import frozen

from plantainshed_coordination.budgets import (
    BudgetKind,
    BudgetSpec,
)
from plantainshed_coordination.count_part import CountPart
from plantainshed_coordination.division import divide
from plantainshed_coordination.identity import Identity
from plantainshed_coordination.members import MemberTable
from plantainshed_coordination.membership import Membership, SeedMember
from plantainshed_coordination.network import PeerNetwork
from plantainshed_coordination.peer_pb2 import Envelope, MemberRecord
from plantainshed_coordination.rate_part import RatePart
from plantainshed_coordination.versioned import Revision
from plantainshed_entry.in_force import empty_indexed_document, index_document
from plantainshed_entry.targets import TargetState
from plantainshed_model.blocks import BlockTable
from plantainshed_model.codec import to_segments
from plantainshed_model.document import Pool, Target
from plantainshed_standins.memory_network import MemoryNetwork
from plantainshed_standins.memory_platform import MemoryPlatform

from .bench import large_document

REPEATS = 3
HEARTBEATS = 20


@frozen
class Slope:
    """Measurements of one quantity at several sizes, and a straight line through them.

    Parameters
    ----------
    what : str
        Name of the quantity.
    unit, per : str
        Unit of the values, and of the sizes in the singular.
    sizes : tuple of int
    values : tuple of float
        The measured value for each size.
    """

    what: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares line."""
        line = statistics.linear_regression(self.sizes, self.values)
        return line.slope, line.intercept

    @property
    def residual(self) -> float:
        """Largest deviation from the line, as a fraction of the largest value."""
        slope, intercept = self.fit
        distances = (
            abs(value - slope * size - intercept)
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return max(distances) / max(max(self.values), 1e-12)

    def predict(self, size: int) -> float:
        """Return the value of the line at a size."""
        slope, intercept = self.fit
        return slope * size + intercept


def all_slopes() -> list[Slope]:
    """Measure all quantities."""
    return [
        _measure_memory(
            "client blocks, packed", "block", (70_000, 140_000, 210_000), _make_blocks
        ),
        _measure_memory("member records", "peer", (100, 300, 900), _make_members),
        _measure_memory("rate parts", "workspace", (500, 1000, 2000), _make_rate_parts),
        _measure_memory(
            "targets with slots", "target", (500, 1000, 2000), _make_targets
        ),
        _measure_time(
            "change applied, blocks unchanged",
            "workspace",
            (500, 1000, 2000),
            _prepare_apply,
        ),
        _measure_time(
            "blocks rebuilt", "block", (20_000, 40_000, 80_000), _prepare_rebuild
        ),
        _measure_time(
            "heartbeat made and read",
            "domain peer",
            (8, 17, 34),
            _prepare_heartbeat,
            HEARTBEATS,
        ),
        _measure_time(
            "rebalance division", "holder", (100, 300, 900), _prepare_division
        ),
    ]


def _measure_memory(what, per, sizes, make: Callable[[int], object]) -> Slope:
    """Measure the memory that the object returned by ``make`` retains, in bytes."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del kept
    return Slope(what, "bytes", per, tuple(sizes), tuple(values))


def _measure_time(
    what, per, sizes, prepare: Callable[[int], Callable[[], object]], times: int = 1
) -> Slope:
    """Measure the processor time of an operation in microseconds.

    ``prepare`` returns a function that runs the operation ``times`` times. The fastest
    of `REPEATS` measurements counts.
    """
    values = []
    for size in sizes:
        run = prepare(size)
        values.append(min(_measure_seconds(run) for _ in range(REPEATS)) * 1e6 / times)
    return Slope(what, "us", per, tuple(sizes), tuple(values))


def _measure_seconds(run) -> float:
    times = 0
    began = time.process_time()
    while time.process_time() - began < 0.05:
        run()
        times += 1
    return (time.process_time() - began) / times


def _make_blocks(count: int):
    return BlockTable(iter(large_document(count).blocks))


def _record(number: int) -> MemberRecord:
    return MemberRecord(
        vm=f"d{number % 28:02d}-{number}",
        failure_domain=f"d{number % 28:02d}",
        incarnation=1_764_720_000_000 + number,
        revision=3,
        state=1,
        listen=f"10.0.{number // 250}.{number % 250}:8100",
        peer=f"10.0.{number // 250}.{number % 250}:8101",
        control=f"10.0.{number // 250}.{number % 250}:8102",
        operation_epoch=1,
        document_version=5400,
        tombstone_digest=number,
    )


def _make_members(count: int):
    table = MemberTable()
    for number in range(count):
        table.merge(_record(number), 0.0)
    return table


def _run_in_trio(function):
    async def body():
        return function()

    return trio.run(body)


def _make_rate_parts(count: int):
    specs = [
        BudgetSpec(f"workspace/w{n}", BudgetKind.RATE, rate=10.0, burst=5.0)
        for n in range(count)
    ]
    return _run_in_trio(lambda: {spec.name: RatePart(spec) for spec in specs})


def _make_targets(count: int):
    pool = Pool("p", "/p", 9, 400)

    def make():
        states = {}
        for number in range(count):
            target = Target(f"p-{number}", "p", "d", "10.0.0.1:80")
            spec = BudgetSpec(f"slots/p-{number}", BudgetKind.COUNT, count=9)
            states[target.name] = TargetState(target, pool, CountPart(spec))
        return states

    return _run_in_trio(make)


def _prepare_apply(count: int):
    from plantainshed_model.document import Document, Workspace

    document = Document(
        workspaces=tuple(Workspace(f"w{n}", 10.0, 5.0) for n in range(count))
    )
    segments = to_segments(document)
    revision = Revision(1, "c", "", {}, "", "", "")
    return lambda: index_document(revision, segments, empty_indexed_document())


def _prepare_rebuild(count: int):
    blocks = large_document(count).blocks
    return lambda: BlockTable(iter(blocks))


def message_bytes(peers: int) -> dict[str, int]:
    """Return the sizes in bytes of a heartbeat and a full summary.

    ``peers`` is the number of VMs in the failure domain.
    """
    membership = _run_in_trio(lambda: _membership_with(peers))

    def measure():
        summary = membership.summaries._summary_of("d00", full=True)
        heartbeat = membership._heartbeat()
        return {
            "heartbeat": Envelope(vm="d00-0", heartbeat=heartbeat).ByteSize(),
            "summary": Envelope(vm="d00-0", summary=summary).ByteSize(),
        }

    return _run_in_trio(measure)


def _membership_with(peers: int) -> Membership:
    network = PeerNetwork(Identity("d00-0", "d00", 1), MemoryNetwork().open("d00-0"))
    seeds = [SeedMember(f"d00-{n}", "d00", "10.0.0.1:1") for n in range(peers)]
    membership = Membership(
        network.identity, network, MemoryPlatform(), seeds, _record(0)
    )
    for number in range(peers):
        record = _record(number * 28)
        record.failure_domain = "d00"
        membership.table.merge(record, -100.0)
    return membership


def _prepare_heartbeat(peers: int):
    membership = _run_in_trio(lambda: _membership_with(peers))

    def run():
        async def body():
            for _ in range(HEARTBEATS):
                envelope = Envelope(vm="d00-0", heartbeat=membership._heartbeat())
                received = Envelope()
                received.ParseFromString(envelope.SerializeToString())
                await membership._on_heartbeat(None, received.heartbeat)

        trio.run(body)

    return run


def _prepare_division(holders: int):
    wanted = {f"vm-{n}~1": float(n % 7) for n in range(holders)}
    return lambda: divide(1_000_000, wanted)
