"""Sends seeded sequences of overlapping signals to one process."""

import itertools
import random
import signal

import trio

from .faults import Disturbance, Fault, FaultInjector
from .processes import Vm
from .settings import START_TIMEOUT_S, SoakSettings
from .waits import cpu_times_s

# "hups" and "agains" repeat a signal until a stopping process has exited or a starting
# process is ready. "restart" waits for the next process.
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
# Few, so that the load is mostly served as it is without signals.
MAX_SEQUENCES = 3
SECONDS_PER_SEQUENCE = 4.0
# Upper limits of the gap between two signals, one drawn per gap: in quick succession,
# or at any point of a stop. Gaps around a pause are short compared with the time that
# a process has for its stop.
MAX_GAPS_S = (0.05, 0.5, 3.5)
MAX_PAUSED_GAPS_S = (0.05, 0.3)
# CPU time after which a process has reached its program. The interpreter's startup
# takes half of it, and during startup no program can handle a signal.
INTERPRETER_START_S = 0.06


def draw_signals(settings: SoakSettings) -> list[Fault]:
    """Draw the signal sequences of a soak, independently of `draw_faults`."""
    rng = random.Random(f"{settings.seed}/signals")
    count = max(1, min(MAX_SEQUENCES, int(settings.duration_s / SECONDS_PER_SEQUENCE)))
    sequences = [
        Fault(kind, rng.uniform(1.0, settings.duration_s), 0.0, rng.getrandbits(16))
        for kind in rng.sample(list(SIGNAL_SEQUENCES), count)
    ]
    return sorted(sequences, key=lambda fault: fault.start_s)


async def run_signals(injector: FaultInjector, plan: list[Fault]):
    """Run all sequences of a plan, each at its start time."""
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in plan:
            await trio.sleep_until(began_at + fault.start_s)
            nursery.start_soon(_run_sequence, injector, fault)


async def _run_sequence(injector: FaultInjector, fault: Fault):
    vm = injector.vms[fault.random_bits % len(injector.vms)]
    # Another fault may have stopped the VM; a sequence starts only at a ready VM.
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
    """Wait until the next process has started and reached its program."""
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
        # Another fault stopped it, or it exited by itself, which record_exit reports.
        return
    sent = " ".join(vm.sent_signals[-6:])
    vm.failed_starts.append(
        f"was not ready {START_TIMEOUT_S:g} s after it started, sent {sent}"
    )
