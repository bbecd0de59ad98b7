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
    _on_processors,
    _until_ready,
    _until_run_again,
    soak,
)
from tests.platform.soak.callers import Seen
from tests.platform.soak.faults import ALL, KINDS, Disturbance, Fault, Faults, draw
from tests.platform.soak.processes import Vm
from tests.platform.soak.promises import Promises
from tests.platform.soak.settings import SoakSettings
from tests.platform.soak.signals import MOST, SERIES, draw_signals, run_signals
from tests.platform.soak.waits import Reading, Wait
from tests.platform.soak.world import LARGE, SMALL, Run, World
from tests.support import on_mock_clock, on_real_clock

SETTINGS = SoakSettings(seed=5, duration_s=60.0)
# What seed 54 draws for 12 s.
PINNED = ["target_spoils", "target_spoils", "target_spoils", "target_silent"]


def make_vm() -> Vm:
    ports = [1, 2, 3, 4, 5, 6]
    return Vm("vm-0", "domain-0", "127.0.0.1", None, None, None, ports)


def make_seen(name="r-1", path="/read/1", status=200, sent_at=10.0, **more) -> Seen:
    return Seen(
        **{
            "request_id": name,
            "workspace": LARGE,
            "key": "large-0",
            "path": path,
            "body": b"",
            "vm": "127.0.0.1:1",
            "sent_at": sent_at,
            "ended_at": sent_at + 0.1,
            "status": status,
            "answer": f"answer to {name}".encode(),
            "is_signed": True,
            **more,
        }
    )


def make_run(name="r-1", path="/read/1", at=10.0, **more) -> Run:
    return Run(
        **{
            "request_id": name,
            "workspace": LARGE,
            "path": path,
            "body": b"",
            "at": at,
            "target": "target-0",
            "has_key": False,
            "was_leaving_for_s": 0.0,
            **more,
        }
    )


def found_at(vm: Vm, *disturbances: Disturbance) -> list[str]:
    seen = [make_seen("last", sent_at=100.0)]
    promises = Promises(World(SETTINGS), [vm], seen, list(disturbances))
    return sorted(promises.check(90.0, 200.0).by_rule)


def held(*waits: Wait, vm="vm-0") -> tuple[list[str], list[str]]:
    """Judge a request of 2.9 s; return what is found and what is excused."""
    vms = [make_vm(), make_vm()]
    vms[1].name, vms[1].ports = "vm-1", [7, 2, 3, 4, 5, 6]
    next(one for one in vms if one.name == vm).waits.found += waits
    seen = [make_seen(status=504, ended_at=12.9), make_seen("last", sent_at=100.0)]
    findings = Promises(World(SETTINGS), vms, seen, []).check(90.0, 200.0)
    return sorted(findings.by_rule), findings.waited


def rules(seen, runs, disturbances=(), **world) -> list[str]:
    made = World(SETTINGS, runs=list(runs), **world)
    # Served at the end, so that only the rule under test is found.
    seen = [*seen, make_seen("last", sent_at=100.0)]
    promises = Promises(made, [make_vm()], seen, list(disturbances))
    return sorted(promises.check(90.0, 200.0).by_rule)


class TestDraw(unittest.TestCase):
    def test_same_seed_draws_the_same(self):
        self.assertEqual(draw(SETTINGS), draw(SETTINGS))
        self.assertNotEqual(draw(SETTINGS), draw(SoakSettings(6, 60.0)))

    def test_each_kind_is_drawn_and_can_be_done(self):
        drawn = {f.kind for seed in range(40) for f in draw(SoakSettings(seed, 60.0))}
        self.assertEqual(drawn, set(KINDS))
        for kind in KINDS:
            self.assertTrue(callable(getattr(Faults, kind)))


class TestDrawSignals(unittest.TestCase):
    def test_same_seed_draws_the_same_and_few(self):
        self.assertEqual(draw_signals(SETTINGS), draw_signals(SETTINGS))
        self.assertNotEqual(draw_signals(SETTINGS), draw_signals(SoakSettings(6, 60.0)))
        self.assertEqual(len(draw_signals(SETTINGS)), MOST)
        self.assertEqual(len(draw_signals(SoakSettings(5, 2.0))), 1)

    def test_each_series_is_drawn(self):
        settings = [SoakSettings(seed, 12.0) for seed in range(40)]
        drawn = {fault.kind for one in settings for fault in draw_signals(one)}
        self.assertEqual(drawn, set(SERIES))

    def test_faults_of_a_seed_stay_what_they_were(self):
        """Seeds are written down with what they found; they must find it again."""
        kinds = [fault.kind for fault in draw(SoakSettings(54, 12.0))]
        self.assertEqual(kinds, PINNED)


# Told to stop, this program is busy for a while, in which any further signal does
# what the system lets it do, as at the gateway once.
DEAF = """
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
MENDED = DEAF.replace("SIG_DFL", "SIG_IGN")
LAST_MOMENT = """for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)
    time.sleep(0.1)"""
NEVER_ENDS = MENDED.replace("sys.exit(0)", "time.sleep(60)")
# Serves when it is first started, and never again.
NEVER_READY = MENDED.replace(
    """print('{"message":"ready"}', flush=True)""",
    """while time.process_time() < 0.2:
    pass
if "again" in open(sys.argv[1]).read():
    time.sleep(60)
print('{"message":"ready"}', flush=True)
open(sys.argv[1], "a").write("again")""",
)


async def done(program: str, *kinds: str) -> Vm:
    """Run a program as a VM does, and do series of signals at it."""
    async with running(program) as vm:
        faults = Faults(World(SETTINGS), [vm])
        with trio.fail_after(20):
            while not vm.is_ready:
                await trio.sleep(0.02)
            await run_signals(faults, [Fault(kind, 0.0, 0.0, 1) for kind in kinds])
    return vm


@contextlib.asynccontextmanager
async def running(program: str):
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
        with mock.patch("tests.platform.soak.signals.GAPS_S", (0.3,)):
            vm = await done(DEAF, "stop_hup")
            self.assertEqual(found_at(vm), ["EXIT"])
            self.assertIn("status -1 after SIGTERM SIGHUP", vm.wrong_ends[0])
            for kind in SERIES:
                vm = await done(MENDED, kind)
                self.assertEqual(found_at(vm), [], kind)

    @on_real_clock
    async def test_signals_until_a_process_is_gone(self):
        """A process that has written its last line takes 10 ms and more to be gone.

        In these, a request to stop that was repeated ended it with status -15.
        """
        last_moment = MENDED.replace("sys.exit(0)", LAST_MOMENT)
        with mock.patch("tests.platform.soak.signals.GAPS_S", (0.3,)):
            for kind, status in (("stop_hups", -1), ("stop_agains", -15)):
                for program in (DEAF, last_moment):
                    vm = await done(program, kind)
                    self.assertEqual(found_at(vm), ["EXIT"])
                    self.assertIn(f"status {status} ", vm.wrong_ends[0])

    @on_real_clock
    async def test_process_that_does_not_end_in_its_time(self):
        with mock.patch("tests.platform.soak.processes.KILL_AFTER_S", 0.5):
            vm = await done(NEVER_ENDS, "stop_change")
        self.assertEqual(found_at(vm), ["EXIT"])
        self.assertEqual(vm.wrong_ends, [])
        since, until = vm.late[0]
        pause = Disturbance("vm_pause", "vm-0", since, until)
        self.assertEqual(found_at(vm, pause), [])
        other = Disturbance("vm_pause", "vm-1", since, until)
        self.assertEqual(found_at(vm, other), ["EXIT"])

    @on_real_clock
    async def test_process_that_is_not_ready_after_a_hangup_in_its_start(self):
        with mock.patch("tests.platform.soak.signals.START_S", 1.0):
            vm = await done(NEVER_READY, "restart_hup")
        self.assertEqual(found_at(vm), ["START"])

    def test_ends_that_are_right_and_wrong(self):
        hangup, stop, kill = -signal.SIGHUP, -signal.SIGTERM, -signal.SIGKILL
        for status, more, is_right in (
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
                vm.note_end(status)
            found = found_at(vm)
            self.assertEqual(found, [] if is_right else ["EXIT"], (status, more))


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
        await _until_ready([StartingVm(ready_s=20.0, waits_s=0.0)])
        await _until_ready([StartingVm(ready_s=40.0, waits_s=20.0)])

    @on_mock_clock
    async def test_vm_that_is_not_ready_though_it_could(self):
        with self.assertRaisesRegex(TimeoutError, "vm-0 .* waited 5.0 s"):
            await _until_ready([StartingVm(ready_s=60.0, waits_s=5.0)])
        self.assertLess(trio.current_time(), 32.0)

    def test_logs_are_kept(self):
        broken = BaseExceptionGroup("", [TimeoutError("vm-0 was not ready")])
        with (
            mock.patch("trio.run", side_effect=broken),
            mock.patch("tests.platform.soak.__main__._keep") as keep,
            mock.patch("builtins.print") as said,
            self.assertRaises(SystemExit) as ended,
        ):
            keep.return_value = "target/soak/seed-1"
            soak(seed=1)
        self.assertEqual(ended.exception.code, ExitCode.FAILED)
        self.assertIn("target/soak/seed-1", said.call_args.args[0])


def processes_of(pid: int) -> set[int]:
    """Return the ids of processes that a process started and that have not ended."""
    children = Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for listed in children for child in listed.read_text().split()}


def end(pids: set[int]) -> set[int]:
    """Kill processes; return those that had not ended."""
    left = {pid for pid in pids if Path(f"/proc/{pid}").exists()}
    for pid in left:
        os.kill(pid, signal.SIGKILL)
    return left


class TestEndOfSoak(unittest.TestCase):
    def ended_by(self, number: int) -> tuple[str, set[int]]:
        """End a soak by a signal; return what it printed and what it left behind."""
        command = [sys.executable, "-m", "tests.platform.soak"]
        command += ["--vms=2", "--domains=2", "--duration=30"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            vms = set()
            while len(vms) < 2 and process.poll() is None:
                time.sleep(0.02)
                vms = processes_of(process.pid)
            process.send_signal(number)
            printed = process.stdout.read()
        left = end(vms)
        self.assertEqual(process.returncode, ExitCode.FAILED)
        return printed, left

    def test_ends_its_vms_when_it_is_told_to_end(self):
        """A soak that is ended leaves its VMs behind, which load the machine."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                printed, left = self.ended_by(number)
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
        faults = Faults(World(SETTINGS), [])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.watch_own_stalls)
            await trio.sleep(0.25)
            time.sleep(0.8)
            nursery.cancel_scope.cancel()
        self.assertEqual([one.kind for one in faults.disturbances], ["stall"])
        self.assertGreater(faults.stalls_s[0], 0.5)


class TestWaitsOfVms(unittest.TestCase):
    @on_real_clock
    async def test_processes_are_read_while_they_run(self):
        """The soak knows of its own stalls only, not of those of its VMs."""
        async with running(MENDED) as vm:
            with trio.fail_after(20):
                while not vm.waits.ran_s:
                    await trio.sleep(0.02)
        self.assertEqual(set(_on_processors([vm])), {"vm-0"})

    @on_mock_clock
    async def test_wait_that_outlasts_the_load(self):
        """A VM's wait in the last moment is not known yet as requests are judged."""
        vm = make_vm()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_after_2_s, vm)
            await _until_run_again([vm], since=0.5)
        self.assertEqual(vm.waits.longer_than(0.5), [1.9])

    async def run_after_2_s(self, vm):
        vm.waits.note(Reading(0.1, 0.1, 0.5, 0.0))
        await trio.sleep(2.0)
        vm.waits.note(Reading(1.95, 2.0, 0.51, 1.9))
        await trio.sleep(0.05)
        vm.waits.note(Reading(2.05, 2.05, 0.52, 1.9))

    @on_mock_clock
    async def test_vm_that_does_not_run_again(self):
        """A soak never ends, as one of its VMs does not run any more."""
        await _until_run_again([make_vm()], since=0.5)
        self.assertLessEqual(trio.current_time(), 5.0)


class TestPromises(unittest.TestCase):
    def test_nothing_is_found_where_all_is_well(self):
        self.assertEqual(rules([make_seen()], [make_run()]), [])

    def test_booking_that_ran_twice(self):
        seen = make_seen(path="/book/1", body=b"seat")
        run = make_run(path="/book/1", body=b"seat")
        self.assertEqual(rules([seen], [run, run]), ["TWICE"])
        self.assertEqual(rules([make_seen()], [make_run(), make_run()]), [])

    def test_refusal_of_what_ran(self):
        for status in (408, 421, 429, 503):
            seen = make_seen(path="/book/1", status=status)
            self.assertEqual(rules([seen], [make_run(path="/book/1")]), ["REFUSED"])
        seen = make_seen(path="/book/1", status=502)
        self.assertEqual(rules([seen], [make_run(path="/book/1")]), [])

    def test_answer_to_another_request(self):
        self.assertEqual(rules([make_seen(answer=b"x")], [make_run()]), ["MIXED"])
        self.assertEqual(rules([make_seen(is_signed=False)], [make_run()]), ["MIXED"])

    def test_run_that_nobody_sent_or_that_saw_a_key(self):
        self.assertEqual(rules([], [make_run("r-9")]), ["UNASKED"])
        self.assertEqual(rules([make_seen()], [make_run(has_key=True)]), ["UNASKED"])
        other = make_run(workspace=SMALL)
        self.assertEqual(rules([make_seen()], [other]), ["UNASKED"])

    def test_more_than_a_quota_in_a_window(self):
        names = [f"r-{n}" for n in range(70)]
        seen = [make_seen(name, workspace=SMALL) for name in names]
        runs = [make_run(name, workspace=SMALL) for name in names]
        self.assertEqual(rules(seen, runs), ["QUOTA"])
        self.assertEqual(rules(seen[:50], runs[:50]), [])

    def test_work_for_a_target_that_left(self):
        late = make_run(was_leaving_for_s=3.5)
        self.assertEqual(rules([make_seen()], [late]), ["DRAIN"])
        cut = Disturbance("vm_pause", "vm-0", 8.0, 9.0)
        self.assertEqual(rules([make_seen()], [late], [cut]), [])

    def test_withdrawn_key_and_dropped_route(self):
        revoked = {"large-0": 3.0}
        found = rules([make_seen()], [make_run()], revoked_at=revoked)
        self.assertEqual(found, ["REVOKE"])
        seen = make_seen(path="/extra-0/1")
        run = make_run(path="/extra-0/1")
        found = rules([seen], [run], dropped_at={"/extra-0/": 6.0})
        self.assertEqual(found, ["CONFIG"])

    def test_request_held_past_its_timeout(self):
        held = make_seen(status=504, ended_at=13.0)
        self.assertEqual(rules([held], []), ["HELD"])
        stall = Disturbance("stall", ALL, 10.5, 12.0)
        self.assertEqual(rules([held], [], [stall]), [])

    def test_request_at_a_vm_that_waited_for_a_processor(self):
        """A request is found HELD though its VM was kept from running meanwhile."""
        found, excused = held(Wait(10.0, 12.9, 2.86))
        self.assertEqual(found, [])
        self.assertIn("2.90 s, 2.86 s of it without a processor", excused[0])
        pieces = [Wait(10.0 + n, 10.9 + n, 0.2) for n in range(2)]
        self.assertEqual(held(*pieces)[0], [])

    def test_request_that_its_vm_held_beside_waits(self):
        """A slow VM is taken for one that was kept from running."""
        for waits in (
            [],
            [Wait(10.0, 12.9, 0.15)],
            [Wait(5.0, 10.0, 5.0)],
            [Wait(12.9, 15.0, 2.1)],
            [Wait(6.0, 12.0, 4.0)],
        ):
            self.assertEqual(held(*waits), (["HELD"], []), waits)
        other = held(Wait(10.0, 12.9, 2.86), vm="vm-1")
        self.assertEqual(other, (["HELD"], []))

    def test_request_cut_by_a_planned_stop_alone(self):
        cut = make_seen(status=0)
        stop = Disturbance("vm_stop", "vm-0", 9.0, 13.0)
        self.assertEqual(rules([cut], [make_run()], [stop]), ["LOST"])
        reset = Disturbance("target_resets", "target-0", 9.5, 10.5)
        self.assertEqual(rules([cut], [make_run()], [stop, reset]), [])

    def test_request_cut_by_signals_that_meet(self):
        cut = make_seen(status=0)
        for kind in SERIES:
            series = Disturbance(kind, "vm-0", 9.0, 13.0)
            self.assertEqual(rules([cut], [make_run()], [series]), ["LOST"], kind)
            kill = Disturbance("vm_kill", "vm-0", 9.5, 10.5)
            self.assertEqual(rules([cut], [make_run()], [series, kill]), [], kind)
            far = Disturbance(kind, "vm-1", 9.0, 13.0)
            self.assertEqual(rules([cut], [make_run()], [far]), [], kind)

    def test_hangups_alone_disturb_no_promise(self):
        held = make_seen(status=504, ended_at=13.0)
        hangups = Disturbance("hup_hup", "vm-0", 9.0, 13.0)
        self.assertEqual(rules([held], [], [hangups]), ["HELD"])

    def test_callers_that_are_not_served_at_the_end(self):
        seen = [make_seen(f"r-{n}", status=503, sent_at=95.0) for n in range(5)]
        self.assertEqual(rules(seen, []), ["RECOVER"])

    def test_valid_key_or_route_refused(self):
        self.assertEqual(rules([make_seen(status=404)], []), ["DENIED"])
        refused = make_seen(status=401)
        self.assertEqual(rules([refused], []), ["DENIED"])
        self.assertEqual(rules([refused], [], issued_at={"large-0": 7.5}), ["DENIED"])
        self.assertEqual(rules([refused], [], issued_at={"large-0": 8.5}), [])
