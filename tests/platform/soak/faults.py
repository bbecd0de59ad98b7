"""Faults drawn from a seed, and how each is done from outside."""

import random
import signal

import trio
from attrs import define, frozen

from .processes import Vm
from .settings import SoakSettings
from .world import LARGE_WORKSPACE, SMALL_WORKSPACE, Target, World

# Scope of a disturbance that touches everything.
SCOPE_ALL = "all"
# How often the soak looks whether it stood still, and how late is a stall: half
# of the least time that a check allows beyond a bound.
STALL_CHECK_PERIOD_S = 0.1
STALL_THRESHOLD_S = 0.5
RESPONSE_FAULTS = (
    "unsigned",
    "truncated",
    "reset",
    "extra",
    "after",
    "fails",
    "cut",
    "garbage",
)


@frozen
class Fault:
    """One disturbance.

    Parameters
    ----------
    kind : str
        Name of a method of `Faults`.
    at, duration_s : float
        Seconds from the start of the load, and how long it lasts.
    number : int
        Draws which VM or target it hits.
    """

    kind: str
    start_s: float
    duration_s: float
    random_bits: int


@define
class Disturbance:
    """A time in which promises with a bound in time do not hold.

    Parameters
    ----------
    scope : str
        A VM's name, a target's instance, ``store``, or `ALL`.
    """

    kind: str
    scope: str
    began_at: float
    ended_at: float = float("inf")


FAULT_KINDS = (
    "store_down",
    "store_silent",
    "store_slow",
    "store_loses_answers",
    "store_forgets",
    "store_turns_away",
    "store_cut_one_way",
    "target_silent",
    "target_slow",
    "target_resets",
    "target_spoils",
    "target_leaves",
    "target_crashes",
    "vm_pause",
    "vm_kill",
    "vm_stop",
    "vm_hup",
    "many_killed",
    "key_withdrawn",
    "route_changed",
    "configurations",
    "domain_evacuated",
)


def draw_faults(settings: SoakSettings) -> list[Fault]:
    """Return the faults of a soak; some come in series, many overlap."""
    rng = random.Random(f"{settings.seed}/faults")
    faults = []
    at = 1.0
    while at < settings.duration_s:
        kind = rng.choice(FAULT_KINDS)
        for turn in range(3 if rng.random() < 0.15 else 1):
            begins = at + turn * rng.uniform(0.2, 1.5)
            faults.append(
                Fault(kind, begins, rng.uniform(0.3, 4.0), rng.getrandbits(16))
            )
        at += rng.expovariate(settings.faults_per_s)
    return sorted(faults, key=lambda fault: fault.start_s)


class FaultInjector:
    """Does faults, and keeps which times they disturb.

    Parameters
    ----------
    world : World
    vms : list of Vm
    """

    def __init__(self, world: World, vms: list[Vm]):
        self.world = world
        self.vms = vms
        self.disturbances: list[Disturbance] = []
        self.stalls_s: list[float] = []

    async def watch_own_stalls(self):
        """Note when this process itself, or the whole machine, stood still.

        What it then measures of times is not the gateways' doing.
        """
        while True:
            woken_at = trio.current_time() + STALL_CHECK_PERIOD_S
            try:
                await trio.sleep(STALL_CHECK_PERIOD_S)
            finally:
                # Also when the load ends in the moment in which a stall does.
                self._record_stall(woken_at)

    def _record_stall(self, woken_at: float):
        now = trio.current_time()
        if now - woken_at > STALL_THRESHOLD_S:
            self.stalls_s.append(round(now - woken_at, 2))
            stall = Disturbance(
                "stall", SCOPE_ALL, woken_at - STALL_CHECK_PERIOD_S, now
            )
            self.disturbances.append(stall)

    async def run(self, plan: list[Fault]):
        """Do all faults of a plan, each in its time."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(began_at + fault.start_s)
                nursery.start_soon(getattr(self, fault.kind), fault)

    async def _disturb(self, fault: Fault, *scopes: str):
        """Wait for as long as a fault lasts, as a disturbance of its scopes."""
        now = trio.current_time()
        disturbances = [Disturbance(fault.kind, scope, now) for scope in scopes]
        self.disturbances += disturbances
        await trio.sleep(fault.duration_s)
        return disturbances

    def _end_disturbances(self, disturbances: list[Disturbance]):
        for disturbance in disturbances:
            disturbance.ended_at = trio.current_time()

    def _pick_vm(self, fault: Fault) -> Vm:
        return self.vms[fault.random_bits % len(self.vms)]

    def _pick_target(self, fault: Fault) -> Target:
        return self.world.targets[fault.random_bits % len(self.world.targets)]

    # The store.

    async def store_down(self, fault: Fault):
        """Answer all calls with 503."""
        await self._apply_store_mode(fault, "busy")

    async def store_silent(self, fault: Fault):
        """Answer no call."""
        await self._apply_store_mode(fault, "silent")

    async def _apply_store_mode(self, fault: Fault, mode: str):
        self.world.store.answers = mode
        disturbances = await self._disturb(fault, "store")
        self.world.store.answers = "yes"
        self._end_disturbances(disturbances)

    async def store_slow(self, fault: Fault):
        """Delay all that passes between VMs and the store."""
        for vm in self.vms:
            vm.store_proxy.delay_s = 0.2
        disturbances = await self._disturb(fault, "store")
        for vm in self.vms:
            vm.store_proxy.delay_s = 0.0
        self._end_disturbances(disturbances)

    async def store_loses_answers(self, fault: Fault):
        """Do writes and never answer them."""
        self.world.store.loses_answers = True
        disturbances = await self._disturb(fault, "store")
        self.world.store.loses_answers = False
        self._end_disturbances(disturbances)

    async def store_forgets(self, fault: Fault):
        """Forget the history, so that watches end with 410."""
        self.world.store.forget_history()
        self._end_disturbances(await self._disturb(fault, "store"))

    async def store_turns_away(self, fault: Fault):
        """Reset one VM's connections to the store, and refuse new ones."""
        vm = self._pick_vm(fault)
        vm.store_proxy.accepts = False
        vm.store_proxy.reset_all()
        disturbances = await self._disturb(fault, vm.name)
        vm.store_proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def store_cut_one_way(self, fault: Fault):
        """Let calls reach the store, and no answer come back."""
        vm = self._pick_vm(fault)
        vm.store_proxy.backward = False
        disturbances = await self._disturb(fault, vm.name)
        vm.store_proxy.clear_faults()
        self._end_disturbances(disturbances)

    # Targets.

    async def target_silent(self, fault: Fault):
        """Let nothing pass to and from a target; connections stay open."""
        target = self._pick_target(fault)
        target.proxy.forward = target.proxy.backward = False
        disturbances = await self._disturb(fault, target.instance)
        target.proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def target_slow(self, fault: Fault):
        """Delay what passes to and from a target."""
        target = self._pick_target(fault)
        target.proxy.delay_s = 0.3
        disturbances = await self._disturb(fault, target.instance)
        target.proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def target_resets(self, fault: Fault):
        """Reset a target's connections, again and again."""
        target = self._pick_target(fault)
        disturbances = await self._disturb(Fault(fault.kind, 0, 0, 0), target.instance)
        until = trio.current_time() + fault.duration_s
        while trio.current_time() < until:
            target.proxy.reset_all()
            await trio.sleep(0.2)
        self._end_disturbances(disturbances)

    async def target_spoils(self, fault: Fault):
        """Have a target's next answers go wrong."""
        target = self._pick_target(fault)
        rng = random.Random(fault.random_bits)
        target.spoils += [rng.choice(RESPONSE_FAULTS) for _ in range(6)]
        self._end_disturbances(await self._disturb(fault, target.instance))

    async def target_leaves(self, fault: Fault):
        """Drain a target, end it, and have it come back cold."""
        target = self._pick_target(fault)
        if target.draining_since is not None:
            return
        self.world.register(target, state="draining")
        target.draining_since = trio.current_time()
        await trio.sleep(4.0)
        await self._take_target_down(target, fault)

    async def target_crashes(self, fault: Fault):
        """End a target at once; its entry goes some time later."""
        target = self._pick_target(fault)
        if target.draining_since is None:
            await self._take_target_down(target, fault)

    async def _take_target_down(self, target: Target, fault: Fault):
        target.proxy.accepts = False
        target.proxy.reset_all()
        disturbances = await self._disturb(fault, target.instance)
        entry = self.world.store.objects["servers"].get(target.instance)
        if entry:
            self.world.store.delete("servers", target.instance)
        await trio.sleep(0.5)
        target.proxy.clear_faults()
        target.draining_since = None
        self.world.register(
            target, warmupLeft="500ms", born=1796000000000 + fault.random_bits
        )
        self._end_disturbances(disturbances)

    # VMs.

    async def vm_pause(self, fault: Fault):
        """Stop a process for a while."""
        vm = self._pick_vm(fault)
        vm.send(signal.SIGSTOP)
        disturbances = await self._disturb(fault, vm.name)
        vm.send(signal.SIGCONT)
        self._end_disturbances(disturbances)

    async def vm_kill(self, fault: Fault):
        """Kill a process; it is started again."""
        vm = self._pick_vm(fault)
        vm.kill()
        self._end_disturbances(await self._disturb(fault, vm.name))

    async def many_killed(self, fault: Fault):
        """Kill half of all processes at once."""
        killed = self.vms[fault.random_bits % 2 :: 2]
        for vm in killed:
            vm.kill()
        self._end_disturbances(await self._disturb(fault, *(vm.name for vm in killed)))

    async def vm_stop(self, fault: Fault):
        """Stop a process as planned; it is started again."""
        vm = self._pick_vm(fault)
        disturbances = [Disturbance(fault.kind, vm.name, trio.current_time())]
        self.disturbances += disturbances
        await vm.stop()
        self._end_disturbances(disturbances)

    async def vm_hup(self, fault: Fault):
        """Change a settings file, with a signal or without."""
        vm = self._pick_vm(fault)
        vm.change_settings()
        if fault.random_bits % 3:
            vm.send(signal.SIGHUP)

    # The operator.

    async def key_withdrawn(self, fault: Fault):
        """Replace a workspace's key."""
        self.world.replace_key(
            LARGE_WORKSPACE if fault.random_bits % 3 else SMALL_WORKSPACE
        )

    async def route_changed(self, fault: Fault):
        """Add a route, or drop it."""
        self.world.toggle_route(f"extra-{fault.random_bits % 2}")

    async def configurations(self, fault: Fault):
        """Write configurations in quick succession."""
        for _ in range(8):
            self.world.write_configuration()
            await trio.sleep(0.1)

    async def domain_evacuated(self, fault: Fault):
        """Evacuate a failure domain and take it back."""
        domains = self.world.settings.domains
        name = f"domain-{fault.random_bits % domains}"
        evacuations = self.world.store.objects.get("evacuations", {})
        if name in evacuations:
            return
        self.world.store.put("evacuations", name, {})
        await trio.sleep(max(2.0, fault.duration_s))
        self.world.store.delete("evacuations", name)
