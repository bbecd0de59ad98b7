"""Replays a trace on a rig and computes the figures of the replay."""

import random
from pathlib import Path

import trio
from attrs import asdict

from plantainshed_coordination.digests import content_digest
from plantainshed_entry.in_force import SHIFT_BURST_S
from plantainshed_model.codec import from_text
from plantainshed_model.document import Document
from plantainshed_standins.memory_network import run_deterministically

from .callers import Callers
from .faults import FAULTS
from .policies import Policy
from .rig import Rig
from .tally import Tally, excess_over_cap
from .trace import SLICE_S, Trace, TraceEvent

SETTLE_S = 12.0
FINAL_WAIT_S = 6.0
SAMPLE_S = 0.1
VMS_PER_DOMAIN = 1


def replay(trace: Trace, examples: Path, policy: Policy, vms_per_domain=VMS_PER_DOMAIN):
    """Replay a trace in simulated time and return its figures by name.

    Parameters
    ----------
    trace : Trace
    examples : Path
        Folder with the example deployments and their documents.
    policy : Policy
    vms_per_domain : int
        Number of VMs in each failure domain.
    """
    document = from_text((examples / trace.deployment / "document.json").read_text())
    return run_deterministically(_replay, trace, document, policy, vms_per_domain)


async def _replay(
    trace: Trace, document: Document, policy: Policy, vms_per_domain: int
):
    vms = [
        (f"{domain.name}-{number}", domain.name)
        for domain in document.failure_domains
        for number in range(1, vms_per_domain + 1)
    ]
    rig = Rig(document, vms, policy)
    tally = Tally(rig.document)
    _record_admissions(rig, tally)
    callers = Callers(rig, tally)
    async with rig.running():
        await trio.sleep(SETTLE_S)
        before = _count_control_traffic(rig)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_sample_headroom, rig, tally, trace.length_s)
            await _play_events(trace, rig, tally, callers, nursery)
        after = _count_control_traffic(rig)
        await trio.sleep(FINAL_WAIT_S)
        return _figures(trace, policy, rig, tally, before, after)


async def _play_events(trace: Trace, rig: Rig, tally: Tally, callers: Callers, nursery):
    began_at = trio.current_time()
    for item in trace.events:
        await trio.sleep_until(began_at + item.t)
        if item.fault:
            nursery.start_soon(_inject_fault, item, rig, tally)
        else:
            nursery.start_soon(_send_slice, item, callers, nursery)


async def _inject_fault(item: TraceEvent, rig: Rig, tally: Tally):
    await FAULTS[item.fault](rig, tally, **item.arguments)


async def _send_slice(item: TraceEvent, callers: Callers, nursery):
    """Send the requests of one time slice, each at a random time within it.

    The generator is seeded with the event's time, so each replay draws the same.
    """
    rng = random.Random(item.t)
    began_at = trio.current_time()
    planned = [
        (rng.random() * SLICE_S, arrivals)
        for arrivals in item.requests
        for _ in range(arrivals.count)
    ]
    for offset_s, arrivals in sorted(planned, key=lambda pair: pair[0]):
        await trio.sleep_until(began_at + offset_s)
        nursery.start_soon(
            callers.request, arrivals.workspace, arrivals.pool, arrivals.home
        )


def _record_admissions(rig: Rig, tally: Tally):
    """Record the admissions of all VMs, including those that start later.

    Wraps each VM's `Admission.take_rate_token`.
    """
    start_vm = rig.start_vm

    def start_recorded_vm(vm: str):
        start_vm(vm)
        admission = rig.vms[vm].node.admission
        original_take_rate_token = admission.take_rate_token

        async def take_and_record(workspace):
            await original_take_rate_token(workspace)
            tally.record_admission(workspace.name)

        admission.take_rate_token = take_and_record

    rig.start_vm = start_recorded_vm


async def _sample_headroom(rig: Rig, tally: Tally, length_s: float):
    regions = set(rig.region.values())
    with trio.move_on_after(length_s):
        while True:
            await trio.sleep(SAMPLE_S)
            for region in regions:
                targets = [
                    t
                    for t in rig.targets.values()
                    if rig.region[t.failure_domain] == region and not t.is_down
                ]
                slots = sum(target.slots for target in targets)
                if slots:
                    running = sum(target.running for target in targets)
                    headroom = 1.0 - running / slots
                    tally.headroom_min = min(tally.headroom_min, headroom)


def _count_control_traffic(rig: Rig) -> tuple[float, int, int, int]:
    sent = sum(t.sent_bytes + t.received_bytes for t in rig.all_transports)
    messages = sum(t.sent_messages for t in rig.all_transports)
    return trio.current_time(), sent, messages, rig.platform.calls.total()


def _figures(trace: Trace, policy: Policy, rig: Rig, tally: Tally, before, after):
    runs: dict[str, int] = {}
    for target in rig.targets.values():
        for name, count in target.runs.items():
            runs[name] = runs.get(name, 0) + count
    answered = sum(counted.answered for counted in tally.workspaces.values())
    entitled = sum(counted.entitled for counted in tally.workspaces.values())
    worst, worst_share = tally.worst_workspace()
    wrongful_refusals = tally.count_wrongful_refusals()
    seconds, sent, messages, calls = (b - a for a, b in zip(before, after, strict=True))
    vms = len(rig.domain_of)
    return {
        "deployment": trace.deployment,
        "trace": trace.name,
        "policy": policy.name,
        "sent": sum(counted.arrived for counted in tally.workspaces.values()),
        "answered": answered,
        "refused": tally.refusals(),
        "overshoot": tally.overshoot(),
        "wrongful_refusals": wrongful_refusals,
        "wrongful_share": round(wrongful_refusals / max(1, entitled), 5),
        "worst_workspace": worst_share,
        "worst_workspace_name": worst,
        "p50_ms": tally.percentile_ms(50),
        "p99_ms": tally.percentile_ms(99),
        "headroom_min": round(tally.headroom_min, 3),
        "drain_s": tally.durations["drain_s"],
        "cut": tally.cut,
        "doubled": sum(1 for name in runs if "~" in name and runs[name] > 1),
        "lost": tally.lost,
        "false_not_run": _false_not_run(tally, runs),
        "shift_cap_excess": _shift_cap_excess(rig),
        "config_in_force_s": tally.durations["config_in_force_s"],
        "key_withdrawn_s": tally.durations["key_withdrawn_s"],
        "control_bytes_s": round(sent / seconds / vms),
        "control_messages_s": round(messages / seconds / vms, 1),
        "store_calls_s": round(calls / seconds / vms, 2),
        "overrun_slots": sum(
            max(0, target.most_running - target.slots)
            for target in rig.targets.values()
        ),
        "shed": sum(target.shed for target in rig.targets.values()),
        "digest": _digest(rig, tally),
    }


def _digest(rig: Rig, tally: Tally) -> str:
    """Return a digest of the unrounded counters and of the stored objects.

    Equal digests show that two replays of a trace took the same course. Request
    ids are excluded because they are random.
    """
    counted = (
        [(name, asdict(counts)) for name, counts in sorted(tally.workspaces.items())],
        [asdict(bucket) for bucket in tally.admissions.values()],
        tally.latencies,
        [(t.address, t.sent_bytes, t.sent_messages) for t in rig.all_transports],
        [(name, [at for at, _ in t.started]) for name, t in rig.targets.items()],
        sorted(rig.platform.calls.items()),
        [(name, item.value) for name, item in rig.platform.objects.items()],
    )
    return content_digest(repr(counted).encode())


def _false_not_run(tally: Tally, runs: dict[str, int]) -> int:
    answered_later = set()
    return sum(1 for name in set(tally.not_run) - answered_later if runs.get(name))


def _shift_cap_excess(rig: Rig) -> float | None:
    if not rig.document.shifts:
        return None
    excess = 0.0
    for shift in rig.document.shifts:
        moved = [
            at
            for target in rig.targets.values()
            for at, call in target.started
            if _is_moved(rig, shift, target, call)
        ]
        burst = max(1.0, shift.cap * SHIFT_BURST_S)
        excess = max(excess, excess_over_cap(moved, shift.cap, burst))
    return excess


def _is_moved(rig: Rig, shift, target, call) -> bool:
    return (
        call.pool.name == shift.pool
        and rig.region[target.failure_domain] == shift.to_region
        and rig.region.get(call.home_domain) == shift.from_region
    )


def violations(figures: dict, trace: Trace) -> list[str]:
    """Return a message for each figure that violates a limit of the trace.

    A limit is a maximum, except that of ``worst_workspace``, which is a minimum.
    """
    found = []
    for name, limit in trace.limits.items():
        value = figures[name]
        if name == "worst_workspace":
            if value < limit:
                found.append(f"{name} is {value}, less than {limit}")
        elif value is None or value > limit:
            found.append(f"{name} is {value}, more than {limit}")
    return found
