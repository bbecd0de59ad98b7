"""Signals that meet at one process, in series that the seed draws."""

import itertools
import random
import signal

import trio

from .faults import Disturbance, Fault, FaultInjector
from .processes import Vm
from .settings import START_TIMEOUT_S, SoakSettings
from .waits import cpu_times_s

# "hups" and "agains" go on and on: until a process that stops is gone, or until one
# that starts is ready. "restart" waits for the process that follows.
SIGNAL_SEQUENCES = {
    "stop_hup": ("stop", "hup"),
    "stop_hups": ("stop", "hups"),
    "stop_again": ("stop", "again"),
    "stop_agains": ("stop", "agains"),
    "stop_change": ("stop", "change"),
    "hup_hup": ("hup", "hup"),
    "paused_hup_stop": ("pause", "hup", "stop", "resume"),
    "restart_hup": ("stop", "restart", "hup"),
    "restart_hups": ("stop", "restart", "hups"),
}
STEP_SIGNALS = {
    "hup": signal.SIGHUP,
    "hups": signal.SIGHUP,
    "again": signal.SIGTERM,
    "agains": signal.SIGTERM,
    "pause": signal.SIGSTOP,
    "resume": signal.SIGCONT,
}
# Few, so that the load is mostly served as without them.
MAX_SEQUENCES = 3
SECONDS_PER_SEQUENCE = 4.0
# Longest times between two signals: in quick succession, or anywhere in a stop;
# a pause is short against what a process has left when it was told to stop.
MAX_GAPS_S = (0.05, 0.5, 3.5)
MAX_PAUSED_GAPS_S = (0.05, 0.3)
# Processor time after which a process runs its program. Its interpreter's start
# takes half of it, and in that no program can do anything about a signal.
INTERPRETER_START_S = 0.06


def draw_signals(settings: SoakSettings) -> list[Fault]:
    """Return the series of a soak. What `draw_faults` draws does not depend on them."""
    rng = random.Random(f"{settings.seed}/signals")
    count = max(1, min(MAX_SEQUENCES, int(settings.duration_s / SECONDS_PER_SEQUENCE)))
    sequences = [
        Fault(kind, rng.uniform(1.0, settings.duration_s), 0.0, rng.getrandbits(16))
        for kind in rng.sample(list(SIGNAL_SEQUENCES), count)
    ]
    return sorted(sequences, key=lambda fault: fault.start_s)


async def run_signals(injector: FaultInjector, plan: list[Fault]):
    """Do all series of a plan, each in its time."""
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in plan:
            await trio.sleep_until(began_at + fault.start_s)
            nursery.start_soon(_run_sequence, injector, fault)


async def _run_sequence(injector: FaultInjector, fault: Fault):
    vm = injector.vms[fault.random_bits % len(injector.vms)]
    # Another fault may have ended it; a series begins at a VM that serves.
    with trio.move_on_after(START_TIMEOUT_S) as waiting:
        while not vm.is_ready or vm.stopping_since is not None:
            await trio.sleep(0.1)
    if waiting.cancelled_caught:
        return
    disturbance = Disturbance(fault.kind, vm.name, trio.current_time())
    injector.disturbances.append(disturbance)
    await _send_sequence(vm, fault)
    disturbance.ended_at = trio.current_time()


async def _send_sequence(vm: Vm, fault: Fault):
    rng = random.Random(fault.random_bits)
    steps, process = SIGNAL_SEQUENCES[fault.kind], vm.process
    gaps_s = MAX_PAUSED_GAPS_S if "pause" in steps else MAX_GAPS_S
    async with trio.open_nursery() as nursery:
        for step, next_step in itertools.zip_longest(steps, steps[1:]):
            if step == "stop":
                nursery.start_soon(vm.stop)
            elif step == "restart":
                process = await _wait_for_next_process(vm, process)
            elif step == "change":
                vm.change_settings()
            elif step in ("hups", "agains"):
                await _send_repeatedly(vm, process, STEP_SIGNALS[step], rng)
            elif vm.process is process:
                if step == "hup" and rng.random() < 0.5:
                    vm.change_settings()
                vm.send(STEP_SIGNALS[step])
            if next_step and (step, next_step) != ("restart", "hups"):
                await trio.sleep(rng.uniform(0.0, rng.choice(gaps_s)))
    if "restart" in steps:
        await _wait_until_ready(vm, process)


async def _wait_for_next_process(vm: Vm, process: trio.Process) -> trio.Process:
    """Wait until the next process runs its program."""
    while vm.process is process:
        await trio.sleep(0.02)
    process = vm.process
    while (
        vm.is_running
        and not vm.is_ready
        and cpu_times_s(process.pid)[0] < INTERPRETER_START_S
    ):
        await trio.sleep(0.005)
    return process


async def _send_repeatedly(
    vm: Vm, process: trio.Process, signal_number: int, rng: random.Random
):
    with trio.move_on_after(START_TIMEOUT_S):
        while vm.process is process and process.returncode is None:
            if vm.is_ready and vm.stopping_since is None:
                return
            vm.send(signal_number)
            await trio.sleep(rng.uniform(0.0, 0.05))


async def _wait_until_ready(vm: Vm, process: trio.Process):
    with trio.move_on_after(START_TIMEOUT_S):
        while vm.process is process and vm.is_running and vm.stopping_since is None:
            if vm.is_ready:
                return
            await trio.sleep(0.1)
        # Another fault ended it, or it ended by itself, which is found as such.
        return
    sent = " ".join(vm.sent_signals[-6:])
    vm.failed_starts.append(
        f"was not ready {START_TIMEOUT_S:g} s after it started, sent {sent}"
    )
