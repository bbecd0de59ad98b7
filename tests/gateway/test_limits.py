import unittest
from functools import partial
from random import Random

import trio

from plantainshed_gateway.poison import (
    PoisonTracker,
    compute_fingerprint,
    is_selected_to_try,
)
from plantainshed_gateway.retry_budget import RetryBudgets
from plantainshed_gateway.selection.cold import ColdTargets
from plantainshed_gateway.selection.registry import TargetState
from tests.gateway.gateway_support import BOUNDS, POOL, make_entry
from tests.support import on_mock_clock


class TestRetryBudgets(unittest.TestCase):
    @on_mock_clock
    async def test_all_vms_together_stay_within_the_budget(self):
        """All targets of a pool fail every request.

        Without a shared budget, every VM would retry each request and double the pool's
        load. The ratio of retries to requests and the fixed allowance apply to all VMs
        together.
        """
        vms = [RetryBudgets(BOUNDS) for _ in range(12)]
        requests, retries = [], []
        while trio.current_time() < 30:
            for budgets in vms:
                budgets.note_request("calendario")
                requests.append(trio.current_time())
                if budgets.try_spend("calendario", 12):
                    retries.append(trio.current_time())
            await trio.sleep(0.1)
        for start in range(0, 20):
            in_window = sum(start <= at < start + 10 for at in retries)
            of_requests = sum(start <= at < start + 10 for at in requests)
            self.assertLessEqual(in_window, 0.2 * of_requests + 64)

    @on_mock_clock
    async def test_a_few_failures_are_all_retried(self):
        budgets = RetryBudgets(BOUNDS)
        for _ in range(100):
            budgets.note_request("calendario")
        self.assertTrue(all(budgets.try_spend("calendario", 12) for _ in range(10)))


class TestColdTargets(unittest.TestCase):
    async def peak_in_a_second(self, count: int) -> int:
        names = [f"vm-{n}" for n in range(count)]
        vms = [ColdTargets(BOUNDS, name) for name in names]
        state = TargetState(make_entry("i-cold"))
        state.note_cold(100)
        sent: list[float] = []
        began_at = trio.current_time()
        while trio.current_time() < began_at + 12:
            for vm in vms:
                if vm.admits(state, POOL, names):
                    sent.append(trio.current_time())
            await trio.sleep(0.02)
        return max(sum(at <= other < at + 1.0 for other in sent) for at in sent)

    @on_mock_clock
    async def test_limit_applies_to_all_vms_together(self):
        """Many VMs discover a cold target at the same instant.

        Each has a request for it. If each VM applied the limit alone, all requests
        would get through and crash the target.
        """
        bound = 15 * 1.5 + 5
        for count in (1, 12, 80):
            most = await self.peak_in_a_second(count)
            self.assertLessEqual(most, bound, count)
            self.assertGreaterEqual(most, 5, count)

    @on_mock_clock
    async def test_warm_target_is_not_limited(self):
        vm = ColdTargets(BOUNDS, "vm-0")
        state = TargetState(make_entry("i-warm"))
        self.assertTrue(all(vm.admits(state, POOL, ["vm-0"]) for _ in range(100)))


class TestPoison(unittest.TestCase):
    def fingerprint(self, body=b"x"):
        return compute_fingerprint("comune", "POST", "/book/1", body)

    @on_mock_clock
    async def test_request_is_blocked_after_three_targets_crashed(self):
        """A request crashes each target that runs it, and its caller repeats it.

        Each repetition costs another target, whichever VM receives it.
        """
        here, there = PoisonTracker(), PoisonTracker()
        here.note_crash(self.fingerprint(), "i-1")
        here.note_crash(self.fingerprint(), "i-2")
        self.assertFalse(here.is_blocked(self.fingerprint()))
        there.note_crash(self.fingerprint(), "i-3")
        here.merge(there.recent_crashes())
        there.merge(here.recent_crashes())
        self.assertTrue(here.is_blocked(self.fingerprint()))
        self.assertTrue(there.is_blocked(self.fingerprint()))
        self.assertFalse(here.is_blocked(self.fingerprint(b"another seat")))

    @on_mock_clock
    async def test_answered_request_is_cleared(self):
        tracker = PoisonTracker()
        for instance in ("i-1", "i-2", "i-3"):
            tracker.note_crash(self.fingerprint(), instance)
        tracker.note_answered(self.fingerprint())
        self.assertFalse(tracker.is_blocked(self.fingerprint()))

    @on_mock_clock
    async def test_repeated_request_reaches_few_targets(self):
        """Guards against blocks that end while the request keeps coming (BUDGET).

        Each VM let it through again 30 s after it had learned of the crashes.
        """
        mark, names = self.fingerprint(), [f"vm-{n}" for n in range(12)]
        trackers = {name: PoisonTracker() for name in names}
        draw, runs = Random(1), []
        began_at = trio.current_time()
        while trio.current_time() < began_at + 200:
            name = draw.choice(names)
            is_selected = partial(is_selected_to_try, vm=name, vms=names)
            if not trackers[name].is_blocked(mark, is_selected):
                runs.append(trio.current_time())
                trackers[name].note_crash(mark, f"i-{len(runs) % 2}/{len(runs)}")
            await trio.sleep(0.25)
            for tracker in trackers.values():
                for other in trackers.values():
                    other.merge(tracker.recent_crashes())
            await trio.sleep(0.25)
        late = [at for at in runs if at > runs[2] + 3.0]
        self.assertLessEqual(len(late), 2)
        self.assertGreaterEqual(len(late), 1)

    @on_mock_clock
    async def test_harmless_request_is_served_again_by_all(self):
        """Guards against a long block of a request whose targets crashed by chance."""
        here, there = PoisonTracker(), PoisonTracker()
        for run in ("i-1/1", "i-2/1", "i-3/1"):
            here.note_crash(self.fingerprint(), run)
        outdated = here.recent_crashes()
        there.merge(outdated)
        await trio.sleep(29)
        self.assertTrue(here.is_blocked(self.fingerprint()))
        await trio.sleep(2)
        self.assertTrue(there.is_blocked(self.fingerprint(), lambda _: False))
        self.assertFalse(here.is_blocked(self.fingerprint()))
        # Only one trial at a time.
        self.assertTrue(here.is_blocked(self.fingerprint()))
        here.note_answered(self.fingerprint())
        there.merge(here.recent_crashes())
        here.merge(outdated)
        for tracker in (here, there):
            self.assertFalse(tracker.is_blocked(self.fingerprint()))

    @on_mock_clock
    async def test_crashes_are_forgotten(self):
        """Guards against crashes that VMs report to each other without end."""
        here, there = PoisonTracker(), PoisonTracker()
        for run in ("i-1/1", "i-2/1", "i-3/1"):
            here.note_crash(self.fingerprint(), run)
        for _ in range(121):
            there.merge(here.recent_crashes())
            here.merge(there.recent_crashes())
            await trio.sleep(1)
        for tracker in (here, there):
            self.assertFalse(tracker.is_blocked(self.fingerprint(), lambda _: False))
            self.assertEqual(tracker.recent_crashes(), ())

    @on_mock_clock
    async def test_two_crashes_within_half_a_minute_do_not_block_later(self):
        tracker = PoisonTracker()
        for run in ("i-1/1", "i-2/1"):
            tracker.note_crash(self.fingerprint(), run)
        await trio.sleep(31)
        tracker.note_crash(self.fingerprint(), "i-3/1")
        self.assertFalse(tracker.is_blocked(self.fingerprint()))
