"""Tests that the client rejects invalid requests and addresses."""

import unittest

from plantainshed_http.client import ClientConnection, connected
from plantainshed_http.errors import ConnectFailed, UnsendableRequest
from tests.http_support import serving
from tests.support import on_real_clock

UNSENDABLE = (
    ("no host", "/", []),
    ("two hosts", "/", [(b"host", b"a"), (b"host", b"b")]),
    ("a line break in a header", "/", [(b"host", b"a"), (b"x", b"1\r\ny: 2")]),
    ("a space in the target", "/a b", [(b"host", b"a")]),
)


class TestUnsendableRequests(unittest.TestCase):
    @on_real_clock
    async def test_raises_and_sends_nothing(self):
        seen = []

        async def handle(exchange):
            seen.append(exchange.request.target)
            await exchange.reply(200, [], b"whole")

        async with serving(handle) as (address, _), connected(address, 2) as client:
            for problem, target, headers in UNSENDABLE:
                with self.subTest(problem):
                    with self.assertRaises(UnsendableRequest) as caught:
                        await client.send_head("GET", target, headers)
                    self.assertEqual(caught.exception.status, 400)
                    self.assertFalse(client.send_started)
                    self.assertFalse(client.outgoing)
            head, body = await client.request("GET", "/last")
            self.assertEqual((head.status, body), (200, b"whole"))
        self.assertEqual(seen, ["/last"])


class TestInvalidAddresses(unittest.TestCase):
    @on_real_clock
    async def test_connection_fails(self):
        """Guards against another error, which would end the process (Fault)."""
        hosts = ("\udcff\udcff", "\x00", "a" * 80 + ".example", "")
        for address in (*(f"{host}:80" for host in hosts), "127.0.0.1:65536", "x", ""):
            with self.subTest(address), self.assertRaises(ConnectFailed):
                await ClientConnection.open(address, 0.5)
