"""Tests of targets that turn requests away and say when to come back."""

import unittest
from collections import defaultdict

import trio

from tests.platform.fleet_support import running_fleet
from tests.platform.platform_support import entry, running_system
from tests.platform.target_standin import TargetStandin
from tests.platform.test_target_limits import CONFIGURATION, load, make_targets
from tests.support import on_real_clock

RETRY_AFTER_S = 2.0
# Requests that arrive this soon after the answer were on their way.
UNDERWAY_S = 0.5
# Requests that may arrive from one VM in the rest of the time.
MAX_ARRIVALS = 2


def turn_away(target: TargetStandin, seconds: float | None = RETRY_AFTER_S):
    """Have a target turn all requests away from now on, or run them again."""
    target.turns_away = seconds is not None
    target.extra_headers.pop("Retry-After", None)
    if seconds is not None:
        target.extra_headers["Retry-After"] = f"{seconds}"


def most_arrivals(target: TargetStandin) -> int:
    """Return the most requests from one VM in the time in which it was to send none."""
    by_vm = defaultdict(list)
    for arrival in target.arrivals:
        by_vm[arrival.request_id.rpartition("-")[0]].append(arrival.at)
    return max(
        (
            sum(at + UNDERWAY_S < other < at + RETRY_AFTER_S for other in times)
            for times in by_vm.values()
            for at in times
        ),
        default=0,
    )


class TestArrivals(unittest.TestCase):
    """VMs went on sending to targets that had asked them for no requests."""

    @on_real_clock
    async def test_some_targets_turn_requests_away(self):
        """Guards against requests and retries at targets that want none."""
        targets = make_targets(4)
        async with running_fleet(2, targets, CONFIGURATION) as fleet:
            await load(fleet, 0.5)
            for target in targets:
                target.arrivals.clear()
            for target in targets[:2]:
                turn_away(target)
            answers = await load(fleet, 2.5 * RETRY_AFTER_S)
            for target in targets[:2]:
                self.assertGreater(len(target.arrivals), 0)
                self.assertLessEqual(most_arrivals(target), MAX_ARRIVALS)
            self.assertEqual(set(answers.statuses), {200})

            for target in targets[:2]:
                turn_away(target, None)
            await load(fleet, 2 * RETRY_AFTER_S)
            back_at = trio.current_time()
            await load(fleet, 2.0)
            after = [sum(one.at > back_at for one in t.arrivals) for t in targets]
            self.assertGreater(min(after[:2]), 0.5 * sum(after) / len(after))

    @on_real_clock
    async def test_all_targets_turn_requests_away(self):
        """Guards against a pool that is used in full when none of it is available."""
        targets = make_targets(3)
        async with running_fleet(2, targets, CONFIGURATION) as fleet:
            await load(fleet, 0.5)
            for target in targets:
                target.arrivals.clear()
                turn_away(target)
            answers = await load(fleet, 2.5 * RETRY_AFTER_S)
            for target in targets:
                self.assertLessEqual(most_arrivals(target), MAX_ARRIVALS)
            self.assertEqual(set(answers.statuses), {503})
            self.assertEqual(answers.without_retry_after, 0)
            self.assertLess(max(answers.refused_after_s), 0.5)

    @on_real_clock
    async def test_changed_entry_of_the_target(self):
        """Guards against a heartbeat in the store that ends the time early."""
        async with running_system(1) as system:
            (target,) = system.targets
            turn_away(target, 5.0)
            await system.ask()
            for seq in range(5):
                system.store.put("servers", target.instance, entry(target, seq=seq))
                await trio.sleep(0.2)
                await system.ask()
            self.assertLessEqual(len(target.arrivals[1:]), 1)

    @on_real_clock
    async def test_restarted_target(self):
        """Guards against a new run that gets nothing because of the one before."""
        async with running_system(1) as system:
            (target,) = system.targets
            turn_away(target, 60.0)
            await system.ask()
            turn_away(target, None)
            restarted = entry(target, born=1796000009000)
            system.store.put("servers", target.instance, restarted)
            registry = system.gateway.registry
            await system.until(lambda: _started_ms(registry, target) == 1796000009000)
            # It is cold, so requests are not admitted at once.
            await system.ask()
            await trio.sleep(0.3)
            status, _, _ = await system.ask()
            self.assertEqual(status, 200)

    @on_real_clock
    async def test_answer_that_turns_away_without_a_time(self):
        """Guards against targets that are left out although they ask for nothing."""
        async with running_system(1) as system:
            (target,) = system.targets
            target.turns_away = True
            await system.ask()
            target.turns_away = False
            status, _, _ = await system.ask()
            self.assertEqual(status, 200)

    @on_real_clock
    async def test_time_that_is_not_a_number_of_seconds(self):
        for text in ("-1", "nan", "1e3", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", ""):
            with self.subTest(text):
                async with running_system(1) as system:
                    (target,) = system.targets
                    target.turns_away = True
                    target.extra_headers["Retry-After"] = text
                    await system.ask()
                    target.turns_away = False
                    status, _, _ = await system.ask()
                    self.assertEqual(status, 200)


def _started_ms(registry, target: TargetStandin) -> int | None:
    return registry.states[target.instance].entry.started_ms
