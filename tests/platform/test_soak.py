"""The soak finds what it is meant to find."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import trio
from attrs import field, frozen

from tests.platform.soak.__main__ import (
    ExitCode,
    _cpu_times,
    _wait_until_ready,
    _wait_until_scheduled,
    soak,
)
from tests.platform.soak.callers import SentRequest
from tests.platform.soak.faults import (
    FAULT_KINDS,
    SCOPE_ALL,
    Disturbance,
    Fault,
    FaultInjector,
    draw_faults,
)
from tests.platform.soak.processes import Vm
from tests.platform.soak.promises import InvariantChecker
from tests.platform.soak.settings import SoakSettings
from tests.platform.soak.signals import (
    MAX_SEQUENCES,
    SIGNAL_SEQUENCES,
    draw_signals,
    run_signals,
)
from tests.platform.soak.waits import CpuWait, SchedstatSample
from tests.platform.soak.world import LARGE_WORKSPACE, SMALL_WORKSPACE, Run, World
from tests.support import on_mock_clock, on_real_clock

SETTINGS = SoakSettings(seed=5, duration_s=60.0)
# What seed 54 draws for 12 s.
PINNED_FAULTS = ["target_spoils", "target_spoils", "target_spoils", "target_silent"]


def make_vm() -> Vm:
    ports = [1, 2, 3, 4, 5, 6]
    return Vm("vm-0", "domain-0", "127.0.0.1", None, None, None, ports)


def make_request(
    name="r-1", path="/read/1", status=200, sent_at=10.0, **more
) -> SentRequest:
    return SentRequest(
        **{
            "request_id": name,
            "workspace": LARGE_WORKSPACE,
            "key": "large-0",
            "path": path,
            "body": b"",
            "vm_address": "127.0.0.1:1",
            "sent_at": sent_at,
            "ended_at": sent_at + 0.1,
            "status": status,
            "response_body": f"answer to {name}".encode(),
            "is_signed": True,
            **more,
        }
    )


def make_run(name="r-1", path="/read/1", started_at=10.0, **more) -> Run:
    return Run(
        **{
            "request_id": name,
            "workspace": LARGE_WORKSPACE,
            "path": path,
            "body": b"",
            "started_at": started_at,
            "target": "target-0",
            "has_key": False,
            "draining_for_s": 0.0,
            **more,
        }
    )


def violations_at(vm: Vm, *disturbances: Disturbance) -> list[str]:
    requests = [make_request("last", sent_at=100.0)]
    checker = InvariantChecker(World(SETTINGS), [vm], requests, list(disturbances))
    return sorted(checker.check(90.0, 200.0).by_rule)


def check_overdue(*waits: CpuWait, vm="vm-0") -> tuple[list[str], list[str]]:
    """Judge a request of 2.9 s; return what is found and what is excused."""
    vms = [make_vm(), make_vm()]
    vms[1].name, vms[1].ports = "vm-1", [7, 2, 3, 4, 5, 6]
    next(other for other in vms if other.name == vm).waits.intervals += waits
    requests = [
        make_request(status=504, ended_at=12.9),
        make_request("last", sent_at=100.0),
    ]
    findings = InvariantChecker(World(SETTINGS), vms, requests, []).check(90.0, 200.0)
    return sorted(findings.by_rule), findings.excused_by_waits


def violated_rules(requests, runs, disturbances=(), **world_fields) -> list[str]:
    world = World(SETTINGS, runs=list(runs), **world_fields)
    # Served at the end, so that only the rule under test is found.
    requests = [*requests, make_request("last", sent_at=100.0)]
    checker = InvariantChecker(world, [make_vm()], requests, list(disturbances))
    return sorted(checker.check(90.0, 200.0).by_rule)


class TestDraw(unittest.TestCase):
    def test_same_seed_draws_the_same(self):
        self.assertEqual(draw_faults(SETTINGS), draw_faults(SETTINGS))
        self.assertNotEqual(draw_faults(SETTINGS), draw_faults(SoakSettings(6, 60.0)))

    def test_each_kind_is_drawn_and_can_be_done(self):
        drawn = {
            f.kind for seed in range(40) for f in draw_faults(SoakSettings(seed, 60.0))
        }
        self.assertEqual(drawn, set(FAULT_KINDS))
        for kind in FAULT_KINDS:
            self.assertTrue(callable(getattr(FaultInjector, kind)))


class TestDrawSignals(unittest.TestCase):
    def test_same_seed_draws_the_same_and_few(self):
        self.assertEqual(draw_signals(SETTINGS), draw_signals(SETTINGS))
        self.assertNotEqual(draw_signals(SETTINGS), draw_signals(SoakSettings(6, 60.0)))
        self.assertEqual(len(draw_signals(SETTINGS)), MAX_SEQUENCES)
        self.assertEqual(len(draw_signals(SoakSettings(5, 2.0))), 1)

    def test_each_series_is_drawn(self):
        settings = [SoakSettings(seed, 12.0) for seed in range(40)]
        drawn = {fault.kind for setting in settings for fault in draw_signals(setting)}
        self.assertEqual(drawn, set(SIGNAL_SEQUENCES))

    def test_faults_of_a_seed_stay_what_they_were(self):
        """Seeds are written down with what they found; they must find it again."""
        kinds = [fault.kind for fault in draw_faults(SoakSettings(54, 12.0))]
        self.assertEqual(kinds, PINNED_FAULTS)


# Told to stop, this program is busy for a while, in which any further signal does
# what the system lets it do, as at the gateway once.
DEFAULT_SIGNALS_AFTER_STOP = """
import signal, sys, time
def stop(*_):
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    time.sleep(0.6)
    sys.exit(0)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, stop)
print('{"message":"start"}', flush=True)
print('{"message":"ready"}', flush=True)
while True:
    time.sleep(1)
"""
IGNORES_SIGNALS_AFTER_STOP = DEFAULT_SIGNALS_AFTER_STOP.replace("SIG_DFL", "SIG_IGN")
SIGNALS_DEFAULT_BEFORE_EXIT = """for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)
    time.sleep(0.1)"""
NEVER_ENDS = IGNORES_SIGNALS_AFTER_STOP.replace("sys.exit(0)", "time.sleep(60)")
# Serves when it is first started, and never again.
NEVER_READY = IGNORES_SIGNALS_AFTER_STOP.replace(
    """print('{"message":"ready"}', flush=True)""",
    """while time.process_time() < 0.2:
    pass
if "again" in open(sys.argv[1]).read():
    time.sleep(60)
print('{"message":"ready"}', flush=True)
open(sys.argv[1], "a").write("again")""",
)


async def run_sequences(program: str, *kinds: str) -> Vm:
    """Run a program as a VM does, and do series of signals at it."""
    async with running_vm(program) as vm:
        injector = FaultInjector(World(SETTINGS), [vm])
        with trio.fail_after(20):
            while not vm.is_ready:
                await trio.sleep(0.02)
            await run_signals(injector, [Fault(kind, 0.0, 0.0, 1) for kind in kinds])
    return vm


@contextlib.asynccontextmanager
async def running_vm(program: str):
    """Run a program as a VM does; it ends with the block."""
    with tempfile.TemporaryDirectory() as folder:
        settings, log = Path(folder) / "vm-0.ini", Path(folder) / "vm-0.log"
        settings.write_text("")
        log.touch()
        command = (sys.executable, "-c", program, str(settings))
        vm = Vm("vm-0", "domain-0", "127.0.0.1", None, settings, log, [1], command)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.run)
            yield vm
            nursery.cancel_scope.cancel()


class TestSignals(unittest.TestCase):
    """A VM was told to stop, and hung up in its drain: it ended at once.

    The soak sent both signals, to VMs drawn at random, which hardly ever met at
    one; and once a VM was told to stop, no end of it was looked at any more.
    """

    @on_real_clock
    async def test_end_in_a_drain_by_a_further_signal(self):
        with mock.patch("tests.platform.soak.signals.MAX_GAPS_S", (0.3,)):
            vm = await run_sequences(DEFAULT_SIGNALS_AFTER_STOP, "stop_hup")
            self.assertEqual(violations_at(vm), ["EXIT"])
            self.assertIn("status -1 after SIGTERM SIGHUP", vm.unexpected_exits[0])
            for kind in SIGNAL_SEQUENCES:
                vm = await run_sequences(IGNORES_SIGNALS_AFTER_STOP, kind)
                self.assertEqual(violations_at(vm), [], kind)

    @on_real_clock
    async def test_signals_until_a_process_is_gone(self):
        """A process that has written its last line takes 10 ms and more to be gone.

        In these, a request to stop that was repeated ended it with status -15.
        """
        last_moment = IGNORES_SIGNALS_AFTER_STOP.replace(
            "sys.exit(0)", SIGNALS_DEFAULT_BEFORE_EXIT
        )
        with mock.patch("tests.platform.soak.signals.MAX_GAPS_S", (0.3,)):
            for kind, status in (("stop_hups", -1), ("stop_agains", -15)):
                for program in (DEFAULT_SIGNALS_AFTER_STOP, last_moment):
                    vm = await run_sequences(program, kind)
                    self.assertEqual(violations_at(vm), ["EXIT"])
                    self.assertIn(f"status {status} ", vm.unexpected_exits[0])

    @on_real_clock
    async def test_process_that_does_not_end_in_its_time(self):
        with mock.patch("tests.platform.soak.processes.KILL_AFTER_S", 0.5):
            vm = await run_sequences(NEVER_ENDS, "stop_change")
        self.assertEqual(violations_at(vm), ["EXIT"])
        self.assertEqual(vm.unexpected_exits, [])
        since, until = vm.late_exits[0]
        pause = Disturbance("vm_pause", "vm-0", since, until)
        self.assertEqual(violations_at(vm, pause), [])
        other = Disturbance("vm_pause", "vm-1", since, until)
        self.assertEqual(violations_at(vm, other), ["EXIT"])

    @on_real_clock
    async def test_process_that_is_not_ready_after_a_hangup_in_its_start(self):
        with mock.patch("tests.platform.soak.signals.START_TIMEOUT_S", 1.0):
            vm = await run_sequences(NEVER_READY, "restart_hup")
        self.assertEqual(violations_at(vm), ["START"])

    def test_ends_that_are_right_and_wrong(self):
        hangup, stop, kill = -signal.SIGHUP, -signal.SIGTERM, -signal.SIGKILL
        for status, more, is_expected in (
            (0, {"stopping_since": 1.0}, True),
            (1, {"stopping_since": 1.0}, False),
            (hangup, {"stopping_since": 1.0}, False),
            (stop, {"stopping_since": 1.0}, False),
            (stop, {"stopping_since": 1.0, "was_starting": True}, True),
            (hangup, {"stopping_since": 1.0, "was_starting": True}, False),
            (kill, {"stopping_since": 1.0}, False),
            (kill, {"stopping_since": 1.0, "is_killed": True}, True),
            (1, {"stopping_since": 1.0, "is_killed": True}, False),
            (kill, {"is_killed": True}, True),
            (kill, {}, False),
            (hangup, {}, False),
            (0, {}, False),
        ):
            vm = make_vm()
            for name, value in more.items():
                setattr(vm, name, value)
            with mock.patch("trio.current_time", return_value=3.0):
                vm.record_exit(status)
            found = violations_at(vm)
            self.assertEqual(found, [] if is_expected else ["EXIT"], (status, more))


@frozen
class StartingVm:
    """Gets ready some seconds after its start, in part of which it waited."""

    ready_s: float
    waits_s: float
    name: str = "vm-0"
    began_at: float = field(factory=trio.current_time)

    @property
    def is_ready(self) -> bool:
        return trio.current_time() - self.began_at >= self.ready_s

    @property
    def waited_s(self) -> float:
        return min(self.waits_s, trio.current_time() - self.began_at)


class TestStart(unittest.TestCase):
    """A soak beside load (57 on 16 cores) ended with TimeoutError.

    A VM was not ready after 26.8 s; for over 15 s of these it had waited for a
    processor, 8.9 s in one piece. It says nothing of the VM, and the soak
    took its logs away with it.
    """

    @on_mock_clock
    async def test_time_without_a_processor_does_not_count(self):
        await _wait_until_ready([StartingVm(ready_s=20.0, waits_s=0.0)])
        await _wait_until_ready([StartingVm(ready_s=40.0, waits_s=20.0)])

    @on_mock_clock
    async def test_vm_that_is_not_ready_though_it_could(self):
        with self.assertRaisesRegex(TimeoutError, "vm-0 .* waited 5.0 s"):
            await _wait_until_ready([StartingVm(ready_s=60.0, waits_s=5.0)])
        self.assertLess(trio.current_time(), 32.0)

    def test_logs_are_kept(self):
        broken = BaseExceptionGroup("", [TimeoutError("vm-0 was not ready")])
        with (
            mock.patch("trio.run", side_effect=broken),
            mock.patch("tests.platform.soak.__main__._save_logs") as keep,
            mock.patch("builtins.print") as printed,
            self.assertRaises(SystemExit) as ended,
        ):
            keep.return_value = "target/soak/seed-1"
            soak(seed=1)
        self.assertEqual(ended.exception.code, ExitCode.FAILED)
        self.assertIn("target/soak/seed-1", printed.call_args.args[0])


def child_pids(pid: int) -> set[int]:
    """Return the ids of processes that a process started and that have not ended."""
    children = Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for listed in children for child in listed.read_text().split()}


def kill_remaining(pids: set[int]) -> set[int]:
    """Kill processes; return those that had not ended."""
    left = {pid for pid in pids if Path(f"/proc/{pid}").exists()}
    for pid in left:
        os.kill(pid, signal.SIGKILL)
    return left


class TestEndOfSoak(unittest.TestCase):
    def terminate_soak(self, number: int) -> tuple[str, set[int]]:
        """End a soak by a signal; return what it printed and what it left behind."""
        command = [sys.executable, "-m", "tests.platform.soak"]
        command += ["--vms=2", "--domains=2", "--duration=30"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            vms = set()
            while len(vms) < 2 and process.poll() is None:
                time.sleep(0.02)
                vms = child_pids(process.pid)
            process.send_signal(number)
            printed = process.stdout.read()
        left = kill_remaining(vms)
        self.assertEqual(process.returncode, ExitCode.FAILED)
        return printed, left

    def test_ends_its_vms_when_it_is_told_to_end(self):
        """A soak that is ended leaves its VMs behind, which load the machine."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                printed, left = self.terminate_soak(number)
                self.assertEqual(left, set())
                self.assertIn(f"told to end by {number.name}", printed)


class TestOwnStalls(unittest.TestCase):
    @on_real_clock
    async def test_stall_in_the_last_moment(self):
        """The soak stood still for 9.5 s until its load was to end.

        Requests that had been on their way took as long, at three VMs at once,
        and were found HELD: whoever notes stalls was cancelled in that moment,
        before it had looked at the clock.
        """
        injector = FaultInjector(World(SETTINGS), [])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.watch_own_stalls)
            await trio.sleep(0.25)
            time.sleep(0.8)
            nursery.cancel_scope.cancel()
        self.assertEqual(
            [disturbance.kind for disturbance in injector.disturbances], ["stall"]
        )
        self.assertGreater(injector.stalls_s[0], 0.5)


class TestWaitsOfVms(unittest.TestCase):
    @on_real_clock
    async def test_processes_are_read_while_they_run(self):
        """The soak knows of its own stalls only, not of those of its VMs."""
        async with running_vm(IGNORES_SIGNALS_AFTER_STOP) as vm:
            with trio.fail_after(20):
                while not vm.waits.ran_s:
                    await trio.sleep(0.02)
        self.assertEqual(set(_cpu_times([vm])), {"vm-0"})

    @on_mock_clock
    async def test_wait_that_outlasts_the_load(self):
        """A VM's wait in the last moment is not known yet as requests are judged."""
        vm = make_vm()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_after_2_s, vm)
            await _wait_until_scheduled([vm], since=0.5)
        self.assertEqual(vm.waits.longer_than(0.5), [1.9])

    async def run_after_2_s(self, vm):
        vm.waits.add_sample(SchedstatSample(0.1, 0.1, 0.5, 0.0))
        await trio.sleep(2.0)
        vm.waits.add_sample(SchedstatSample(1.95, 2.0, 0.51, 1.9))
        await trio.sleep(0.05)
        vm.waits.add_sample(SchedstatSample(2.05, 2.05, 0.52, 1.9))

    @on_mock_clock
    async def test_vm_that_does_not_run_again(self):
        """A soak never ends, as one of its VMs does not run any more."""
        await _wait_until_scheduled([make_vm()], since=0.5)
        self.assertLessEqual(trio.current_time(), 5.0)


class TestPromises(unittest.TestCase):
    def test_nothing_is_found_where_all_is_well(self):
        self.assertEqual(violated_rules([make_request()], [make_run()]), [])

    def test_booking_that_ran_twice(self):
        request = make_request(path="/book/1", body=b"seat")
        run = make_run(path="/book/1", body=b"seat")
        self.assertEqual(violated_rules([request], [run, run]), ["TWICE"])
        self.assertEqual(violated_rules([make_request()], [make_run(), make_run()]), [])

    def test_refusal_of_what_ran(self):
        for status in (408, 421, 429, 503):
            request = make_request(path="/book/1", status=status)
            self.assertEqual(
                violated_rules([request], [make_run(path="/book/1")]), ["REFUSED"]
            )
        request = make_request(path="/book/1", status=502)
        self.assertEqual(violated_rules([request], [make_run(path="/book/1")]), [])

    def test_answer_to_another_request(self):
        self.assertEqual(
            violated_rules([make_request(response_body=b"x")], [make_run()]), ["MIXED"]
        )
        self.assertEqual(
            violated_rules([make_request(is_signed=False)], [make_run()]), ["MIXED"]
        )

    def test_run_that_nobody_sent_or_that_saw_a_key(self):
        self.assertEqual(violated_rules([], [make_run("r-9")]), ["UNASKED"])
        self.assertEqual(
            violated_rules([make_request()], [make_run(has_key=True)]), ["UNASKED"]
        )
        other = make_run(workspace=SMALL_WORKSPACE)
        self.assertEqual(violated_rules([make_request()], [other]), ["UNASKED"])

    def test_more_than_a_quota_in_a_window(self):
        names = [f"r-{n}" for n in range(70)]
        requests = [make_request(name, workspace=SMALL_WORKSPACE) for name in names]
        runs = [make_run(name, workspace=SMALL_WORKSPACE) for name in names]
        self.assertEqual(violated_rules(requests, runs), ["QUOTA"])
        self.assertEqual(violated_rules(requests[:50], runs[:50]), [])

    def test_work_for_a_target_that_left(self):
        late = make_run(draining_for_s=3.5)
        self.assertEqual(violated_rules([make_request()], [late]), ["DRAIN"])
        cut = Disturbance("vm_pause", "vm-0", 8.0, 9.0)
        self.assertEqual(violated_rules([make_request()], [late], [cut]), [])

    def test_withdrawn_key_and_dropped_route(self):
        revoked = {"large-0": 3.0}
        found = violated_rules([make_request()], [make_run()], revoked_at=revoked)
        self.assertEqual(found, ["REVOKE"])
        request = make_request(path="/extra-0/1")
        run = make_run(path="/extra-0/1")
        found = violated_rules([request], [run], dropped_at={"/extra-0/": 6.0})
        self.assertEqual(found, ["CONFIG"])

    def test_request_held_past_its_timeout(self):
        overdue = make_request(status=504, ended_at=13.0)
        self.assertEqual(violated_rules([overdue], []), ["HELD"])
        stall = Disturbance("stall", SCOPE_ALL, 10.5, 12.0)
        self.assertEqual(violated_rules([overdue], [], [stall]), [])

    def test_request_at_a_vm_that_waited_for_a_processor(self):
        """A request is found HELD though its VM was kept from running meanwhile."""
        found, excused = check_overdue(CpuWait(10.0, 12.9, 2.86))
        self.assertEqual(found, [])
        self.assertIn("2.90 s, 2.86 s of it without a processor", excused[0])
        short_waits = [CpuWait(10.0 + n, 10.9 + n, 0.2) for n in range(2)]
        self.assertEqual(check_overdue(*short_waits)[0], [])

    def test_request_that_its_vm_held_beside_waits(self):
        """A slow VM is taken for one that was kept from running."""
        for waits in (
            [],
            [CpuWait(10.0, 12.9, 0.15)],
            [CpuWait(5.0, 10.0, 5.0)],
            [CpuWait(12.9, 15.0, 2.1)],
            [CpuWait(6.0, 12.0, 4.0)],
        ):
            self.assertEqual(check_overdue(*waits), (["HELD"], []), waits)
        other = check_overdue(CpuWait(10.0, 12.9, 2.86), vm="vm-1")
        self.assertEqual(other, (["HELD"], []))

    def test_request_cut_by_a_planned_stop_alone(self):
        cut = make_request(status=0)
        stop = Disturbance("vm_stop", "vm-0", 9.0, 13.0)
        self.assertEqual(violated_rules([cut], [make_run()], [stop]), ["LOST"])
        reset = Disturbance("target_resets", "target-0", 9.5, 10.5)
        self.assertEqual(violated_rules([cut], [make_run()], [stop, reset]), [])

    def test_request_cut_by_signals_that_meet(self):
        cut = make_request(status=0)
        for kind in SIGNAL_SEQUENCES:
            series = Disturbance(kind, "vm-0", 9.0, 13.0)
            self.assertEqual(
                violated_rules([cut], [make_run()], [series]), ["LOST"], kind
            )
            kill = Disturbance("vm_kill", "vm-0", 9.5, 10.5)
            self.assertEqual(
                violated_rules([cut], [make_run()], [series, kill]), [], kind
            )
            far = Disturbance(kind, "vm-1", 9.0, 13.0)
            self.assertEqual(violated_rules([cut], [make_run()], [far]), [], kind)

    def test_hangups_alone_disturb_no_promise(self):
        overdue = make_request(status=504, ended_at=13.0)
        hangups = Disturbance("hup_hup", "vm-0", 9.0, 13.0)
        self.assertEqual(violated_rules([overdue], [], [hangups]), ["HELD"])

    def test_callers_that_are_not_served_at_the_end(self):
        requests = [make_request(f"r-{n}", status=503, sent_at=95.0) for n in range(5)]
        self.assertEqual(violated_rules(requests, []), ["RECOVER"])

    def test_valid_key_or_route_refused(self):
        self.assertEqual(violated_rules([make_request(status=404)], []), ["DENIED"])
        refused = make_request(status=401)
        self.assertEqual(violated_rules([refused], []), ["DENIED"])
        self.assertEqual(
            violated_rules([refused], [], issued_at={"large-0": 7.5}), ["DENIED"]
        )
        self.assertEqual(violated_rules([refused], [], issued_at={"large-0": 8.5}), [])
