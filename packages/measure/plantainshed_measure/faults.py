"""Faults and operator actions that a trace can apply to a rig.

Traces refer to these functions and their arguments by name. Each function takes the
rig, the tally and the arguments of the trace line. Functions that measure a duration
store it in `Tally.durations`.
"""

import trio
from attrs import evolve

from plantainshed_entry.admission import KEY_WITHDRAWN_TOPIC
from plantainshed_model import commands
from plantainshed_model.document import DrainKind, Shift, ShiftState

from .rig import Rig
from .tally import Tally

POLL_S = 0.01
DRAIN_WATCH_S = 10.0
EVENT_TIMEOUT_S = 20.0


async def kill_vm(rig: Rig, tally: Tally, vm: str, restart_after_s: float = 0.0):
    """Kill a VM; restart it after ``restart_after_s`` seconds unless that is 0."""
    rig.kill_vm(vm)
    if restart_after_s:
        await trio.sleep(restart_after_s)
        rig.start_vm(vm)


async def lose_region(rig: Rig, tally: Tally, region: str):
    """Kill all VMs and targets of a region; the platform unlists the VMs later."""
    vms = [vm for vm in rig.vms if rig.region[rig.domain_of[vm]] == region]
    for vm in vms:
        rig.kill_vm(vm)
    for target in rig.targets.values():
        if rig.region[target.failure_domain] == region:
            target.crash()
    await trio.sleep(8.0)
    for vm in vms:
        rig.forget_vm(vm)


async def replace_all(rig: Rig, tally: Tally, gap_s: float = 0.5):
    """Restart all VMs gracefully, one after another."""
    began_at = trio.current_time()
    for vm in sorted(rig.domain_of):
        await rig.replace_vm(vm, gap_s)
        await trio.sleep(gap_s)
    tally.durations["replaced_s"] = round(trio.current_time() - began_at, 1)


async def isolate(rig: Rig, tally: Tally, failure_domain: str, seconds: float):
    """Cut a failure domain off from all others and the platform for a while."""
    rig.isolated.add(failure_domain)
    await trio.sleep(seconds)
    rig.isolated.discard(failure_domain)


async def store_down(rig: Rig, tally: Tally, seconds: float):
    """Make all store calls fail for a while."""
    await rig.platform.set_down(True)
    await trio.sleep(seconds)
    await rig.platform.set_down(False)


async def store_slow(rig: Rig, tally: Tally, seconds: float, delay_s: float):
    """Delay all store calls for a while."""
    rig.platform.faults.delay_s = delay_s
    await trio.sleep(seconds)
    rig.platform.faults.delay_s = 0.0


async def change_config(rig: Rig, tally: Tally, workspace: str, rate: float):
    """Change the rate of a workspace and measure how long all VMs take to apply it."""

    def change(document):
        item = next(w for w in document.workspaces if w.name == workspace)
        return commands.put_workspace(document, evolve(item, rate=rate))

    version = await rig.edit(change)
    accepted_at = trio.current_time()
    with trio.move_on_after(EVENT_TIMEOUT_S):
        while any(vm.node.version < version for vm in rig.vms.values()):
            await trio.sleep(POLL_S)
    tally.durations["config_in_force_s"] = round(trio.current_time() - accepted_at, 3)


async def withdraw_key(rig: Rig, tally: Tally, workspace: str, at_vm: str):
    """Withdraw a workspace's key at one VM and time how long until all VMs know."""
    key_id = rig.keys[workspace].entry.key_id
    withdrawn_at = trio.current_time()
    rig.vms[at_vm].node.withdraw_key(key_id)
    tally.durations["key_withdrawn_s"] = EVENT_TIMEOUT_S
    with trio.move_on_after(EVENT_TIMEOUT_S):
        while not all(_knows_withdrawal(vm, key_id) for vm in rig.vms.values()):
            await trio.sleep(POLL_S)
        seconds = round(trio.current_time() - withdrawn_at, 3)
        tally.durations["key_withdrawn_s"] = seconds


def _knows_withdrawal(vm, key_id: str) -> bool:
    return vm.node.rumors.knows(KEY_WITHDRAWN_TOPIC, key_id)


async def drain_target(rig: Rig, tally: Tally, target: str):
    """Drain a target and measure how long it still gets new requests."""
    await rig.edit(
        lambda document: commands.start_drain(document, DrainKind.TARGET, target)
    )
    ordered_at = trio.current_time()
    await trio.sleep(DRAIN_WATCH_S)
    started = [at for at, _ in rig.targets[target].started]
    last = max(started, default=ordered_at)
    tally.durations["drain_s"] = round(max(0.0, last - ordered_at), 3)


async def start_shift(rig: Rig, tally: Tally, **fields):
    """Start a shift of traffic between regions."""
    await rig.edit(lambda document: commands.put_shift(document, Shift(**fields)))


async def set_shift(rig: Rig, tally: Tally, name: str, state: str):
    """Stop, resume or reverse a shift."""
    await rig.edit(
        lambda document: commands.set_shift_state(document, name, ShiftState(state))
    )


async def crash_target(rig: Rig, tally: Tally, target: str, seconds: float):
    """Crash a target and bring it back after a while."""
    rig.targets[target].crash()
    await trio.sleep(seconds)
    rig.targets[target].is_down = False


async def slow_target(
    rig: Rig, tally: Tally, target: str, times: float, seconds: float
):
    """Multiply the service time of a target by ``times`` for a while."""
    slowed = rig.targets[target]
    usual_s = slowed.service_time_s
    slowed.service_time_s = usual_s * times
    await trio.sleep(seconds)
    slowed.service_time_s = usual_s


FAULTS = {
    function.__name__: function
    for function in (
        kill_vm,
        lose_region,
        replace_all,
        isolate,
        store_down,
        store_slow,
        change_config,
        withdraw_key,
        drain_target,
        start_shift,
        set_shift,
        crash_target,
        slow_target,
    )
}
