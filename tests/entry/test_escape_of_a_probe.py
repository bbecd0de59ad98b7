"""Load headers of targets, whose invalid values must not end the entry daemon."""

import unittest
from types import SimpleNamespace

from plantainshed_entry.http_probe import probe_over_http
from plantainshed_entry.relay import LOAD_HEADER, reported_load
from plantainshed_http.messages import ResponseHead
from tests.entry.test_daemon import running_daemon
from tests.http_support import serving
from tests.support import on_real_clock

INVALID_LOADS = (
    *("", ".", "x", "-1", "+1", "1e3", "1.2.3", "1 0", "nan", "inf", "1\n"),
    *("\xb2", "1\xb2", "\xb9.5", "\xbd", "9" * 5000),
)
VALID_LOADS = (("0", 0.0), ("3", 3.0), ("0.5", 0.5), (".5", 0.5), ("2.", 2.0))


def head_with(load: str) -> ResponseHead:
    return ResponseHead(200, [(LOAD_HEADER, load.encode("latin-1"))])


class TestReportedLoad(unittest.TestCase):
    def test_valid_number(self):
        for text, load in VALID_LOADS:
            with self.subTest(text=text):
                self.assertEqual(reported_load(head_with(text)), load)

    def test_invalid_or_missing_number(self):
        for text in INVALID_LOADS:
            with self.subTest(text=text[:30]):
                self.assertIsNone(reported_load(head_with(text)))
        self.assertIsNone(reported_load(ResponseHead(200, [])))


class TestInvalidLoadHeader(unittest.TestCase):
    """An invalid load header must not raise an error.

    `Probing.run` runs probes in a nursery of the node, so that an error in a
    probe would end the daemon.
    """

    @on_real_clock
    async def test_superscript_digit_in_a_probe(self):
        async def target(exchange):
            await exchange.reply(200, [(LOAD_HEADER, b"\xb2")], b"")

        async with serving(target) as (address, _):
            state = SimpleNamespace(
                target=SimpleNamespace(address=address),
                pool=SimpleNamespace(probe_path="/ready"),
            )
            result = await probe_over_http(state)
        self.assertTrue(result.healthy)
        self.assertEqual(result.load, 0.0)

    @on_real_clock
    async def test_superscript_digit_in_an_answer(self):
        async def target(exchange):
            await exchange.reply(200, [(LOAD_HEADER, b"\xb2")], b"whole")

        async with running_daemon(target) as running:
            for _ in range(2):
                head, body = await running.call()
                self.assertEqual((head.status, body), (200, b"whole"))
