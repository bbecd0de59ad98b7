"""Tests of the memory for bodies, and of callers and targets that read slowly."""

import contextlib
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from plantainshed_gateway import connections
from plantainshed_gateway.errors import SettingsError
from plantainshed_gateway.memory_budget import SLOW_AFTER_S, MemoryBudget
from plantainshed_gateway.read_ahead import MAX_FRACTION, reading_ahead
from plantainshed_gateway.reasons import Reason
from plantainshed_gateway.request_bodies import NO_MEMORY_RETRY_AFTER_S
from plantainshed_gateway.settings import DEFAULT_MEMORY_MB, load_settings
from plantainshed_http.errors import ConnectionBroken
from tests.platform.daemon_support import filled_template
from tests.platform.platform_support import HOST, KEY, configuration, running_system
from tests.platform.target_standin import TargetStandin
from tests.support import on_mock_clock, on_real_clock

KB = 1024
LARGE = bytes(range(256)) * 12 * KB


@contextlib.asynccontextmanager
async def beginning_upload(system, length: int, sent: bytes, deadline_ms=2500):
    """Begin an upload that does not end; yield its connection."""
    head = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: u{deadline_ms}\r\n"
    head += f"Authorization: Bearer {KEY}\r\nDeadline-Ms: {deadline_ms}\r\n"
    async with await system.connect() as stream:
        head += f"Content-Length: {length}\r\n\r\n"
        await stream.send_all(head.encode() + sent)
        await system.until(lambda: system.gateway.request_memory.reserved >= length)
        yield stream


class TestRequestBodies(unittest.TestCase):
    @on_real_clock
    async def test_body_that_does_not_fit_is_refused_before_it_is_read(self):
        """Guards against a VM that uploads push over its memory limit.

        The caller sends its whole body before it reads the response, so closing the
        connection at once would lose the refusal.
        """
        first = configuration(limits={"maxBodyBytes": 1 << 24})
        async with running_system(2, first) as system:
            memory = system.gateway.request_memory
            memory.limit = 900 * KB
            for length in (500, 16_000):
                async with beginning_upload(system, 500 * KB, b"x" * 400 * KB):
                    status, headers, _ = await system.ask(
                        "/book/2", "POST", body=bytes(length * KB)
                    )
                self.assertEqual(status, 503)
                retry_after_s = float(headers["retry-after"])
                self.assertEqual(retry_after_s, NO_MEMORY_RETRY_AFTER_S)
            await system.until(lambda: memory.reserved == 0)
            self.assertEqual([run for t in system.targets for run in t.runs], [])
            status, _, _ = await system.ask("/book/2", "POST", body=bytes(500 * KB))
            self.assertEqual((status, memory.reserved), (200, 0))
            await system.until(lambda: len(system.lines("refused")) == 2)
            reasons = {line["reason"] for line in system.lines("refused")}
            self.assertEqual(reasons, {Reason.NO_MEMORY})

    @on_real_clock
    async def test_slow_sender_makes_room_and_is_cut_off(self):
        """Guards against senders that keep others from being served."""
        async with running_system() as system:
            system.gateway.request_memory.limit = 600 * KB
            async with beginning_upload(system, 500 * KB, b"x", 1600) as stream:
                await trio.sleep(SLOW_AFTER_S + 0.1)
                status, _, _ = await system.ask("/book/2", "POST", body=LARGE[:500_000])
                self.assertEqual(status, 200)
                self.assertIn(b" 408 ", await stream.receive_some(KB))

    @on_real_clock
    async def test_target_that_does_not_read_is_cut_off(self):
        """Guards against bodies in memory for a target that is stuck."""
        first = configuration(limits={"maxBodyBytes": len(LARGE) * 10})

        async def read_nothing(target, stream):
            await trio.sleep_forever()

        with (
            mock.patch.object(connections, "WRITE_TIMEOUT_S", 0.3),
            mock.patch.object(TargetStandin, "serve_connection", read_nothing),
        ):
            async with running_system(1, first) as system:
                status, _, _ = await system.ask("/book/1", "POST", body=LARGE * 10)
                self.assertEqual(status, 502)
                await system.until(lambda: not system.gateway.request_memory.reserved)


class TestAnswers(unittest.TestCase):
    @on_real_clock
    async def test_answers_beyond_the_memory_arrive_complete(self):
        """Guards against answers that are refused or cut though the request has run."""
        async with running_system(body=LARGE) as system:
            memory = system.gateway.answer_memory
            for limit in (0, 300 * KB, 100_000 * KB):
                with self.subTest(limit):
                    memory.limit = limit
                    status, _, body = await system.ask()
                    self.assertEqual((status, body == LARGE), (200, True))
                    await system.until(lambda: not memory.reserved)

    @on_mock_clock
    async def test_answer_is_read_ahead_of_a_slow_caller_within_its_part(self):
        """Guards against targets that close connections of which nothing is read."""
        read = 0

        async def chunks():
            nonlocal read
            for number in range(30):
                read += 1
                yield b"%d" % (number % 10)
            raise ConnectionBroken("ended early")

        budget = MemoryBudget(limit=80)
        taken = b""
        with budget.reservation() as memory, self.assertRaises(ConnectionBroken):
            async with reading_ahead(chunks(), memory) as ahead:
                async for chunk in ahead:
                    taken += chunk
                    await trio.sleep(1)
                    self.assertLessEqual(budget.reserved, MAX_FRACTION * 80 + 1)
                    self.assertGreaterEqual(read, min(30, len(taken) + 9))
        self.assertEqual(taken, b"0123456789" * 3)
        self.assertEqual(budget.reserved, 0)


class TestSettings(unittest.TestCase):
    def test_memory_limit_is_optional(self):
        """Guards against VMs that do not start with an older settings file."""
        text = filled_template("127.0.0.1:9", list(range(5000, 5006)))
        limits = {"512": 512.0, "": DEFAULT_MEMORY_MB, "0": None, "much": None}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            for value, memory_mb in limits.items():
                option = f"memory_mb = {value}"
                path.write_text(text.replace("memory_mb = 512", option))
                with self.subTest(value):
                    if memory_mb is None:
                        self.assertRaises(SettingsError, load_settings, str(path))
                    else:
                        settings = load_settings(str(path))
                        self.assertEqual(settings.memory_mb, memory_mb)
