"""Tests of answers that a target of the gateway cuts off."""

import itertools
import unittest
from unittest import mock

import trio
from attrs import define, field

from tests.cut_answers import (
    BODY,
    CALLER_VERSIONS,
    FRAMINGS,
    LONG_BODY,
    Cut,
    ask_raw,
    check_received,
    cuts_at_each_byte,
    cuts_of_long_answer,
)
from tests.platform.fleet_support import Fleet, running_fleet
from tests.platform.platform_support import HOST, KEY, configuration
from tests.platform.target_standin import TargetStandin
from tests.platform.test_cut_from_targets import cut_off
from tests.support import on_real_clock

# Number of requests at a time.
CONCURRENT = 16


@define
class CuttingTarget(TargetStandin):
    """Cuts off its answers.

    Attributes
    ----------
    cuts : dict of str to Cut
        By the id of the request; whole answers to others.
    """

    cuts: dict[str, Cut] = field(factory=dict)

    async def _answer(self, stream, connection, headers, is_last: bool) -> bool:
        request_id = headers["request-id"]
        cut = self.cuts.pop(request_id, None)
        if cut is None:
            return await super()._answer(stream, connection, headers, is_last)
        await cut.send(stream, request_id, self.body)
        return False


async def check(test: unittest.TestCase, fleet: Fleet, cuts: list[Cut]):
    """Cut off answers for callers of both HTTP versions; check what they get."""
    (target,) = fleet.targets
    limiter = trio.CapacityLimiter(CONCURRENT)

    async def check_cut(number: int, cut: Cut, version: str):
        request_id = f"r-{number:05}"
        target.cuts[request_id] = cut
        headers = {"Host": HOST, "Request-Id": request_id}
        headers["Authorization"] = f"Bearer {KEY}"
        async with limiter:
            with trio.fail_after(5):
                start = f"POST /book/1 HTTP/{version}"
                got = await ask_raw(fleet.vms[0].address, start, headers)
        context = f"{cut}, HTTP/{version}: {got.status}"
        test.assertNotIn(request_id, target.cuts, context)
        check_received(test, got, cut, target.body, context)

    async with trio.open_nursery() as nursery:
        both = itertools.product(cuts, CALLER_VERSIONS)
        for number, (cut, version) in enumerate(both):
            nursery.start_soon(check_cut, number, cut, version)


# Failures of other requests must not keep a request from the target.
@mock.patch("plantainshed_gateway.selection.registry.FAILURES_TO_EJECT", 1 << 30)
@mock.patch("plantainshed_gateway.relay_choice.AVOID_S", 0.0)
class TestCutAnswers(unittest.TestCase):
    """Guards against cut answers that look complete to callers (MIXED)."""

    async def check_all(self, vm_count: int, make_cuts, body: bytes, is_relayed=False):
        target = CuttingTarget("i-cut", slots=50)
        workspace = {"name": "comune", "apiKeys": [KEY], "ratePerS": 100_000}
        document = configuration(tenants=[workspace])
        async with running_fleet(vm_count, [target], document) as fleet:
            if is_relayed:
                await cut_off(fleet, fleet.vms[0])
            target.body = body
            for name, resets in itertools.product(FRAMINGS, (False, True)):
                with self.subTest(name, resets=resets):
                    cuts = make_cuts(FRAMINGS[name], resets, body)
                    await check(self, fleet, cuts)

    @on_real_clock
    async def test_short_answer_cut_at_each_byte(self):
        await self.check_all(1, cuts_at_each_byte, BODY)

    @on_real_clock
    async def test_long_answer(self):
        await self.check_all(1, cuts_of_long_answer, LONG_BODY)

    @on_real_clock
    async def test_short_answer_through_another_vm_cut_at_each_byte(self):
        await self.check_all(2, cuts_at_each_byte, BODY, is_relayed=True)

    @on_real_clock
    async def test_long_answer_through_another_vm(self):
        await self.check_all(2, cuts_of_long_answer, LONG_BODY, is_relayed=True)
