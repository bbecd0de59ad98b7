"""What a target says to a health check must not end the entry daemon."""

import unittest
from types import SimpleNamespace

from plantainshed_entry.http_probe import probe_over_http
from plantainshed_entry.relay import LOAD_HEADER, reported_load
from plantainshed_http.messages import ResponseHead
from tests.entry.test_daemon import running_daemon
from tests.http_support import serving
from tests.support import on_real_clock

NO_LOADS = (
    *("", ".", "x", "-1", "+1", "1e3", "1.2.3", "1 0", "nan", "inf", "1\n"),
    *("\xb2", "1\xb2", "\xb9.5", "\xbd", "9" * 5000),
)
LOADS = (("0", 0.0), ("3", 3.0), ("0.5", 0.5), (".5", 0.5), ("2.", 2.0))


def head_with(load: str) -> ResponseHead:
    return ResponseHead(200, [(LOAD_HEADER, load.encode("latin-1"))])


class TestReportedLoad(unittest.TestCase):
    def test_a_number(self):
        for text, load in LOADS:
            with self.subTest(text=text):
                self.assertEqual(reported_load(head_with(text)), load)

    def test_what_is_no_number_counts_as_no_report(self):
        for text in NO_LOADS:
            with self.subTest(text=text[:30]):
                self.assertIsNone(reported_load(head_with(text)))
        self.assertIsNone(reported_load(ResponseHead(200, [])))


class TestLoadThatIsNoNumber(unittest.TestCase):
    """`Probing.run` awaits the probe in a nursery of the node's."""

    @on_real_clock
    async def test_a_digit_that_is_no_number(self):
        async def target(exchange):
            await exchange.reply(200, [(LOAD_HEADER, b"\xb2")], b"")

        async with serving(target) as (address, _):
            state = SimpleNamespace(
                target=SimpleNamespace(address=address),
                pool=SimpleNamespace(probe_path="/ready"),
            )
            news = await probe_over_http(state)
        self.assertTrue(news.healthy)
        self.assertEqual(news.load, 0.0)

    @on_real_clock
    async def test_in_an_answer_to_a_caller(self):
        async def target(exchange):
            await exchange.reply(200, [(LOAD_HEADER, b"\xb2")], b"whole")

        async with running_daemon(target) as running:
            for _ in range(2):
                head, body = await running.call()
                self.assertEqual((head.status, body), (200, b"whole"))
