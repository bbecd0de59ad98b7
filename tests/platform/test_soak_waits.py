"""Tests when and for how long the soak finds that VMs waited for a CPU."""

import signal
import subprocess
import sys
import unittest
from pathlib import Path

import trio

from tests.platform.soak.waits import (
    SAMPLE_PERIOD_S,
    CpuWait,
    CpuWaits,
    SchedstatSample,
)
from tests.support import on_mock_clock, on_real_clock

SLEEP_COMMAND = (sys.executable, "-c", "import time; time.sleep(60)")
STOPPED_STATE = "T"


def waits_from_samples(*counts: tuple[float, float, float]) -> CpuWaits:
    """Add samples, each of a time, a run time and a waiting time."""
    waits = CpuWaits()
    for at, ran_s, waited_s in counts:
        waits.add_sample(SchedstatSample(at, at, ran_s, waited_s))
    return waits


def state_of(process: trio.Process) -> str:
    """Return the kernel's one-letter state of a process."""
    return Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0]


class TestCpuWait(unittest.TestCase):
    def test_least_waiting_time_between_two_times(self):
        """A request was excused by waiting that may have been at another time."""
        full, partial = CpuWait(10.0, 13.0, 3.0), CpuWait(10.0, 13.0, 1.0)
        for wait, since, until, expected_s in (
            (full, 9.0, 14.0, 3.0),
            (full, 11.0, 14.0, 2.0),
            (full, 11.0, 12.0, 1.0),
            (full, 13.0, 14.0, 0.0),
            (full, 8.0, 9.0, 0.0),
            (partial, 9.0, 14.0, 1.0),
            (partial, 10.5, 14.0, 0.5),
            (partial, 11.5, 14.0, 0.0),
            (partial, 10.5, 11.5, 0.0),
        ):
            with self.subTest(wait=wait, since=since, until=until):
                self.assertAlmostEqual(wait.min_within(since, until), expected_s)


class TestCpuWaits(unittest.TestCase):
    def test_wait_began_several_samples_earlier(self):
        """The kernel counts a wait of seconds only at its end, in a single sample."""
        idle = [(10.0 + n * SAMPLE_PERIOD_S, 1.0, 0.0) for n in range(60)]
        waits = waits_from_samples((9.95, 0.9, 0.0), *idle, (13.0, 1.1, 2.9))
        self.assertAlmostEqual(waits.min_within(9.9, 13.0), 2.9)
        self.assertLessEqual(waits.min_within(12.0, 13.0), 1.0)
        self.assertGreaterEqual(waits.min_within(12.0, 13.0), 0.9)
        self.assertEqual(waits.min_within(13.0, 16.0), 0.0)
        self.assertEqual(waits.longer_than(0.5), [2.9])

    def test_wait_began_after_the_process_ran(self):
        """A wait must not be dated to a time when the process is known to have run."""
        waits = waits_from_samples((10.0, 1.0, 0.0), (11.0, 1.5, 0.0), (12.0, 1.6, 2.5))
        self.assertEqual(waits.intervals, [CpuWait(10.0, 12.0, 2.5)])

    @on_mock_clock
    async def test_next_process_is_counted_from_its_start(self):
        """The counters of a VM's next process start at zero, not at the last sample."""
        waits = waits_from_samples((0.0, 3.0, 2.0))
        await trio.sleep(1.0)
        waits.start_process()
        waits.add_sample(SchedstatSample(1.2, 1.2, 0.5, 0.1))
        self.assertEqual(waits.intervals[1:], [CpuWait(1.0, 1.2, 0.1)])
        self.assertAlmostEqual(waits.waited_s, 2.1)
        self.assertAlmostEqual(waits.ran_s, 3.5)

    @on_mock_clock
    async def test_timeout_grows_by_waiting_time(self):
        """A VM that never responds was excused, since its caller gave up in a wait."""
        waits = CpuWaits()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.wait_for_3_s, waits)
            with waits.timeout(4.0):
                await trio.sleep_forever()
        self.assertAlmostEqual(trio.current_time(), 7.0)
        with waits.timeout(4.0):
            await trio.sleep_forever()
        self.assertAlmostEqual(trio.current_time(), 11.0)

    async def wait_for_3_s(self, waits):
        await trio.sleep(3.5)
        waits.add_sample(SchedstatSample(3.5, 3.5, 0.1, 3.0))

    @on_real_clock
    async def test_paused_process_does_not_wait_for_cpu(self):
        """A paused VM must not be excused as one that waits for a CPU."""
        waits = CpuWaits()
        waits.start_process()
        process = await trio.lowlevel.open_process(
            SLEEP_COMMAND, stderr=subprocess.DEVNULL
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(waits.watch, process)
                while not waits.ran_s:
                    await trio.sleep(SAMPLE_PERIOD_S)
                process.send_signal(signal.SIGSTOP)
                while state_of(process) != STOPPED_STATE:
                    await trio.sleep(SAMPLE_PERIOD_S)
                since = trio.current_time()
                await trio.sleep(0.5)
                until = trio.current_time()
                process.send_signal(signal.SIGCONT)
                await trio.sleep(4 * SAMPLE_PERIOD_S)
                nursery.cancel_scope.cancel()
        finally:
            process.kill()
        self.assertEqual(waits.min_within(since, until), 0.0)
