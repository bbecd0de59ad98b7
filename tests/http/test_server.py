"""The HTTP server, on real sockets."""

import unittest

import trio

from plantainshed_http.client import ClientConnection, connected
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
    async def test_answer_without_a_look_at_the_body_keeps_the_connection(self):
        """Each look-up costs a new connection.

        The handler answers a GET without reading its body, which is empty,
        and the server closed the connection because its end was not read.
        """

        async def at_once(exchange):
            await exchange.reply(200, [], b"ok")

        async with serving(at_once) as (address, _), connected(address, 2) as c:
            for _ in range(3):
                head, _ = await c.request("GET", "/")
                self.assertIsNone(head.header(b"connection"))

    @on_real_clock
    async def test_refuses_what_can_be_read_two_ways(self):
        """One caller's request is taken for the end of another's.

        A request names both a length and chunks; two servers on its way pick
        different ones, and the rest of its body is read as the next request.
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
    async def test_refuses_an_endless_head(self):
        async with serving(echo) as (address, _):
            head = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000
            answer = await raw_exchange(address, head)
            self.assertTrue(answer.startswith(b"HTTP/1.1 431"))

    @on_real_clock
    async def test_refuses_a_body_above_the_limit(self):
        async with serving(echo) as (address, _):
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"
            answer = await raw_exchange(address, head + b"x" * 2000)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"))

    @on_real_clock
    async def test_idle_connection_is_closed_on_a_planned_stop(self):
        async with serving(echo) as (address, stopping):
            connection = await ClientConnection.open(address, 2)
            await connection.request("GET", "/")
            stopping.set()
            self.assertEqual(await connection.stream.receive_some(10), b"")
            await connection.aclose()

    @on_real_clock
    async def test_stop_just_after_an_answer_does_not_cut_the_next_request(self):
        """Now and then a request is cut when a VM is replaced.

        An answer leaves without "close", the stop begins, and the connection
        is closed while the caller's next request is on its way.
        """
        stopping_now = []

        async def stop_afterwards(exchange):
            await exchange.reply(200, [], b"ok")
            stopping_now[0].set()

        async with serving(stop_afterwards) as (address, stopping):
            stopping_now.append(stopping)
            async with connected(address, 2) as connection:
                first, _ = await connection.request("GET", "/")
                self.assertIsNone(first.header(b"connection"))
                last, _ = await connection.request("GET", "/")
                self.assertEqual(last.header(b"connection"), "close")

    @on_real_clock
    async def test_exchange_under_way_ends_on_a_planned_stop(self):
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
    async def test_work_stops_when_the_caller_leaves(self):
        stopped = trio.Event()

        async def endless(exchange):
            await exchange.read_body(10)
            try:
                async with exchange.cancel_on_caller_disconnect():
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


class TestClientConnection(unittest.TestCase):
    @on_real_clock
    async def test_sees_that_an_idle_connection_was_closed(self):
        """A booking fails with "outcome unknown" although nothing ran.

        The target closes an idle connection; the next request is written to
        it, and nobody can tell whether it was read.
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
    async def test_bytes_nobody_asked_for_make_it_stale(self):
        """A caller gets the late answer to another caller's request."""

        async def late(stream):
            await stream.receive_some(1000)
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            await stream.send_all(answer)
            await stream.send_all(answer)
            await trio.sleep_forever()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, late, listeners)
            connection = await ClientConnection.open(f"127.0.0.1:{port}", 2)
            await connection.request("GET", "/")
            await trio.sleep(0.2)
            self.assertTrue(connection.stale)
            await connection.aclose()
            nursery.cancel_scope.cancel()
