"""Tests of the HTTP server and of client connections, on real sockets."""

import unittest
from unittest import mock

import trio

from plantainshed_http import server
from plantainshed_http.client import ClientConnection, connected
from plantainshed_http.server import ConnectionLimits, Stopping, serve_http
from tests.http_support import raw_exchange, serving
from tests.support import on_real_clock


async def echo(exchange):
    body = await exchange.read_body(1000)
    await exchange.reply(200, [], exchange.request.target.encode() + b" " + body)


class TestServer(unittest.TestCase):
    @on_real_clock
    async def test_keeps_a_connection_for_the_next_request(self):
        async with serving(echo) as (address, _), connected(address, 2) as connection:
            for number in range(3):
                _, body = await connection.request("GET", f"/{number}")
                self.assertEqual(body, f"/{number} ".encode())

    @on_real_clock
    async def test_response_without_reading_the_body_keeps_the_connection(self):
        """Guards against a new connection for each lookup.

        If a handler responds to a GET without reading its empty body, the server
        must not close the connection because the end of the body is unread.
        """

        async def respond(exchange):
            await exchange.reply(200, [], b"ok")

        async with serving(respond) as (address, _), connected(address, 2) as c:
            for _ in range(3):
                head, _ = await c.request("GET", "/")
                self.assertIsNone(head.header(b"connection"))

    @on_real_clock
    async def test_rejects_ambiguous_requests(self):
        """Guards against request smuggling.

        If a request has both Content-Length and chunked encoding, two servers on
        its path may disagree on where it ends. The rest of its body is then read
        as another caller's request.
        """
        forms = (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 5\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Content-Length: -1\r\n",
            b"Host: other\r\n",
        )
        async with serving(echo) as (address, _):
            for form in forms:
                head = b"POST / HTTP/1.1\r\nHost: a\r\n" + form + b"\r\n"
                with self.subTest(form):
                    answer = await raw_exchange(address, head + b"0\r\n\r\n")
                    self.assertRegex(answer, rb"^HTTP/1.1 (400|501) ")
                    self.assertEqual(answer.count(b"HTTP/1.1"), 1)

    @on_real_clock
    async def test_rejects_an_oversized_head(self):
        async with serving(echo) as (address, _):
            head = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000
            answer = await raw_exchange(address, head)
            self.assertTrue(answer.startswith(b"HTTP/1.1 431"))

    @on_real_clock
    async def test_rejects_a_body_above_the_limit(self):
        async with serving(echo) as (address, _):
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"
            answer = await raw_exchange(address, head + b"x" * 2000)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"))

    @on_real_clock
    async def test_idle_connection_is_closed_on_shutdown(self):
        async with serving(echo) as (address, stopping):
            connection = await ClientConnection.open(address, 2)
            await connection.request("GET", "/")
            stopping.set()
            self.assertEqual(await connection.stream.receive_some(10), b"")
            await connection.aclose()

    @on_real_clock
    async def test_shutdown_after_a_response_does_not_lose_the_next_request(self):
        """Guards against a request that fails occasionally when a VM is replaced.

        The server sends a response without "Connection: close", then begins to
        shut down. It must not close the connection while the caller's next
        request is in transit.
        """
        shutdowns = []

        async def respond_then_stop(exchange):
            await exchange.reply(200, [], b"ok")
            shutdowns[0].set()

        async with serving(respond_then_stop) as (address, stopping):
            shutdowns.append(stopping)
            async with connected(address, 2) as connection:
                first, _ = await connection.request("GET", "/")
                self.assertIsNone(first.header(b"connection"))
                last, _ = await connection.request("GET", "/")
                self.assertEqual(last.header(b"connection"), "close")

    @on_real_clock
    async def test_running_exchange_completes_on_shutdown(self):
        began, may_end = trio.Event(), trio.Event()

        async def slow(exchange):
            began.set()
            await may_end.wait()
            await exchange.reply(200, [], b"whole")

        async with serving(slow) as (address, stopping):
            async with trio.open_nursery() as nursery:
                answers = []

                async def call():
                    async with connected(address, 2) as connection:
                        answers.append(await connection.request("GET", "/"))

                nursery.start_soon(call)
                await began.wait()
                stopping.set()
                may_end.set()
            head, body = answers[0]
            self.assertEqual(body, b"whole")
            self.assertEqual(head.header(b"connection"), "close")

    @on_real_clock
    async def test_handler_is_cancelled_when_the_caller_disconnects(self):
        stopped = trio.Event()

        async def endless(exchange):
            await exchange.read_body(10)
            try:
                with exchange.cancel_on_caller_disconnect():
                    await trio.sleep_forever()
            finally:
                stopped.set()

        async with serving(endless) as (address, _):
            connection = await ClientConnection.open(address, 2)
            await connection.send_head("GET", "/", [(b"host", b"a")])
            await connection.end_request()
            await connection.aclose()
            await stopped.wait()

    @on_real_clock
    async def test_pipelined_requests_are_answered_in_order(self):
        async with serving(echo) as (address, _):
            request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
            last = b"GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            answer = await raw_exchange(address, request % 1 + request % 2 + last)
            order = [answer.index(b"/%d " % number) for number in (1, 2, 3)]
            self.assertEqual(order, sorted(order))


class TestResponsesWithoutLength(unittest.TestCase):
    """Responses to HTTP/1.0 callers that only the end of the connection delimits."""

    REQUEST = b"GET / HTTP/1.0\r\nHost: x\r\n\r\n"

    @staticmethod
    async def start(exchange):
        await exchange.start(200, [(b"transfer-encoding", b"chunked")])
        await exchange.send(b"a part")

    @on_real_clock
    async def test_response_that_breaks_off_is_reset(self):
        """Guards against a short body that looks complete to the caller (MIXED)."""

        async def fail(exchange):
            await self.start(exchange)
            await trio.sleep(0.05)
            raise trio.BrokenResourceError

        async with serving(fail) as (address, _):
            with self.assertRaises(trio.BrokenResourceError):
                await raw_exchange(address, self.REQUEST)

    @on_real_clock
    async def test_response_is_reset_when_the_server_is_cancelled(self):
        """Guards against the same at the end of the process."""

        async def hang(exchange):
            await self.start(exchange)
            await trio.sleep_forever()

        received = []

        async def ask(address):
            try:
                received.append(await raw_exchange(address, self.REQUEST))
            except trio.BrokenResourceError:
                received.append("reset")

        async with trio.open_nursery() as nursery:
            async with serving(hang) as (address, _):
                nursery.start_soon(ask, address)
                await trio.sleep(0.1)
        self.assertEqual(received, ["reset"])

    @on_real_clock
    async def test_complete_response_ends_with_the_connection(self):
        async def respond(exchange):
            await self.start(exchange)
            await exchange.finish()

        async with serving(respond) as (address, _):
            answer = await raw_exchange(address, self.REQUEST)
        self.assertTrue(answer.endswith(b"\r\n\r\na part"))


class TestClientConnection(unittest.TestCase):
    @on_real_clock
    async def test_idle_connection_closed_by_the_server_is_stale(self):
        """Guards against a booking that fails with "outcome unknown" but never ran.

        If the target closes an idle connection and the client sends the next
        request on it, the client can't know whether the target read the request.
        """
        async with serving(echo) as (address, stopping):
            connection = await ClientConnection.open(address, 2)
            await connection.request("GET", "/")
            self.assertFalse(connection.stale)
            stopping.set()
            self.assertEqual(await connection.stream.receive_some(10), b"")
            self.assertTrue(connection.stale)
            await connection.aclose()

    @on_real_clock
    async def test_unsolicited_bytes_make_it_stale(self):
        """Guards against a late response that reaches another caller."""

        async def respond_twice(stream):
            await stream.receive_some(1000)
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            await stream.send_all(response)
            await stream.send_all(response)
            await trio.sleep_forever()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, respond_twice, listeners)
            connection = await ClientConnection.open(f"127.0.0.1:{port}", 2)
            await connection.request("GET", "/")
            await trio.sleep(0.2)
            self.assertTrue(connection.stale)
            await connection.aclose()
            nursery.cancel_scope.cancel()


class TestAcceptErrors(unittest.TestCase):
    @on_real_clock
    async def test_process_without_descriptors_accepts_again_later(self):
        """Guards against a server that ends, or accepts nobody, after `EMFILE`."""

        async def respond(exchange):
            await exchange.reply(200, [], b"ok")

        async with serving(respond) as (address, _):
            with mock.patch.object(
                server.socket.socket, "accept", side_effect=OSError(24, "no descriptor")
            ):
                connection = await ClientConnection.open(address, 2)
                await trio.sleep(0.05)
            _, body = await connection.request("GET", "/")
            self.assertEqual(body, b"ok")
            connection.close()

    @on_real_clock
    async def test_stop_without_descriptors_ends(self):
        """Guards against a stop that fails because it can't accept the last callers."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        stopping = Stopping()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, echo, listeners, stopping)
            await trio.sleep(0.01)
            with mock.patch.object(
                server.socket.socket, "accept", side_effect=OSError(24, "no descriptor")
            ):
                stopping.set()
                await trio.sleep(0.05)


class TestSlowReaders(unittest.TestCase):
    @on_real_clock
    async def test_caller_that_does_not_read_is_cut_off(self):
        """Guards against responses that stay in memory for callers that stall."""
        ended = trio.Event()

        async def respond(exchange):
            try:
                await exchange.reply(200, [], b"x" * 30_000_000)
            finally:
                ended.set()

        async with serving(respond, ConnectionLimits(idle_timeout_s=0.2)) as parts:
            connection = await ClientConnection.open(parts[0], 2)
            await connection.send_head("GET", "/", [(b"host", b"a")])
            await connection.end_request()
            with trio.fail_after(5):
                await ended.wait()
            connection.close()
