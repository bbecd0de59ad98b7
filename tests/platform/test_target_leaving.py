"""Tests of targets that say in their answers that they are about to stop."""

import unittest

import trio

from tests.platform.platform_support import LoopbackSystem, entry, running_system
from tests.platform.target_standin import TargetStandin
from tests.support import on_real_clock


async def ask_often(system: LoopbackSystem) -> set[int]:
    """Send requests for many objects; return the statuses of the answers."""
    statuses = set()
    for number in range(20):
        status, _, _ = await system.ask(affinity_key=str(number))
        statuses.add(status)
    return statuses


async def put_entry(system: LoopbackSystem, target: TargetStandin, **fields):
    """Change a target's entry and wait until the gateway knows."""
    before = known_entry(system, target)
    system.store.put("servers", target.instance, entry(target, **fields))
    await system.until(lambda: known_entry(system, target) != before)


def known_entry(system: LoopbackSystem, target: TargetStandin):
    """Return the target's entry as the gateway knows it, or None."""
    state = system.gateway.registry.states.get(target.instance)
    return state.entry if state is not None else None


class TestArrivals(unittest.TestCase):
    """Targets about to stop went on getting requests until the store said so."""

    async def check_left_out(self, system: LoopbackSystem, target: TargetStandin):
        target.arrivals.clear()
        self.assertEqual(await ask_often(system), {200})
        self.assertEqual(len(target.arrivals), 0)

    @on_real_clock
    async def test_target_whose_entry_is_still_ready(self):
        """Guards against requests that a target is too late to run."""
        async with running_system(2) as system:
            target = system.targets[0]
            target.extra_headers["Server-Leaving"] = "1"
            await ask_often(system)
            await self.check_left_out(system, target)
            # Neither another heartbeat nor a lost entry changes what it said.
            await put_entry(system, target, slots=3)
            await self.check_left_out(system, target)
            system.store.delete("servers", target.instance)
            await system.until(lambda: known_entry(system, target) is None)
            await put_entry(system, target)
            await self.check_left_out(system, target)

    @on_real_clock
    async def test_answers_that_turn_away_or_fail(self):
        for fault in ("turned away", "failed"):
            with self.subTest(fault):
                async with running_system(2) as system:
                    target = system.targets[0]
                    target.extra_headers["Server-Leaving"] = "1"
                    target.turns_away = fault == "turned away"
                    if fault == "failed":
                        target.response_faults = ["fails"] * 20
                    await ask_often(system)
                    target.turns_away = False
                    target.response_faults = []
                    await self.check_left_out(system, target)

    @on_real_clock
    async def test_restarted_target_gets_requests(self):
        """Guards against a new run that is left out because of the one before."""
        async with running_system(2) as system:
            target = system.targets[0]
            target.extra_headers["Server-Leaving"] = "1"
            await ask_often(system)
            target.extra_headers.clear()
            await put_entry(system, target, born=1796000009000)
            target.arrivals.clear()
            with trio.fail_after(5):
                while not target.arrivals:
                    await ask_often(system)

    @on_real_clock
    async def test_other_values_of_the_header(self):
        async with running_system(2) as system:
            target = system.targets[0]
            target.extra_headers["Server-Leaving"] = "0"
            await ask_often(system)
            target.arrivals.clear()
            await ask_often(system)
            self.assertGreater(len(target.arrivals), 0)
