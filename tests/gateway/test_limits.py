import unittest

import trio

from plantainshed_gateway.poison import PoisonTracker, compute_fingerprint
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
    async def test_block_expires(self):
        tracker = PoisonTracker()
        for instance in ("i-1", "i-2", "i-3"):
            tracker.note_crash(self.fingerprint(), instance)
        await trio.sleep(31)
        self.assertFalse(tracker.is_blocked(self.fingerprint()))
        self.assertEqual(tracker.recent_crashes(), ())
