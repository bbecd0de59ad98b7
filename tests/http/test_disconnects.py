import socket
import unittest

import trio

from plantainshed_http.client import ClientConnection
from plantainshed_http.disconnects import DisconnectWatcher
from plantainshed_http.tcp import TcpStream, open_tcp_stream
from tests.http_support import serving
from tests.support import on_real_clock


async def connected_pair() -> tuple[TcpStream, TcpStream]:
    """Return both ends of a loopback connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = await open_tcp_stream(*listening.getsockname())
        accepted, _ = listening.accept()
        return near, TcpStream(accepted)


class TestDisconnectWatcher(unittest.TestCase):
    def setUp(self):
        self.watcher = DisconnectWatcher()
        self.disconnects = 0

    def note(self):
        self.disconnects += 1

    @on_real_clock
    async def test_only_a_caller_that_disconnects_is_noted(self):
        near, far = await connected_pair()
        self.watcher.watch(far, self.note)
        self.watcher.check()
        self.assertEqual(self.disconnects, 0)
        near.close()
        await trio.lowlevel.wait_readable(far.socket)
        self.watcher.check()
        self.assertEqual(self.disconnects, 1)
        far.close()

    @on_real_clock
    async def test_pipelined_request_is_not_a_disconnect_and_stays_unread(self):
        """Guards against a lost request that a caller sent before its answer."""
        near, far = await connected_pair()
        self.watcher.watch(far, self.note)
        await near.send_all(b"GET /next HTTP/1.1\r\n")
        await trio.lowlevel.wait_readable(far.socket)
        self.watcher.check()
        self.assertEqual(self.disconnects, 0)
        self.assertEqual(await far.receive_some(100), b"GET /next HTTP/1.1\r\n")
        near.close()
        far.close()

    @on_real_clock
    async def test_reused_descriptor_is_not_taken_for_an_earlier_connection(self):
        """Guards against cancelling the request of a later connection."""
        near, far = await connected_pair()
        self.watcher.watch(far, self.note)
        self.watcher.unwatch(far)
        far.close()
        near.close()
        near, far = await connected_pair()
        near.close()
        self.watcher.check()
        self.assertEqual(self.disconnects, 0)
        far.close()


class TestPipelining(unittest.TestCase):
    @on_real_clock
    async def test_caller_that_pipelines_does_not_keep_others_waiting(self):
        """Guards against one caller's buffered requests that block all other tasks."""
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                await trio.lowlevel.checkpoint()
                turns += 1

        async def respond(exchange):
            await exchange.reply(200, [], b"")

        async with serving(respond) as (address, _), trio.open_nursery() as nursery:
            connection = await ClientConnection.open(address, 2)
            request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            nursery.start_soon(count_turns)
            await connection.stream.send_all(request * 200)
            received = b""
            while received.count(b"200 ") < 200:
                received += await connection.stream.receive_some(65536)
            self.assertGreater(turns, 200)
            connection.close()
            nursery.cancel_scope.cancel()
