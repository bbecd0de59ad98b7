"""Draws faults from a seed and injects them from outside the gateways."""

import random
import signal

import trio
from attrs import define, evolve, frozen

from .demands import DEMAND_KINDS, LIMITS_PER_S, RETRY_AFTER_S, TURN_AWAY, Demand
from .processes import Vm
from .proxy import black_hole
from .settings import STABLE_S, SoakSettings
from .watchers import (
    CHANGES,
    MAX_FAILED_BEFORE_S,
    WATCHER_FAILURES,
    draw_watcher_failures,
    fail_for_a_while,
    pick_watchers,
)
from .world import LARGE_WORKSPACE, SMALL_WORKSPACE, Target, World

# Scope of a disturbance that affects every VM and target.
SCOPE_ALL = "all"
# Kind of the objects with which VMs register themselves.
VM_ENTRIES = "plantainshed-vms"
# How often the soak checks whether it stalled itself, and how late a wake-up counts
# as a stall: half of the smallest margin that a check allows beyond a time limit.
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
    """One fault to inject.

    Parameters
    ----------
    kind : str
        Name of the `FaultInjector` method that injects it, or of a signal sequence.
    start_s, duration_s : float
        Start, in seconds after the load starts, and length.
    random_bits : int
        Selects the VM or target, and other details of the fault.
    """

    kind: str
    start_s: float
    duration_s: float
    random_bits: int


@define
class Disturbance:
    """A period during which time limits are not guaranteed.

    Parameters
    ----------
    scope : str
        Name of a VM, instance of a target, ``store``, or `SCOPE_ALL`.
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
    """Draw the faults of a soak: some repeat three times, and many overlap."""
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


def draw_registrations(settings: SoakSettings) -> list[Fault]:
    """Draw the registrations that the store leaves unanswered.

    They are drawn apart from the other faults, which stay the same for recorded seeds.
    """
    rng = random.Random(f"{settings.seed}/registrations")
    at = rng.uniform(1.0, max(1.0, settings.duration_s - 4.0))
    return [Fault("vm_registers_unanswered", at, 3.0, rng.getrandbits(16))]


def draw_watchers(settings: SoakSettings) -> list[Fault]:
    """Draw failures of VMs that may watch the store for others."""
    draws = draw_watcher_failures(settings)
    return [Fault("watchers_fail", start_s, 3.0, bits) for start_s, bits in draws]


# How open and new connections of VMs that lose their links to the targets behave: open
# ones carry nothing, are reset, or live on; new ones get no answer or are refused.
CUT_FORMS = (
    ("hang", "hang"),
    ("reset", "hang"),
    ("reset", "refuse"),
    ("live", "refuse"),
)
# Which VMs lose them: one, half of all, most or all of a failure domain.
CUT_VMS = ("one", "half", "most of a domain", "domain")
# How long a cut lasts beyond the time after which its callers count, in seconds.
MEASURED_CUT_S = (2.0, 5.0)


def draw_cuts(settings: SoakSettings) -> list[Fault]:
    """Draw cuts between VMs and targets, apart from the other faults."""
    rng = random.Random(f"{settings.seed}/cuts")
    cuts = []
    at = rng.uniform(0.5, 2.0)
    while at < settings.duration_s:
        lasts_s = STABLE_S + rng.uniform(*MEASURED_CUT_S)
        cuts.append(Fault("vms_cut_from_targets", at, lasts_s, rng.getrandbits(16)))
        at += lasts_s + rng.uniform(0.5, 4.0)
    return cuts


def draw_demands(settings: SoakSettings) -> list[Fault]:
    """Draw demands of targets, apart from the faults."""
    rng = random.Random(f"{settings.seed}/demands")
    demands = []
    at = rng.uniform(0.5, 2.0)
    while at < settings.duration_s:
        lasts_s = STABLE_S + rng.uniform(2.0, 5.0)
        kind = rng.choice(DEMAND_KINDS)
        demands.append(Fault(kind, at, lasts_s, rng.getrandbits(16)))
        at += rng.uniform(1.0, 5.0)
    return demands


class FaultInjector:
    """Injects faults and records the periods that they disturb.

    Parameters
    ----------
    world : World
    vms : list of Vm
    """

    def __init__(self, world: World, vms: list[Vm]):
        self.world = world
        self.vms = vms
        self.disturbances: list[Disturbance] = []
        self.demands: list[Demand] = []
        self.stalls_s: list[float] = []

    async def watch_own_stalls(self):
        """Record when this process, or the whole machine, stalled.

        The gateways are not the cause of delays measured during a stall.
        """
        while True:
            woken_at = trio.current_time() + STALL_CHECK_PERIOD_S
            try:
                await trio.sleep(STALL_CHECK_PERIOD_S)
            finally:
                # Runs on cancellation too: the load may end just as a stall ends.
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
        """Inject all faults of a plan, each at its start time."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(began_at + fault.start_s)
                nursery.start_soon(getattr(self, fault.kind), fault)

    async def _disturb(self, fault: Fault, *scopes: str):
        """Record a disturbance per scope and sleep for the duration of the fault."""
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
        """Make the store answer all calls with 503."""
        await self._apply_store_mode(fault, "unavailable")

    async def store_silent(self, fault: Fault):
        """Make the store answer no call."""
        await self._apply_store_mode(fault, "silent")

    async def _apply_store_mode(self, fault: Fault, mode: str):
        self.world.store.mode = mode
        disturbances = await self._disturb(fault, "store")
        self.world.store.mode = "normal"
        self._end_disturbances(disturbances)

    async def store_slow(self, fault: Fault):
        """Delay all traffic between VMs and the store."""
        for vm in self.vms:
            vm.store_proxy.delay_s = 0.2
        disturbances = await self._disturb(fault, "store")
        for vm in self.vms:
            vm.store_proxy.delay_s = 0.0
        self._end_disturbances(disturbances)

    async def store_loses_answers(self, fault: Fault):
        """Make the store perform writes without answering them."""
        self.world.store.drops_write_answers = True
        disturbances = await self._disturb(fault, "store")
        self.world.store.drops_write_answers = False
        self._end_disturbances(disturbances)

    async def store_forgets(self, fault: Fault):
        """Make the store discard its history, so that watches end with 410."""
        self.world.store.forget_history()
        self._end_disturbances(await self._disturb(fault, "store"))

    async def store_turns_away(self, fault: Fault):
        """Reset one VM's connections to the store and any new ones it opens."""
        vm = self._pick_vm(fault)
        vm.store_proxy.accepts = False
        vm.store_proxy.reset_all()
        disturbances = await self._disturb(fault, vm.name)
        vm.store_proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def store_cut_one_way(self, fault: Fault):
        """Pass one VM's calls to the store but hold back the answers."""
        vm = self._pick_vm(fault)
        vm.store_proxy.backward = False
        disturbances = await self._disturb(fault, vm.name)
        vm.store_proxy.clear_faults()
        self._end_disturbances(disturbances)

    # Targets.

    async def target_silent(self, fault: Fault):
        """Block all traffic of a target while its connections stay open."""
        target = self._pick_target(fault)
        target.proxy.forward = target.proxy.backward = False
        disturbances = await self._disturb(fault, target.instance)
        target.proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def target_slow(self, fault: Fault):
        """Delay all traffic to and from a target."""
        target = self._pick_target(fault)
        target.proxy.delay_s = 0.3
        disturbances = await self._disturb(fault, target.instance)
        target.proxy.clear_faults()
        self._end_disturbances(disturbances)

    async def target_resets(self, fault: Fault):
        """Reset the connections of a target repeatedly."""
        target = self._pick_target(fault)
        disturbances = await self._disturb(Fault(fault.kind, 0, 0, 0), target.instance)
        until = trio.current_time() + fault.duration_s
        while trio.current_time() < until:
            target.proxy.reset_all()
            await trio.sleep(0.2)
        self._end_disturbances(disturbances)

    async def target_spoils(self, fault: Fault):
        """Make the next six responses of a target faulty."""
        target = self._pick_target(fault)
        rng = random.Random(fault.random_bits)
        target.response_faults += [rng.choice(RESPONSE_FAULTS) for _ in range(6)]
        self._end_disturbances(await self._disturb(fault, target.instance))

    async def target_leaves(self, fault: Fault):
        """Drain a target, take it down, and register it again as cold."""
        target = self._pick_target(fault)
        if target.draining_since is not None:
            return
        self.world.register(target, state="draining")
        target.draining_since = trio.current_time()
        await trio.sleep(4.0)
        await self._take_target_down(target, fault)

    async def target_removed(self, fault: Fault):
        """Delete a target's entry without draining it, and take it down later."""
        target = self._pick_target(fault)
        entries = self.world.store.objects["servers"]
        if target.draining_since is not None or target.instance not in entries:
            return
        self.world.store.delete("servers", target.instance)
        target.draining_since = trio.current_time()
        await trio.sleep(4.0)
        await self._take_target_down(target, fault)

    async def target_crashes(self, fault: Fault):
        """Take a target down at once; its entry is deleted later."""
        target = self._pick_target(fault)
        if target.draining_since is None:
            await self._take_target_down(target, fault)

    async def target_limits(self, fault: Fault):
        """Have a target, or one time in four all of them, name a limit."""
        limit_per_s = round(random.Random(fault.random_bits).uniform(*LIMITS_PER_S), 1)
        targets = [self._pick_target(fault)]
        if fault.random_bits % 4 == 0:
            targets = self.world.targets
        headers = {"Server-Limit": str(limit_per_s)}
        await self._demand(fault, targets, headers, limit_per_s)

    async def target_turns_away(self, fault: Fault):
        """Have a target turn requests away and want none for a while."""
        headers = {"Retry-After": str(RETRY_AFTER_S)}
        await self._demand(fault, [self._pick_target(fault)], headers)

    async def target_says_it_leaves(self, fault: Fault):
        """Have a target say in its answers that it leaves, then restart it."""
        target = self._pick_target(fault)
        if target.draining_since is None:
            await self._demand(fault, [target], {"Server-Leaving": "1"})
            await self._take_target_down(target, evolve(fault, duration_s=0.5))

    async def _demand(
        self,
        fault: Fault,
        targets: list[Target],
        headers: dict[str, str],
        limit_per_s: float = 0.0,
    ):
        """Have targets send headers for a while, unless they do so already."""
        now = trio.current_time()
        demands = [
            Demand(fault.kind, target, now, limit_per_s=limit_per_s)
            for target in targets
            if not target.extra_headers
        ]
        self.demands += demands
        for demand in demands:
            demand.target.extra_headers |= headers
            demand.target.turns_away = fault.kind == TURN_AWAY
        await trio.sleep(fault.duration_s)
        for demand in demands:
            self._end_demand(demand)

    def _end_demand(self, demand: Demand):
        if demand.ended_at == float("inf"):
            demand.ended_at = trio.current_time()
            demand.target.extra_headers.clear()
            demand.target.turns_away = False

    async def _take_target_down(self, target: Target, fault: Fault):
        target.proxy.accepts = False
        target.proxy.reset_all()
        disturbances = await self._disturb(fault, target.instance)
        entry = self.world.store.objects["servers"].get(target.instance)
        if entry:
            self.world.store.delete("servers", target.instance)
        await trio.sleep(0.5)
        # What the target asked for ends with its process.
        for demand in self.demands:
            if demand.target is target:
                self._end_demand(demand)
        target.proxy.clear_faults()
        target.draining_since = None
        self.world.register(
            target, warmupLeft="500ms", born=1796000000000 + fault.random_bits
        )
        self._end_disturbances(disturbances)

    # VMs.

    async def vm_pause(self, fault: Fault):
        """Pause a gateway process with SIGSTOP."""
        vm = self._pick_vm(fault)
        vm.send(signal.SIGSTOP)
        disturbances = await self._disturb(fault, vm.name)
        vm.send(signal.SIGCONT)
        self._end_disturbances(disturbances)

    async def vm_kill(self, fault: Fault):
        """Kill a gateway process, which is then restarted."""
        vm = self._pick_vm(fault)
        vm.kill()
        self._end_disturbances(await self._disturb(fault, vm.name))

    async def many_killed(self, fault: Fault):
        """Kill half of the gateway processes at once."""
        killed = self.vms[fault.random_bits % 2 :: 2]
        for vm in killed:
            vm.kill()
        self._end_disturbances(await self._disturb(fault, *(vm.name for vm in killed)))

    async def watchers_fail(self, fault: Fault):
        """Let two VMs of a failure domain fail just before a change."""
        bits, failure = divmod(fault.random_bits, len(WATCHER_FAILURES))
        change = CHANGES[bits % len(CHANGES)]
        vms = pick_watchers(self.vms, bits)
        disturbed = [
            Disturbance(WATCHER_FAILURES[failure], vm.name, trio.current_time())
            for vm in vms
        ]
        self.disturbances += disturbed
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_for_a_while, vms, WATCHER_FAILURES[failure])
            await trio.sleep(random.Random(bits).uniform(0.0, MAX_FAILED_BEFORE_S))
            nursery.start_soon(getattr(self, change), fault)
        self._end_disturbances(disturbed)

    async def vm_stop(self, fault: Fault):
        """Stop a gateway process gracefully; it is then restarted."""
        vm = self._pick_vm(fault)
        disturbances = [Disturbance(fault.kind, vm.name, trio.current_time())]
        self.disturbances += disturbances
        await vm.stop()
        self._end_disturbances(disturbances)

    async def vms_cut_from_targets(self, fault: Fault):
        """Cut the links between some VMs and all targets."""
        bits, form = divmod(fault.random_bits, len(CUT_FORMS))
        open_form, new_form = CUT_FORMS[form]
        vms = self._pick_vms_to_cut(bits)
        proxies = [target.proxy for target in self.world.targets]
        with black_hole() as hole:
            addresses = [proxy.address for proxy in proxies]
            for vm in vms:
                vm.cut_from(addresses, hole if new_form == "hang" else None)
                for proxy in proxies:
                    if open_form == "hang":
                        proxy.blocked_ips.add(vm.ip)
                    elif open_form == "reset":
                        proxy.reset_from(vm.ip)
            cuts = await self._disturb(fault, *(vm.name for vm in vms))
            for vm in vms:
                vm.end_cut()
                for proxy in proxies:
                    proxy.blocked_ips.discard(vm.ip)
                    proxy.wake()
            self._end_disturbances(cuts)

    def _pick_vms_to_cut(self, bits: int) -> list[Vm]:
        bits, which = divmod(bits, len(CUT_VMS))
        first = bits % len(self.vms)
        rotated = self.vms[first:] + self.vms[:first]
        if CUT_VMS[which] == "one":
            return rotated[:1]
        if CUT_VMS[which] == "half":
            return rotated[: len(rotated) // 2]
        name = rotated[0].failure_domain
        domain = [vm for vm in rotated if vm.failure_domain == name]
        if CUT_VMS[which] == "most of a domain" and len(domain) > 1:
            return domain[:-1]
        return domain

    async def vm_registers_unanswered(self, fault: Fault):
        """Kill a VM and lose the answer to its new registration.

        The store then answers no call for a second.
        """
        vm = self._pick_vm(fault)
        vm.kill()
        store = self.world.store
        if vm.name in store.objects.get(VM_ENTRIES, {}):
            store.delete(VM_ENTRIES, vm.name)
        store.drops_write_answers = True
        disturbances = await self._disturb(fault, "store", vm.name)
        store.drops_write_answers = False
        store.mode = "silent"
        await trio.sleep(1.0)
        store.mode = "normal"
        self._end_disturbances(disturbances)

    async def vm_hup(self, fault: Fault):
        """Change a settings file, with SIGHUP in two cases out of three."""
        vm = self._pick_vm(fault)
        vm.change_settings()
        if fault.random_bits % 3:
            vm.send(signal.SIGHUP)

    # The operator.

    async def key_withdrawn(self, fault: Fault):
        """Replace the API key of a workspace."""
        self.world.replace_key(
            LARGE_WORKSPACE if fault.random_bits % 3 else SMALL_WORKSPACE
        )

    async def route_changed(self, fault: Fault):
        """Add a route, or remove it if it exists."""
        self.world.toggle_route(f"extra-{fault.random_bits % 2}")

    async def configurations(self, fault: Fault):
        """Write eight configurations in quick succession."""
        for _ in range(8):
            self.world.write_configuration()
            await trio.sleep(0.1)

    async def domain_evacuated(self, fault: Fault):
        """Evacuate a failure domain, then end the evacuation."""
        domains = self.world.settings.domains
        name = f"domain-{fault.random_bits % domains}"
        evacuations = self.world.store.objects.get("evacuations", {})
        if name in evacuations:
            return
        self.world.store.put("evacuations", name, {})
        await trio.sleep(max(2.0, fault.duration_s))
        self.world.store.delete("evacuations", name)
