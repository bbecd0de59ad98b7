"""Tests how VMs keep a target's limit together, without sockets."""

import contextlib
import random
import unittest
from collections import Counter

import trio
from attrs import define, field

from plantainshed_gateway.datagrams import (
    PermitAnswer,
    PermitRequest,
    decode,
    encode,
)
from plantainshed_gateway.heartbeats import LimitReport, VmState
from plantainshed_gateway.members import Member
from plantainshed_gateway.permits import Permits
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.selection.target_limits import TargetLimits, merged_reports
from tests.gateway.gateway_support import (
    RecordingLog,
    make_entry,
    make_heartbeat,
    make_round_trips,
)
from tests.support import on_mock_clock
from tests.windows import most_in_window

WINDOW_S = 4.0
UPKEEP_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
REGION_OF = {"mil-a": "lombardia", "ven-a": "veneto", "tor-a": "piemonte"}
DOMAINS = list(REGION_OF)


def allowed(limit_per_s: float) -> float:
    """Return how many requests a target may get in `WINDOW_S`."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@define
class SharedMembers:
    """Members of a VM that hears the VMs of a group; the list is shared by the group.

    Parameters
    ----------
    own : Heartbeat
    fleet : LimitedFleet
    group : list of Heartbeat
    """

    own: object
    fleet: "LimitedFleet"
    group: list = field(factory=list)
    is_listed: bool = True

    @property
    def count(self) -> int:
        return self.fleet.known_count

    @property
    def table(self) -> dict[str, Member]:
        return self.fleet.table

    def alive(self) -> list:
        return self.group

    def ready(self) -> list:
        return [beat for beat in self.group if beat.state is VmState.READY]

    def largest_fleet_count(self) -> int:
        return 0


class LimitedVm:
    """The parts of one VM that limits depend on."""

    def __init__(self, fleet: "LimitedFleet", name: str, domain: str):
        self.fleet = fleet
        self.name = name
        own = make_heartbeat(name, failure_domain=domain, region=REGION_OF[domain])
        self.members = SharedMembers(own, fleet)
        self.registry = Registry(REGION_OF)
        entries = [make_entry(name) for name in fleet.arrivals]
        self.registry.update_entries(entries, may_have_expired=False)
        self.limits = TargetLimits(self.registry, self.members, RecordingLog())
        self.permits = Permits(self.limits, self.send, make_round_trips())

    async def send(self, message, ip: str):
        self.fleet.nursery.start_soon(self.fleet.deliver, message, self.name, ip)

    async def request(self):
        """Send a request to a target that takes it, or refuse it."""
        states = random.sample(
            list(self.registry.states.values()), len(self.registry.states)
        )
        state = next((s for s in states if s.limit_per_s is None), None)
        if state is None:
            state = await self.permits.find_permitted(states)
        if state is None:
            self.fleet.outcomes["refused"] += 1
            return
        self.fleet.outcomes["sent"] += 1
        sent_at = trio.current_time()
        await trio.sleep(0.01)
        self.fleet.arrivals[state.entry.instance].append(trio.current_time())
        await trio.sleep(0.1)
        self.limits.note_answer(state, self.fleet.limit_per_s, sent_at)


class LimitedFleet:
    """VMs that send requests to targets that name the same limit.

    Parameters
    ----------
    count, targets : int
    nursery : trio.Nursery
    """

    def __init__(self, count: int, nursery: trio.Nursery, targets: int = 1):
        self.nursery = nursery
        self.known_count = count
        self.limit_per_s: float | None = None
        self.arrivals = {f"i-{n}": [] for n in range(targets)}
        self.outcomes: Counter[str] = Counter()
        self.table: dict[str, Member] = {}
        self.vms: dict[str, LimitedVm] = {}
        self.rng = random.Random(1)
        for number in range(count):
            name, domain = f"vm-{number}", DOMAINS[number % len(DOMAINS)]
            self.table[name] = Member(name, domain)
            self.vms[name] = LimitedVm(self, name, domain)
        self.split([list(self.vms)])
        nursery.start_soon(self.run_upkeep)
        nursery.start_soon(self.run_reports)

    def split(self, groups: list[list[str]]):
        """Let only the VMs of each group hear each other."""
        for names in groups:
            beats = [self.vms[name].members.own for name in names]
            for name in names:
                self.vms[name].members.group = beats

    def stop(self, name: str):
        """Stop a VM; the others go on knowing it."""
        vm = self.vms.pop(name)
        vm.members.group.remove(vm.members.own)

    async def run_upkeep(self):
        while True:
            for vm in self.vms.values():
                vm.limits.refresh()
            await trio.sleep(UPKEEP_INTERVAL_S)

    async def run_reports(self):
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            reports = [(vm, vm.limits.reports()) for vm in self.vms.values()]
            reports = [(vm, report) for vm, report in reports if report]
            for vm in self.vms.values():
                for sender, report in reports:
                    if sender.members.group is vm.members.group:
                        vm.limits.merge(report)

    async def deliver(self, message, sender: str, ip: str):
        await trio.sleep(0.001)
        receiver = self.vms.get(ip)
        if receiver is None:
            return
        if sender not in [beat.vm for beat in receiver.members.group]:
            return
        if hasattr(message, "report"):
            await receiver.permits.on_request(message, sender)
        else:
            receiver.permits.on_answer(message)

    async def play(self, seconds: float, rate: float):
        """Send requests from VMs drawn at random."""
        for _ in range(int(seconds * rate)):
            vm = self.vms[self.rng.choice(list(self.vms))]
            self.nursery.start_soon(vm.request)
            await trio.sleep(1 / rate)

    async def settle(self):
        """Send requests until all VMs know the limit and have kept it for a while."""
        await self.play(4.0, 100)
        for arrivals in self.arrivals.values():
            arrivals.clear()
        self.outcomes.clear()


@contextlib.asynccontextmanager
async def running_fleet(count: int, limit_per_s: float, targets: int = 1):
    """Run VMs that know and keep a limit, until the block ends."""
    async with trio.open_nursery() as nursery:
        fleet = LimitedFleet(count, nursery, targets)
        fleet.limit_per_s = limit_per_s
        await fleet.settle()
        yield fleet
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_vm():
    """Run a VM that is alone and knows of no limit, until the block ends."""
    async with trio.open_nursery() as nursery:
        yield LimitedFleet(1, nursery).vms["vm-0"]
        nursery.cancel_scope.cancel()


class TestFleetSizes(unittest.TestCase):
    """A limit of all VMs together was taken for one of each VM, or split too finely."""

    async def check_size(self, vms: int, limit_per_s: float, targets: int):
        async with running_fleet(vms, limit_per_s, targets) as fleet:
            await fleet.play(20.0, 10 * limit_per_s * targets)
            for arrivals in fleet.arrivals.values():
                self.assertLessEqual(
                    most_in_window(arrivals, WINDOW_S), allowed(limit_per_s)
                )
            # Most of what the targets take is used, whichever VMs the callers choose.
            self.assertGreater(
                fleet.outcomes["sent"], 0.6 * 20.0 * limit_per_s * targets
            )

    @on_mock_clock
    async def test_a_few_vms(self):
        for vms in (1, 2, 12):
            await self.check_size(vms, 6.0, targets=1)

    @on_mock_clock
    async def test_limits_from_less_than_one_request_to_many(self):
        for limit_per_s in (0.5, 2.0, 30.0):
            await self.check_size(12, limit_per_s, targets=2)

    @on_mock_clock
    async def test_many_vms(self):
        """Guards against 940 VMs that each wait two minutes for one request."""
        await self.check_size(940, 6.0, targets=1)

    @on_mock_clock
    async def test_many_vms_and_several_targets(self):
        await self.check_size(200, 6.0, targets=6)


class TestChangingFleets(unittest.TestCase):
    """VMs that do not hear each other took the whole limit, each for itself."""

    @on_mock_clock
    async def test_vm_that_hears_no_peer_uses_its_part_only(self):
        async with running_fleet(12, 6.0) as fleet:
            alone, *others = fleet.vms
            fleet.split([[alone], others])
            began_at = trio.current_time()
            await fleet.play(20.0, 60)
            arrivals = fleet.arrivals["i-0"]
            self.assertLessEqual(most_in_window(arrivals, WINDOW_S), allowed(6.0))
            self.assertGreater(len(arrivals), 0.6 * 6.0 * 20.0)
            self.assertGreater(trio.current_time(), began_at)

    @on_mock_clock
    async def test_fleet_in_four_parts_keeps_the_limit(self):
        async with running_fleet(12, 6.0) as fleet:
            names = list(fleet.vms)
            fleet.split([names[first::4] for first in range(4)])
            await fleet.play(20.0, 60)
            arrivals = fleet.arrivals["i-0"]
            self.assertLessEqual(most_in_window(arrivals, WINDOW_S), allowed(6.0))
            self.assertGreater(len(arrivals), 0.5 * 6.0 * 20.0)

    @on_mock_clock
    async def test_vms_that_stop_and_join(self):
        """Guards against parts that are used twice while VMs change."""
        async with running_fleet(12, 6.0) as fleet:
            for number in range(5):
                fleet.stop(f"vm-{number}")
                await fleet.play(2.0, 60)
            arrivals = fleet.arrivals["i-0"]
            self.assertLessEqual(most_in_window(arrivals, WINDOW_S), allowed(6.0))
            for number in range(5):
                name = f"vm-{number}"
                fleet.vms[name] = LimitedVm(fleet, name, "mil-a")
                fleet.split([list(fleet.vms)])
                await fleet.play(2.0, 60)
            self.assertLessEqual(most_in_window(arrivals, WINDOW_S), allowed(6.0))
            self.assertGreater(len(arrivals), 0.5 * 6.0 * 20.0)

    @on_mock_clock
    async def test_vm_that_does_not_know_the_others_yet(self):
        """Guards against a VM that has just started and takes the whole limit."""
        async with running_fleet(2, 6.0) as fleet:
            vm = fleet.vms["vm-0"]
            vm.members.is_listed = False
            state = vm.registry.states["i-0"]
            self.assertFalse(any(vm.limits.admits(state) for _ in range(10)))


class TestChangingLimits(unittest.TestCase):
    """Targets that asked for nothing more went on getting less than the others."""

    @on_mock_clock
    async def test_limit_that_ends_is_forgotten_by_all_vms(self):
        async with running_fleet(80, 6.0) as fleet:
            fleet.limit_per_s = None
            await fleet.play(3.0, 60)
            limited = [vm.name for vm in fleet.vms.values() if vm.limits.limited]
            self.assertEqual(limited, [])
            await fleet.play(2.0, 60)
            recent = [
                at for at in fleet.arrivals["i-0"] if at > trio.current_time() - 2
            ]
            self.assertGreater(len(recent), 0.9 * 2 * 60)

    @on_mock_clock
    async def test_answer_from_before_the_limit_does_not_end_it(self):
        async with running_vm() as vm:
            state = vm.registry.states["i-0"]
            sent_at = trio.current_time()
            await trio.sleep(1)
            vm.limits.note_answer(state, 6.0, sent_at)
            vm.limits.note_answer(state, None, sent_at)
            self.assertEqual(state.limit_per_s, 6.0)
            await trio.sleep(1)
            vm.limits.note_answer(state, None, trio.current_time())
            self.assertIsNone(state.limit_per_s)

    @on_mock_clock
    async def test_target_that_restarts_starts_without_a_limit(self):
        async with running_vm() as vm:
            vm.limits.note_answer(vm.registry.states["i-0"], 6.0, 0.0)
            restarted = make_entry("i-0", started_ms=2)
            vm.registry.update_entries([restarted], may_have_expired=False)
            vm.limits.refresh()
            self.assertEqual(vm.limits.limited, set())
            self.assertTrue(vm.limits.admits(vm.registry.states["i-0"]))

    @on_mock_clock
    async def test_limit_of_zero_still_gets_a_request_at_times(self):
        """Guards against limits whose end nobody notices."""
        async with running_fleet(12, 0.0) as fleet:
            await fleet.play(60.0, 20)
            arrivals = fleet.arrivals["i-0"]
            self.assertLessEqual(most_in_window(arrivals, WINDOW_S), allowed(0.0))
            self.assertGreater(len(arrivals), 0)


class TestMessages(unittest.TestCase):
    REPORTS = {"i-0": LimitReport(6.6, 0.25), "i-1": LimitReport(None, 1.0)}

    def test_messages_survive_encoding(self):
        heartbeat = make_heartbeat("vm-1", limits=self.REPORTS)
        request = PermitRequest(7, "i-0", self.REPORTS["i-0"])
        for message in (heartbeat, request, PermitAnswer(7, True)):
            with self.subTest(type(message).__name__):
                self.assertEqual(decode(encode(message)), message)

    def test_newest_report_counts_and_old_ones_do_not(self):
        newer = {"i-0": LimitReport(None, 0.1), "i-2": LimitReport(3.0, 4.9)}
        merged = merged_reports([(self.REPORTS, 0.0), (newer, 0.1)])
        expected = self.REPORTS | {"i-0": LimitReport(None, 0.2)}
        self.assertEqual(merged, expected)
