"""Failures of VMs that watch the store for others, just before a change."""

import random
import signal

import trio

from .processes import Vm
from .settings import SoakSettings

# How the VMs fail: they end, are paused, or lose the store in one of three ways.
WATCHER_FAILURES = ("kill", "pause", "reject", "hold answers", "hold calls")
# Changes that must be in force at the other VMs in time all the same.
CHANGES = ("target_leaves", "target_removed", "key_withdrawn", "route_changed")
# Time between the failure and the change. A change that comes earlier is known.
MAX_FAILED_BEFORE_S = 0.7
FAILURE_S = 3.0


def draw_watcher_failures(settings: SoakSettings) -> list[tuple[float, int]]:
    """Draw start times and random bits, apart from the other faults."""
    rng = random.Random(f"{settings.seed}/watchers")
    latest_s = max(1.0, settings.duration_s - FAILURE_S)
    return [(rng.uniform(1.0, latest_s), rng.getrandbits(16)) for _ in range(2)]


def pick_watchers(vms: list[Vm], bits: int) -> list[Vm]:
    """Return two VMs of one failure domain, which may be those that watch the store."""
    rng = random.Random(bits)
    name = rng.choice(vms).failure_domain
    domain = [vm for vm in vms if vm.failure_domain == name]
    return rng.sample(domain, min(2, len(domain)))


async def fail_for_a_while(vms: list[Vm], failure: str):
    """Let VMs fail at the same moment, and end the failure later."""
    for vm in vms:
        _begin(vm, failure)
    await trio.sleep(FAILURE_S)
    for vm in vms:
        if failure == "pause":
            vm.send(signal.SIGCONT)
        vm.store_proxy.clear_faults()


def _begin(vm: Vm, failure: str):
    if failure == "kill":
        vm.kill()
    elif failure == "pause":
        vm.send(signal.SIGSTOP)
    elif failure == "reject":
        vm.store_proxy.accepts = False
        vm.store_proxy.reset_all()
    elif failure == "hold answers":
        vm.store_proxy.backward = False
    else:
        vm.store_proxy.forward = False
