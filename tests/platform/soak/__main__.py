"""Command line: ``python -m tests.platform.soak --seed=1 --duration=30``."""

import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from enum import IntEnum
from pathlib import Path

import fire
import trio

from tests.platform.store_standin import running_store

from .callers import RESPONSE_TIMEOUT_S, SentRequest, make_callers
from .faults import (
    STALL_THRESHOLD_S,
    FaultInjector,
    draw_cuts,
    draw_demands,
    draw_faults,
    draw_registrations,
    draw_watchers,
)
from .processes import running_vms
from .promises import Findings, InvariantChecker
from .settings import RECOVERY_S, START_TIMEOUT_S, SoakSettings
from .signals import SIGNAL_SEQUENCES, draw_signals, run_signals
from .waits import SAMPLE_PERIOD_S, cpu_times_s
from .world import running_world

# How long load continues after recovery, to check that callers are served again.
END_PHASE_S = 6.0
EXAMPLES_PER_RULE = 3
SAVED_LOGS = Path("target") / "soak"
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SoakTerminated(Exception):
    """The soak received SIGTERM or SIGINT."""


class ExitCode(IntEnum):
    """Exit status of the soak process."""

    OK = 0
    VIOLATED = 1
    FAILED = 2


def soak(
    seed: int = 1, duration: float = 30.0, vms: int = 6, domains: int = 3, rate=0.5
):
    """Run one soak and print its report as one JSON object on the last line.

    Parameters
    ----------
    seed : int
        Seeds the random draws of faults and load.
    duration : float
        Period in seconds during which faults start.
    vms, domains : int
        Number of gateways, and of the failure domains they are spread over.
    rate : float
        Average number of faults per second.
    """
    settings = SoakSettings(
        seed=seed,
        duration_s=float(duration),
        vms=vms,
        domains=domains,
        targets=max(6, 2 * domains),
        faults_per_s=float(rate),
    )
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        try:
            report = trio.run(_run_until_signal, settings, Path(folder))
        except BaseExceptionGroup as group:
            # The nested groups are too deep to print; the leaves hold the causes.
            causes = [f"{type(e).__name__}: {e}" for e in _leaf_exceptions(group)]
            kept = _save_logs(Path(folder), seed)
            print(json.dumps({"seed": seed, "failed": causes, "logs": kept}))
            sys.exit(ExitCode.FAILED)
        if report["violations"]:
            report["logs"] = _save_logs(Path(folder), seed)
    report["seconds"] = round(time.monotonic() - began_at, 1)
    print(json.dumps(report))
    sys.exit(ExitCode.VIOLATED if report["violations"] else ExitCode.OK)


async def _run_until_signal(settings: SoakSettings, folder: Path) -> dict:
    """Run a soak to its end, or until a signal arrives; either way stop its VMs."""
    with trio.open_signal_receiver(*TERMINATION_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_raise_on_signal, signals)
            report = await _soak(settings, folder)
            nursery.cancel_scope.cancel()
    return report


async def _raise_on_signal(signals):
    async for number in signals:
        raise SoakTerminated(f"terminated by {signal.Signals(number).name}")


async def _soak(settings: SoakSettings, folder: Path) -> dict:
    requests: list[SentRequest] = []
    faults = [
        *draw_faults(settings),
        *draw_registrations(settings),
        *draw_cuts(settings),
        *draw_demands(settings),
        *draw_watchers(settings),
    ]
    plan = sorted(faults, key=lambda fault: fault.start_s)
    sequences = draw_signals(settings)
    async with running_world(settings) as world:
        async with running_store(world.store) as store_address:
            async with running_vms(settings, store_address, folder) as vms:
                await _wait_until_ready(vms)
                injector = FaultInjector(world, vms)
                callers = make_callers(world, vms, requests, settings.callers)
                async with trio.open_nursery() as load:
                    load.start_soon(injector.watch_own_stalls)
                    for caller in callers:
                        load.start_soon(caller.run)
                    async with trio.open_nursery() as fault_nursery:
                        fault_nursery.start_soon(injector.run, plan)
                        fault_nursery.start_soon(run_signals, injector, sequences)
                    await trio.sleep(RECOVERY_S)
                    settled_at = trio.current_time()
                    await trio.sleep(END_PHASE_S)
                    load.cancel_scope.cancel()
                ended_at = trio.current_time()
                await _wait_until_scheduled(vms, ended_at)
                checker = InvariantChecker(
                    world, vms, requests, injector.disturbances, injector.demands
                )
                findings = checker.check(settled_at, ended_at)
                report = _build_report(
                    settings, plan, requests, findings, injector.stalls_s
                )
                report["vms_on_processors"] = _cpu_times(vms)
                done = [
                    d.kind for d in injector.disturbances if d.kind in SIGNAL_SEQUENCES
                ]
                report["signals"] = dict(Counter(done))
                report["while_stopping"] = _requests_while_stopping(vms, requests)
    return report


async def _wait_until_ready(vms):
    """Wait until each VM logs that it is ready to serve.

    The timeout excludes time that the VM or this process waited for a CPU.
    """
    for vm in vms:
        began_at = trio.current_time()
        own_waited_s, vm_waited_s = cpu_times_s(os.getpid())[1], vm.waited_s
        while not vm.is_ready:
            waited_s = max(
                cpu_times_s(os.getpid())[1] - own_waited_s,
                vm.waited_s - vm_waited_s,
                0.0,
            )
            took_s = trio.current_time() - began_at
            if took_s - waited_s > START_TIMEOUT_S + 0.2 * len(vms):
                raise TimeoutError(
                    f"{vm.name} was not ready after {took_s:.1f} s, of which it or the "
                    f"soak waited {waited_s:.1f} s for a CPU"
                )
            await trio.sleep(0.1)


async def _wait_until_scheduled(vms, since: float):
    """Wait until each VM has run again: the kernel counts a wait only when it ends."""
    with trio.move_on_after(RESPONSE_TIMEOUT_S):
        while any(vm.waits.ran_after < since for vm in vms):
            await trio.sleep(SAMPLE_PERIOD_S)


def _cpu_times(vms) -> dict:
    """Return each VM's CPU time, its time waiting for a CPU, and its long waits."""
    return {
        vm.name: {
            "ran_s": round(vm.waits.ran_s, 2),
            "waited_s": round(vm.waits.waited_s, 2),
            "stalls_s": vm.waits.longer_than(STALL_THRESHOLD_S),
        }
        for vm in vms
    }


def _requests_while_stopping(vms, requests: list[SentRequest]) -> dict:
    """Summarize requests sent to stopping VMs, to show that the load covers stops."""
    stops = {vm.request_address: vm.stops for vm in vms}
    sent_after_stop = [
        (request.sent_at - since, request.on_reused_connection)
        for request in requests
        for since, until in stops.get(request.vm_address, ())
        if since < request.sent_at < until
    ]
    return {
        "stops": sum(map(len, stops.values())),
        "requests": len(sent_after_stop),
        "on_kept_connections": sum(is_reused for _, is_reused in sent_after_stop),
        "last_after_s": round(max(sent_after_stop, default=(0.0,))[0], 2),
    }


def _leaf_exceptions(error: BaseException):
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for nested in error.exceptions:
        yield from _leaf_exceptions(nested)


def _build_report(settings, plan, requests, findings: Findings, stalls_s) -> dict:
    return {
        "seed": settings.seed,
        "duration_s": settings.duration_s,
        "vms": settings.vms,
        "faults": dict(Counter(fault.kind for fault in plan)),
        "stalls_s": stalls_s,
        "requests": len(requests),
        "statuses": dict(Counter(str(request.status) for request in requests)),
        "violations": {rule: len(lines) for rule, lines in findings.by_rule.items()},
        "first": {
            r: lines[:EXAMPLES_PER_RULE] for r, lines in findings.by_rule.items()
        },
        "excused_by_waits": findings.excused_by_waits,
        "cuts": findings.cuts,
    }


def _save_logs(folder: Path, seed: int) -> str:
    """Save the logs of a run that violated an invariant or failed."""
    kept = SAVED_LOGS / f"seed-{seed}"
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept)
    return str(kept)


if __name__ == "__main__":
    fire.Fire(soak)
