"""Tests of answers that a target of the entry daemon cuts off."""

import itertools
import unittest
from unittest import mock

import trio

from tests.cut_answers import (
    BODY,
    CALLER_VERSIONS,
    FRAMINGS,
    ask_raw,
    check_received,
    cuts_at_each_byte,
)
from tests.entry.test_daemon import KEY, running_daemon
from tests.support import on_real_clock


# Failures of other requests must not keep a request from the target.
@mock.patch("plantainshed_entry.targets.FAILURES_TO_EJECT", 1 << 30)
class TestCutAnswers(unittest.TestCase):
    """Guards against cut answers that look complete to callers."""

    @on_real_clock
    async def test_answer_cut_at_each_byte(self):
        cuts = {}

        async def answer(exchange):
            cut = cuts.pop(exchange.request.target, None)
            if cut is None:
                await exchange.reply(200, [], b"")
                return
            await cut.send(exchange._connection.stream, "r-00000", BODY)
            # Ends the connection without another answer.
            raise trio.BrokenResourceError

        numbers = itertools.count()
        async with running_daemon(answer) as running:
            for name, resets in itertools.product(FRAMINGS, (False, True)):
                with self.subTest(name, resets=resets):
                    every = cuts_at_each_byte(FRAMINGS[name], resets, BODY)
                    for cut, version in itertools.product(every, CALLER_VERSIONS):
                        path = f"/prenota/{next(numbers)}"
                        cuts[path] = cut
                        start = f"POST {path} HTTP/{version}"
                        headers = {"Host": "x", "Authorization": f"Bearer {KEY.text}"}
                        with trio.fail_after(5):
                            got = await ask_raw(running.address, start, headers)
                        context = f"{cut}, HTTP/{version}: {got.status}"
                        self.assertNotIn(path, cuts, context)
                        check_received(self, got, cut, BODY, context)
