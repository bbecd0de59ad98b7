"""What a target says to a health check must not end the entry daemon."""

import unittest
from types import SimpleNamespace

from plantainshed_entry.http_probe import LOAD_HEADER, probe_over_http
from tests.http_support import serving
from tests.support import on_real_clock


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
