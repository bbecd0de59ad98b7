"""Tests that a server that stops serves the connections in its accept queue."""

import socket
import unittest

import trio

from plantainshed_http.server import Stopping, serve_http
from tests.support import on_real_clock

COUNT = 8
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class TestStopWithBacklog(unittest.TestCase):
    @on_real_clock
    async def test_connections_in_the_accept_queue_get_responses(self):
        """Guards against reset connections after a burst just before a shutdown.

        The kernel has accepted the connections and received their requests. A
        server that accepts one connection per pass of the scheduler and then
        closes its socket resets the others.
        """

        async def handle(exchange):
            await exchange.reply(200, [], b"ok")

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = listeners[0].socket.getsockname()
        stopping = Stopping()
        results = []

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, handle, listeners, stopping)
            await trio.sleep(0.05)
            # Connect all callers in one pass of the scheduler, as happens when the
            # event loop was busy.
            callers = [socket.create_connection(address) for _ in range(COUNT)]
            for caller in callers:
                caller.sendall(REQUEST)
            stopping.set()

            def receive(caller):
                try:
                    return caller.recv(1000)[:12]
                except OSError as error:
                    return error

            for caller in callers:
                results.append(await trio.to_thread.run_sync(receive, caller))
                caller.close()
        self.assertEqual(results, [b"HTTP/1.1 200"] * COUNT)
