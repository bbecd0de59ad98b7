"""Tests of answers that never end."""

import contextlib
import subprocess
import sys
import tracemalloc
import unittest

import trio

from plantainshed_http.client import connected, fetch
from plantainshed_http.errors import ConnectionBroken
from tests.endless_server import (
    BEFORE_THE_BODY,
    IN_THE_BODY,
    running_endless,
)
from tests.support import on_real_clock

MAX_BODY_BYTES = 1_000_000


class TestHead(unittest.TestCase):
    @on_real_clock
    async def test_head_without_end_breaks_the_connection(self):
        """Guards against exchanges that last until the caller's deadline."""
        for name, (first, repeated) in BEFORE_THE_BODY.items():
            with self.subTest(name):
                async with (
                    running_endless(first, repeated) as server,
                    connected(server.address, 2) as client,
                ):
                    with trio.fail_after(2), self.assertRaises(ConnectionBroken):
                        await client.request("GET", "/")


class TestBody(unittest.TestCase):
    @on_real_clock
    async def test_body_without_end_does_not_fill_the_memory(self):
        """Guards against a health check that collects gigabytes in its time."""
        for name, (first, repeated) in IN_THE_BODY.items():
            with self.subTest(name):
                async with running_endless(first, repeated) as server:
                    tracemalloc.start()
                    with self.assertRaises(ConnectionBroken):
                        await fetch(
                            server.address,
                            "GET",
                            "/",
                            timeout_s=2.0,
                            max_bytes=MAX_BODY_BYTES,
                        )
                    _, peak = tracemalloc.get_traced_memory()
                    tracemalloc.stop()
                    self.assertLess(peak, 4 * MAX_BODY_BYTES)
                    with trio.fail_after(1):
                        while server.open_connections:
                            await trio.sleep(0.01)


class TestOtherTasks(unittest.TestCase):
    """A sender that is faster than its reader kept the process from all else."""

    @on_real_clock
    async def test_deadline_ends_an_answer_that_is_sent_without_pause(self):
        """Guards against a process that is stopped by one connection."""
        for name in ("chunks", "no length"):
            with (
                self.subTest(name),
                sending_from_a_process(*IN_THE_BODY[name]) as address,
            ):
                began_at = trio.current_time()
                with self.assertRaises(ConnectionBroken):
                    await fetch(address, "GET", "/", timeout_s=0.5, max_bytes=1 << 40)
                self.assertLess(trio.current_time() - began_at, 1.5)


# Sends its arguments to the first client until it closes, or for some seconds, so that
# a client that never closes is noticed.
SENDER = """
import socket, sys, time
first, repeated = sys.argv[1].encode(), sys.argv[2].encode() * 20000
with socket.create_server(("127.0.0.1", 0)) as listener:
    print(listener.getsockname()[1], flush=True)
    connection, _ = listener.accept()
ends_at = time.monotonic() + 4
with connection:
    connection.recv(65536)
    connection.sendall(first)
    while time.monotonic() < ends_at:
        connection.sendall(repeated)
"""


@contextlib.contextmanager
def sending_from_a_process(first: bytes, repeated: bytes):
    """Send an answer without end from a process of its own; yield its address."""
    command = [sys.executable, "-c", SENDER, first.decode(), repeated.decode()]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    ) as process:
        yield f"127.0.0.1:{int(process.stdout.readline())}"
