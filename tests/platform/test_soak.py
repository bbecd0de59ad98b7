"""Tests that the soak detects the violations that it is meant to detect."""

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

from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectFailed
from tests.platform.soak.__main__ import (
    ExitCode,
    _cpu_times,
    _wait_until_ready,
    _wait_until_scheduled,
    soak,
)
from tests.platform.soak.callers import SentRequest
from tests.platform.soak.faults import (
    CUT_FORMS,
    CUT_VMS,
    FAULT_KINDS,
    SCOPE_ALL,
    Disturbance,
    Fault,
    FaultInjector,
    draw_cuts,
    draw_faults,
    draw_registrations,
    draw_watchers,
)
from tests.platform.soak.processes import Vm
from tests.platform.soak.promises import CUT_KIND, InvariantChecker
from tests.platform.soak.proxy import black_hole
from tests.platform.soak.settings import STABLE_S, SoakSettings
from tests.platform.soak.signals import (
    MAX_SEQUENCES,
    SIGNAL_SEQUENCES,
    draw_signals,
    run_signals,
)
from tests.platform.soak.waits import CpuWait, SchedstatSample
from tests.platform.soak.watchers import CHANGES, WATCHER_FAILURES
from tests.platform.soak.world import LARGE_WORKSPACE, SMALL_WORKSPACE, Run, World
from tests.support import on_mock_clock, on_real_clock

SETTINGS = SoakSettings(seed=5, duration_s=60.0)
# Kinds that seed 54 draws for a duration of 12 s.
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
    """Check a request of 2.9 s; return the violated rules and the excused requests."""
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
    # A request served at the end keeps RECOVER from being reported as well.
    requests = [*requests, make_request("last", sent_at=100.0)]
    checker = InvariantChecker(world, [make_vm()], requests, list(disturbances))
    return sorted(checker.check(90.0, 200.0).by_rule)


class TestDraw(unittest.TestCase):
    def test_same_seed_draws_the_same(self):
        self.assertEqual(draw_faults(SETTINGS), draw_faults(SETTINGS))
        self.assertNotEqual(draw_faults(SETTINGS), draw_faults(SoakSettings(6, 60.0)))

    def test_each_kind_is_drawn_and_implemented(self):
        drawn = {
            f.kind for seed in range(40) for f in draw_faults(SoakSettings(seed, 60.0))
        }
        self.assertEqual(drawn, set(FAULT_KINDS))
        for kind in FAULT_KINDS:
            self.assertTrue(callable(getattr(FaultInjector, kind)))

    def test_registration_without_an_answer_is_drawn_apart(self):
        """Guards against a soak in which no VM registers, and against changed draws."""
        (fault,) = draw_registrations(SETTINGS)
        self.assertTrue(callable(getattr(FaultInjector, fault.kind)))
        self.assertNotIn(fault.kind, FAULT_KINDS)
        self.assertEqual(draw_registrations(SETTINGS), [fault])

    def test_each_form_and_extent_of_cuts_is_drawn(self):
        cuts = [cut for n in range(200) for cut in draw_cuts(SoakSettings(n, 8.0))]
        self.assertTrue(all(callable(getattr(FaultInjector, c.kind)) for c in cuts))
        kinds = len(CUT_FORMS) * len(CUT_VMS)
        self.assertEqual({cut.random_bits % kinds for cut in cuts}, set(range(kinds)))
        self.assertEqual(draw_cuts(SETTINGS), draw_cuts(SETTINGS))
        self.assertGreater(min(cut.duration_s for cut in cuts), STABLE_S)

    def test_each_failure_of_watchers_is_drawn_with_each_change(self):
        faults = [f for n in range(200) for f in draw_watchers(SoakSettings(n, 8.0))]
        self.assertTrue(all(callable(getattr(FaultInjector, f.kind)) for f in faults))
        self.assertTrue(all(callable(getattr(FaultInjector, c)) for c in CHANGES))
        kinds = len(WATCHER_FAILURES) * len(CHANGES)
        self.assertEqual({f.random_bits % kinds for f in faults}, set(range(kinds)))


class TestDrawSignals(unittest.TestCase):
    def test_same_seed_draws_the_same_few_sequences(self):
        self.assertEqual(draw_signals(SETTINGS), draw_signals(SETTINGS))
        self.assertNotEqual(draw_signals(SETTINGS), draw_signals(SoakSettings(6, 60.0)))
        self.assertEqual(len(draw_signals(SETTINGS)), MAX_SEQUENCES)
        self.assertEqual(len(draw_signals(SoakSettings(5, 2.0))), 1)

    def test_each_sequence_is_drawn(self):
        settings = [SoakSettings(seed, 12.0) for seed in range(40)]
        drawn = {fault.kind for one in settings for fault in draw_signals(one)}
        self.assertEqual(drawn, set(SIGNAL_SEQUENCES))

    def test_faults_of_a_recorded_seed_stay_the_same(self):
        """Recorded seeds must keep drawing the same faults to reproduce a failure."""
        kinds = [fault.kind for fault in draw_faults(SoakSettings(54, 12.0))]
        self.assertEqual(kinds, PINNED_FAULTS)


# After SIGTERM this program takes 0.6 s to exit, with the default actions for further
# signals restored. The gateway once had this fault.
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
NEVER_EXITS = IGNORES_SIGNALS_AFTER_STOP.replace("sys.exit(0)", "time.sleep(60)")
# Becomes ready on its first start only.
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
    """Run a program as a VM and send signal sequences to it."""
    async with running_vm(program) as vm:
        injector = FaultInjector(World(SETTINGS), [vm])
        with trio.fail_after(20):
            while not vm.is_ready:
                await trio.sleep(0.02)
            await run_signals(injector, [Fault(kind, 0.0, 0.0, 1) for kind in kinds])
    return vm


@contextlib.asynccontextmanager
async def running_vm(program: str):
    """Run a program as a VM for the duration of a block."""
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
    """A gateway exited at once when it received SIGHUP while draining after SIGTERM.

    The soak missed this: it sent both signals, but rarely to the same randomly drawn
    VM, and it did not check how a VM exited after SIGTERM.
    """

    @on_real_clock
    async def test_exit_by_second_signal_while_draining(self):
        with mock.patch("tests.platform.soak.signals.MAX_GAPS_S", (0.3,)):
            vm = await run_sequences(DEFAULT_SIGNALS_AFTER_STOP, "stop_hup")
            self.assertEqual(violations_at(vm), ["EXIT"])
            self.assertIn("status -1 after SIGTERM SIGHUP", vm.unexpected_exits[0])
            for kind in SIGNAL_SEQUENCES:
                vm = await run_sequences(IGNORES_SIGNALS_AFTER_STOP, kind)
                self.assertEqual(violations_at(vm), [], kind)

    @on_real_clock
    async def test_signals_repeated_until_exit(self):
        """Signals also arrive between the last log line and the exit of a process.

        That takes 10 ms or more, and a repeated SIGTERM then ended the gateway with
        status -15.
        """
        default_before_exit = IGNORES_SIGNALS_AFTER_STOP.replace(
            "sys.exit(0)", SIGNALS_DEFAULT_BEFORE_EXIT
        )
        with mock.patch("tests.platform.soak.signals.MAX_GAPS_S", (0.3,)):
            for kind, status in (("stop_hups", -1), ("stop_agains", -15)):
                for program in (DEFAULT_SIGNALS_AFTER_STOP, default_before_exit):
                    vm = await run_sequences(program, kind)
                    self.assertEqual(violations_at(vm), ["EXIT"])
                    self.assertIn(f"status {status} ", vm.unexpected_exits[0])

    @on_real_clock
    async def test_process_that_does_not_exit_in_time(self):
        with mock.patch("tests.platform.soak.processes.KILL_AFTER_S", 0.5):
            vm = await run_sequences(NEVER_EXITS, "stop_change")
        self.assertEqual(violations_at(vm), ["EXIT"])
        self.assertEqual(vm.unexpected_exits, [])
        since, until = vm.late_exits[0]
        pause = Disturbance("vm_pause", "vm-0", since, until)
        self.assertEqual(violations_at(vm, pause), [])
        other = Disturbance("vm_pause", "vm-1", since, until)
        self.assertEqual(violations_at(vm, other), ["EXIT"])

    @on_real_clock
    async def test_process_that_is_not_ready_after_hangup_during_startup(self):
        with mock.patch("tests.platform.soak.signals.START_TIMEOUT_S", 1.0):
            vm = await run_sequences(NEVER_READY, "restart_hup")
        self.assertEqual(violations_at(vm), ["START"])

    def test_expected_and_unexpected_exits(self):
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
    """A VM that becomes ready after a delay, part of which it waits for a CPU."""

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
    """A soak on an overloaded machine (load 57 on 16 cores) failed with TimeoutError.

    A VM was not ready after 26.8 s, but had waited for a CPU for over 15 s of these,
    8.9 s of them at a stretch. That is no fault of the VM, and the soak also deleted
    the logs when it failed.
    """

    @on_mock_clock
    async def test_timeout_excludes_cpu_waits(self):
        await _wait_until_ready([StartingVm(ready_s=20.0, waits_s=0.0)])
        await _wait_until_ready([StartingVm(ready_s=40.0, waits_s=20.0)])

    @on_mock_clock
    async def test_vm_not_ready_despite_cpu_time(self):
        with self.assertRaisesRegex(TimeoutError, "vm-0 .* waited 5.0 s"):
            await _wait_until_ready([StartingVm(ready_s=60.0, waits_s=5.0)])
        self.assertLess(trio.current_time(), 32.0)

    def test_logs_are_saved_on_failure(self):
        broken = BaseExceptionGroup("", [TimeoutError("vm-0 was not ready")])
        with (
            mock.patch("trio.run", side_effect=broken),
            mock.patch("tests.platform.soak.__main__._save_logs") as save_logs,
            mock.patch("builtins.print") as printed,
            self.assertRaises(SystemExit) as ended,
        ):
            save_logs.return_value = "target/soak/seed-1"
            soak(seed=1)
        self.assertEqual(ended.exception.code, ExitCode.FAILED)
        self.assertIn("target/soak/seed-1", printed.call_args.args[0])


def child_pids(pid: int) -> set[int]:
    """Return the IDs of the running child processes of a process."""
    children = Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for listed in children for child in listed.read_text().split()}


def kill_remaining(pids: set[int]) -> set[int]:
    """Kill the processes that are still running and return their IDs."""
    left = {pid for pid in pids if Path(f"/proc/{pid}").exists()}
    for pid in left:
        os.kill(pid, signal.SIGKILL)
    return left


class TestTermination(unittest.TestCase):
    def terminate_soak(self, number: int) -> tuple[str, set[int]]:
        """Signal a soak to end; return its output and the VMs that it left running."""
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

    def test_termination_stops_its_vms(self):
        """A terminated soak left its VMs running, and they kept loading the machine."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                printed, left = self.terminate_soak(number)
                self.assertEqual(left, set())
                self.assertIn(f"terminated by {number.name}", printed)


class TestOwnStalls(unittest.TestCase):
    @on_real_clock
    async def test_stall_at_the_end_of_the_load(self):
        """A stall that lasts until the load ends must be recorded as well.

        A soak stalled for 9.5 s up to the end of its load. Pending requests at three
        VMs took as long and were reported as HELD, since the task that records stalls
        was cancelled before it checked the clock.
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


class TestCpuWaitsOfVms(unittest.TestCase):
    @on_real_clock
    async def test_running_processes_are_sampled(self):
        """The soak measured its own stalls, but not those of its VMs."""
        async with running_vm(IGNORES_SIGNALS_AFTER_STOP) as vm:
            with trio.fail_after(20):
                while not vm.waits.ran_s:
                    await trio.sleep(0.02)
        self.assertEqual(set(_cpu_times([vm])), {"vm-0"})

    @on_mock_clock
    async def test_wait_that_outlasts_the_load(self):
        """A VM's wait at the end of the load was not yet counted during the checks."""
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
        """A soak must end even if one of its VMs never runs again."""
        await _wait_until_scheduled([make_vm()], since=0.5)
        self.assertLessEqual(trio.current_time(), 5.0)


class TestInvariantChecker(unittest.TestCase):
    def test_no_violations(self):
        self.assertEqual(violated_rules([make_request()], [make_run()]), [])

    def test_booking_that_ran_twice(self):
        request = make_request(path="/book/1", body=b"seat")
        run = make_run(path="/book/1", body=b"seat")
        self.assertEqual(violated_rules([request], [run, run]), ["TWICE"])
        self.assertEqual(violated_rules([make_request()], [make_run(), make_run()]), [])

    def test_booking_that_ran_but_was_refused(self):
        for status in (408, 421, 429, 503):
            request = make_request(path="/book/1", status=status)
            self.assertEqual(
                violated_rules([request], [make_run(path="/book/1")]), ["REFUSED"]
            )
        request = make_request(path="/book/1", status=502)
        self.assertEqual(violated_rules([request], [make_run(path="/book/1")]), [])

    def test_response_of_another_request(self):
        self.assertEqual(
            violated_rules([make_request(response_body=b"x")], [make_run()]), ["MIXED"]
        )
        self.assertEqual(
            violated_rules([make_request(is_signed=False)], [make_run()]), ["MIXED"]
        )

    def test_run_without_request_or_with_key(self):
        self.assertEqual(violated_rules([], [make_run("r-9")]), ["UNASKED"])
        self.assertEqual(
            violated_rules([make_request()], [make_run(has_key=True)]), ["UNASKED"]
        )
        other = make_run(workspace=SMALL_WORKSPACE)
        self.assertEqual(violated_rules([make_request()], [other]), ["UNASKED"])

    def test_quota_exceeded_in_a_window(self):
        names = [f"r-{n}" for n in range(70)]
        requests = [make_request(name, workspace=SMALL_WORKSPACE) for name in names]
        runs = [make_run(name, workspace=SMALL_WORKSPACE) for name in names]
        self.assertEqual(violated_rules(requests, runs), ["QUOTA"])
        self.assertEqual(violated_rules(requests[:50], runs[:50]), [])

    def test_run_at_a_drained_target(self):
        late = make_run(draining_for_s=3.5)
        self.assertEqual(violated_rules([make_request()], [late]), ["DRAIN"])
        cut = Disturbance("vm_pause", "vm-0", 8.0, 9.0)
        self.assertEqual(violated_rules([make_request()], [late], [cut]), [])

    def test_withdrawn_key_and_removed_route(self):
        revoked = {"large-0": 3.0}
        found = violated_rules([make_request()], [make_run()], revoked_at=revoked)
        self.assertEqual(found, ["REVOKE"])
        request = make_request(path="/extra-0/1")
        run = make_run(path="/extra-0/1")
        found = violated_rules([request], [run], removed_at={"/extra-0/": 6.0})
        self.assertEqual(found, ["CONFIG"])

    def test_request_held_past_its_timeout(self):
        overdue = make_request(status=504, ended_at=13.0)
        self.assertEqual(violated_rules([overdue], []), ["HELD"])
        stall = Disturbance("stall", SCOPE_ALL, 10.5, 12.0)
        self.assertEqual(violated_rules([overdue], [], [stall]), [])

    def test_slow_request_excused_by_cpu_waits(self):
        """A request was reported as HELD although its VM was waiting for a CPU."""
        found, excused = check_overdue(CpuWait(10.0, 12.9, 2.86))
        self.assertEqual(found, [])
        self.assertIn("2.90 s, 2.86 s of it waiting for a CPU", excused[0])
        short_waits = [CpuWait(10.0 + n, 10.9 + n, 0.2) for n in range(2)]
        self.assertEqual(check_overdue(*short_waits)[0], [])

    def test_slow_request_not_excused_by_cpu_waits(self):
        """A slow VM must not be excused by waits that do not explain its delay."""
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

    def test_request_cut_by_graceful_stop_only(self):
        cut = make_request(status=0)
        stop = Disturbance("vm_stop", "vm-0", 9.0, 13.0)
        self.assertEqual(violated_rules([cut], [make_run()], [stop]), ["LOST"])
        reset = Disturbance("target_resets", "target-0", 9.5, 10.5)
        self.assertEqual(violated_rules([cut], [make_run()], [stop, reset]), [])

    def test_request_cut_by_overlapping_signals(self):
        cut = make_request(status=0)
        for kind in SIGNAL_SEQUENCES:
            signals = Disturbance(kind, "vm-0", 9.0, 13.0)
            self.assertEqual(
                violated_rules([cut], [make_run()], [signals]), ["LOST"], kind
            )
            kill = Disturbance("vm_kill", "vm-0", 9.5, 10.5)
            self.assertEqual(
                violated_rules([cut], [make_run()], [signals, kill]), [], kind
            )
            far = Disturbance(kind, "vm-1", 9.0, 13.0)
            self.assertEqual(violated_rules([cut], [make_run()], [far]), [], kind)

    def test_hangups_alone_excuse_nothing(self):
        overdue = make_request(status=504, ended_at=13.0)
        hangups = Disturbance("hup_hup", "vm-0", 9.0, 13.0)
        self.assertEqual(violated_rules([overdue], [], [hangups]), ["HELD"])

    def test_callers_not_served_after_recovery(self):
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


def rules_of_cut(statuses, others=(200,) * 200, *disturbances, after_s=STABLE_S):
    """Check requests to a VM that is cut off from the targets, and to another one."""
    vms = [make_vm(), make_vm()]
    vms[1].name, vms[1].ports = "vm-1", [7, 2, 3, 4, 5, 6]
    cut = Disturbance(CUT_KIND, "vm-0", 10.0, 20.0)
    requests = [
        make_request(
            f"r-{vm.name}-{n}",
            status=status,
            sent_at=10.0 + after_s,
            vm_address=vm.request_address,
        )
        for vm, answered in zip(vms, (statuses, others), strict=True)
        for n, status in enumerate(answered)
    ]
    requests.append(make_request("last", sent_at=100.0))
    world = World(SETTINGS)
    checker = InvariantChecker(world, vms, requests, [cut, *disturbances])
    return sorted(checker.check(90.0, 200.0).by_rule)


class TestCuts(unittest.TestCase):
    """VMs that were cut off from all targets served almost nobody."""

    def test_callers_of_cut_vms_served_far_less_often(self):
        self.assertEqual(rules_of_cut((503,) * 50), ["RECOVER"])
        self.assertEqual(rules_of_cut((503,) * 50 + (200,) * 90), ["RECOVER"])

    def test_few_failures_are_allowed(self):
        self.assertEqual(rules_of_cut((200,) * 50 + (503,) * 14), [])
        self.assertEqual(rules_of_cut((503,) * 10), [])

    def test_same_failures_elsewhere_are_no_fault_of_the_cut(self):
        self.assertEqual(rules_of_cut((503,) * 50, (503,) * 200), [])

    def test_time_to_detect_the_cut_and_other_faults_excuse(self):
        self.assertEqual(rules_of_cut((503,) * 50, after_s=1.0), [])
        kill = Disturbance("vm_kill", "vm-0", 11.0, 12.0)
        self.assertEqual(rules_of_cut((503,) * 50, (200,) * 200, kill), [])

    @on_real_clock
    async def test_black_hole_answers_no_connection(self):
        with black_hole() as address, self.assertRaises(ConnectFailed):
            await ClientConnection.open(address, 0.2)
