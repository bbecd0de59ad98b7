"""Tests of requests that crash the targets that run them."""

import unittest

import orjson
import trio
from attrs import define, field

from tests.platform.platform_support import (
    LoopbackSystem,
    configuration,
    entry,
    route,
    running_system,
)
from tests.platform.target_standin import TargetStandin, running_target
from tests.support import on_real_clock

CRASHES_ALLOWED = 3


@define
class CrashingTarget(TargetStandin):
    """Ends when it begins to run a request."""

    has_crashed: trio.Event = field(factory=trio.Event)

    async def _answer(self, stream, connection, headers, is_last: bool) -> bool:
        self.has_crashed.set()
        await trio.sleep_forever()


async def run_again_and_again(system: LoopbackSystem, starts: list[int]):
    """Run a target that starts again under its name after each crash."""
    while True:
        target = CrashingTarget("i-crash")
        async with running_target(target):
            starts.append(len(starts) + 1)
            fields = entry(target, service="giuramento", born=starts[-1])
            system.store.put("servers", "i-crash", fields)
            await target.has_crashed.wait()


class TestRequestsThatCrashTargets(unittest.TestCase):
    @on_real_clock
    async def test_restarts_under_the_same_name_count_as_further_crashes(self):
        """Guards against a request that crashes one target without end (BUDGET)."""
        pools = [{"name": name} for name in ("calendario", "giuramento")]
        document = configuration(paths=[route(service="giuramento")], services=pools)
        async with (
            running_system(1, document) as system,
            trio.open_nursery() as nursery,
        ):
            starts: list[int] = []
            nursery.start_soon(run_again_and_again, system, starts)
            reasons = []
            with trio.move_on_after(10):
                while reasons.count("poison") < 5:
                    _, _, body = await system.ask("/read/crash")
                    reasons.append(orjson.loads(body)["reason"])
                    await trio.sleep(0.1)
            self.assertEqual(reasons[-1], "poison")
            self.assertEqual(len(starts) - 1, CRASHES_ALLOWED)
            nursery.cancel_scope.cancel()
