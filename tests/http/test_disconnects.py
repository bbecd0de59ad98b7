import socket
import unittest
from itertools import product

import trio

from plantainshed_http.client import ClientConnection
from plantainshed_http.disconnects import DisconnectWatcher
from plantainshed_http.messages import MAX_HEAD_BYTES, READ_BYTES
from plantainshed_http.tcp import TcpStream, open_tcp_stream
from tests.http_support import raw_exchange, serving
from tests.support import on_real_clock

REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


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
    async def test_pipelined_request_is_not_a_disconnect_and_does_not_hide_one(self):
        """Guards against a lost request that a caller sent before its answer.

        Also guards against a request that runs on after its caller has left, because
        the unread bytes of the next one hide the end of the stream.
        """
        near, far = await connected_pair()
        self.watcher.watch(far, self.note)
        await near.send_all(b"GET /next HTTP/1.1\r\n")
        await trio.lowlevel.wait_readable(far.socket)
        self.watcher.check()
        self.assertEqual(self.disconnects, 0)
        self.assertEqual(self.watcher.poll.poll(0), [])
        near.close()
        with trio.fail_after(2):
            while not self.disconnects:
                await trio.sleep(0.01)
                self.watcher.check()
        self.assertEqual(await far.receive_some(100), b"GET /next HTTP/1.1\r\n")
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

    @on_real_clock
    async def test_caller_that_pipelines_and_leaves_is_noticed(self):
        """Guards against requests that run for a caller that has left.

        The bytes of the next request are in the parser's buffer if they arrive with
        the current one, and in the kernel's if they arrive later. They must neither
        hide the end of the stream nor be handled.
        """
        for is_cancelled, is_sent_later in product((True, False), repeat=2):
            with self.subTest(is_cancelled=is_cancelled, is_sent_later=is_sent_later):
                handled = UntilDisconnect(is_cancelled)
                async with serving(handled.handle) as (address, _):
                    connection = await ClientConnection.open(address, 2)
                    with_first = b"" if is_sent_later else REQUEST % 2
                    await connection.stream.send_all(REQUEST % 1 + with_first)
                    await handled.began.wait()
                    if is_sent_later:
                        await connection.stream.send_all(REQUEST % 2)
                    connection.close()
                    await handled.ended.wait()
                    await trio.sleep(0.05)
                    self.assertEqual(handled.targets, ["/1"])

    @on_real_clock
    async def test_requests_behind_a_closing_response_are_not_handled(self):
        """Guards against requests that run twice, as callers send them again."""
        targets = []

        async def respond(exchange):
            targets.append(exchange.request.target)
            await exchange.reply(200, [], b"")

        async with serving(respond) as (address, stopping):
            closing = (REQUEST % 1).replace(
                b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
            )
            answer = await raw_exchange(address, closing + REQUEST % 2)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 1)
            stopping.sends_connection_close = True
            answer = await raw_exchange(address, REQUEST % 3 + REQUEST % 4)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 1)
            self.assertIn(b"connection: close", answer.lower())
            self.assertEqual(targets, ["/1", "/3"])

    @on_real_clock
    async def test_buffered_pipelined_requests_are_bounded(self):
        """Guards against a caller that fills the memory of a VM by pipelining."""
        buffered = []

        async def wait(exchange):
            await trio.sleep(0.3)
            buffered.append(len(exchange._connection.h11.trailing_data[0]))
            await exchange.reply(200, [], b"")

        async with serving(wait) as (address, _):
            connection = await ClientConnection.open(address, 2)
            with trio.move_on_after(1) as scope:
                await connection.stream.send_all(REQUEST % 1 * 1_000_000)
            self.assertTrue(scope.cancelled_caught)
            self.assertGreater(len(buffered), 1)
            self.assertLessEqual(max(buffered), MAX_HEAD_BYTES + READ_BYTES)
            connection.close()


class UntilDisconnect:
    """A handler that ends once its caller has disconnected."""

    def __init__(self, is_cancelled: bool):
        self.is_cancelled = is_cancelled
        self.targets: list[str] = []
        self.began, self.ended = trio.Event(), trio.Event()

    async def handle(self, exchange):
        self.targets.append(exchange.request.target)
        self.began.set()
        if self.is_cancelled:
            with exchange.cancel_on_caller_disconnect():
                await trio.sleep_forever()
        else:
            with exchange.detect_caller_disconnect():
                while not exchange.caller_disconnected:
                    await trio.sleep(0.01)
            await exchange.reply(200, [], b"")
        self.ended.set()
