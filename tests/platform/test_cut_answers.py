"""Tests of answers that a target cuts off, at each byte and in each framing."""

import contextlib
import socket
import struct
import unittest
from unittest import mock

import h11
import trio
from attrs import define, field

from tests.platform.fleet_support import Fleet, running_fleet
from tests.platform.platform_support import HOST, KEY, configuration
from tests.platform.target_standin import TargetStandin
from tests.platform.test_cut_from_targets import cut_off
from tests.support import on_real_clock

BODY = b"the target's bytes"
# Too long to be buffered, so it is streamed.
LONG_BODY = b"0123456789abcdef" * 24_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Number of requests at a time.
CONCURRENT = 16
CALLER_VERSIONS = ("1.1", "1.0")
SIGNED = b"Request-Id: %s\r\nServer-Seal: s\r\nConnection: close\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@define
class Framing:
    """How a target frames its answer.

    Parameters
    ----------
    version : bytes
    header : bytes
        What tells the length of the body; empty if the connection's end does.
    before : bytes
        Interim responses before the answer.
    chunks : int
        Number of chunks of a chunked body, or one more; 0 for another body.
    trailer : bytes
        What follows the last chunk's size.
    """

    version: bytes
    header: bytes = b""
    before: bytes = b""
    chunks: int = 0
    trailer: bytes = b""

    def head(self, request_id: str, body: bytes) -> bytes:
        """Return the head of the answer, with interim responses before it."""
        header = self.header % len(body) if b"%d" in self.header else self.header
        status = b"HTTP/%s 200 OK\r\n" % self.version
        signed = SIGNED % request_id.encode()
        return self.before + status + signed + header + b"\r\n"

    def frame(self, body: bytes) -> bytes:
        """Return the body as it is sent."""
        if not self.chunks:
            return body
        size = len(body) // self.chunks
        parts = [body[start : start + size] for start in range(0, len(body), size)]
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        return b"".join(chunks) + b"0\r\n" + self.trailer + b"\r\n"

    @property
    def ends_with_connection(self) -> bool:
        """Whether only a reset shows that the body is not complete."""
        return not self.header


LENGTH = b"Content-Length: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
FRAMINGS = {
    "length": Framing(b"1.1", LENGTH),
    "chunked": Framing(b"1.1", CHUNKED, chunks=3),
    "chunked with trailer": Framing(b"1.1", CHUNKED, b"", 3, b"Digest: x\r\n"),
    "end of connection": Framing(b"1.1"),
    "length after interim response": Framing(b"1.1", LENGTH, EARLY_HINTS),
    "length, HTTP/1.0": Framing(b"1.0", LENGTH),
    "end of connection, HTTP/1.0": Framing(b"1.0"),
}


@define
class CuttingTarget(TargetStandin):
    """Sends the first bytes of an answer, and then closes or resets the connection."""

    framing: Framing = FRAMINGS["length"]
    body: bytes = BODY
    sends_bytes: dict[str, int] = field(factory=dict)
    resets: bool = False

    async def _answer(self, stream, connection, headers, is_last: bool) -> bool:
        request_id = headers["request-id"]
        whole = self.framing.head(request_id, self.body)
        whole += self.framing.frame(self.body)
        await stream.send_all(whole[: self.sends_bytes.pop(request_id, None)])
        if self.resets:
            # A reset at once would discard what was sent.
            await trio.sleep(0.01)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False


@define
class Received:
    """What a caller got.

    Parameters
    ----------
    status : int
        0 if the head of the answer is not complete.
    body : bytes
    is_complete : bool
        Whether the answer looks complete to the caller.
    """

    status: int
    body: bytes
    is_complete: bool


async def ask_raw(address: str, request_id: str, version: str) -> Received:
    """Send one request and read all that follows."""
    host, _, port = address.rpartition(":")
    request = (
        f"POST /book/1 HTTP/{version}\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\nseat"
    )
    data, was_reset = bytearray(), False
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(request.encode())
        try:
            async for part in stream:
                data += part
        except trio.BrokenResourceError:
            was_reset = True
    return _parse(bytes(data), was_reset)


def _parse(data: bytes, was_reset: bool) -> Received:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("host", HOST)]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    status, body = 0, bytearray()
    has_end = False
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA and not has_end and not was_reset:
                has_end = True
                parser.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                return Received(
                    status, bytes(body), isinstance(event, h11.EndOfMessage)
                )
    return Received(status, bytes(body), False)


def each_byte(head: int, whole: int):
    """Cut at each byte, for callers of both versions."""
    return [cut for cut in range(whole + 1) for _ in CALLER_VERSIONS]


def some_bytes(head: int, whole: int):
    """Cut a long answer near its ends and midway, for callers of both versions."""
    cuts = [head - 1, head, head + 1, (head + whole) // 2]
    cuts += range(whole - 16, whole + 1)
    return [cut for cut in cuts for _ in CALLER_VERSIONS]


async def check(test: unittest.TestCase, fleet: Fleet, cuts):
    """Cut the answer of the only target after each of some numbers of bytes."""
    (target,) = fleet.targets
    head = len(target.framing.head("r-00000", target.body))
    whole = head + len(target.framing.frame(target.body))
    limiter = trio.CapacityLimiter(CONCURRENT)

    async def check_cut(number: int, cut: int):
        request_id, version = f"r-{number:05}", CALLER_VERSIONS[number % 2]
        target.sends_bytes[request_id] = cut
        async with limiter:
            with trio.fail_after(5):
                got = await ask_raw(fleet.vms[0].address, request_id, version)
        context = f"{cut} of {whole} bytes (head {head}), HTTP/{version}: {got.status}"
        test.assertNotIn(request_id, target.sends_bytes, context)
        check_one(test, got, target, cut - head, whole - head, context)

    async with trio.open_nursery(strict_exception_groups=False) as nursery:
        for number, cut in enumerate(cuts(head, whole)):
            nursery.start_soon(check_cut, number, cut)


def check_one(test, got: Received, target, sent: int, length: int, context: str):
    """Check what a caller got of an answer of which part of the body was sent.

    Parameters
    ----------
    sent, length : int
        Bytes of the framed body that were sent, and that it has. `sent` is negative if
        the head was cut off.
    """
    is_closed = not target.resets
    if sent == length and (is_closed or not target.framing.ends_with_connection):
        expected = Received(200, target.body, True)
        test.assertTrue(got == expected, context)
    elif got.is_complete and got.status < 500:
        # A target that closes the connection early shows nowhere that more was due.
        test.assertTrue(target.framing.ends_with_connection and is_closed, context)
        test.assertGreaterEqual(sent, 0, context)
        test.assertTrue(got.body == target.body[:sent], context)


# Failures of other requests must not keep a request from the target.
@mock.patch("plantainshed_gateway.selection.registry.FAILURES_TO_EJECT", 1 << 30)
@mock.patch("plantainshed_gateway.relay_choice.AVOID_S", 0.0)
class TestCutAnswers(unittest.TestCase):
    """Guards against cut answers that look complete to callers (MIXED)."""

    async def check_all(self, vm_count: int, cuts, body: bytes, is_relayed=False):
        target = CuttingTarget("i-cut", slots=50)
        workspace = {"name": "comune", "apiKeys": [KEY], "ratePerS": 100_000}
        document = configuration(tenants=[workspace])
        async with running_fleet(vm_count, [target], document) as fleet:
            if is_relayed:
                await cut_off(fleet, fleet.vms[0])
            target.body = body
            for name, framing in FRAMINGS.items():
                for resets in (False, True):
                    target.framing, target.resets = framing, resets
                    with self.subTest(name, resets=resets):
                        await check(self, fleet, cuts)

    @on_real_clock
    async def test_short_answer_cut_at_each_byte(self):
        await self.check_all(1, each_byte, BODY)

    @on_real_clock
    async def test_long_answer(self):
        await self.check_all(1, some_bytes, LONG_BODY)

    @on_real_clock
    async def test_short_answer_through_another_vm_cut_at_each_byte(self):
        await self.check_all(2, each_byte, BODY, is_relayed=True)

    @on_real_clock
    async def test_long_answer_through_another_vm(self):
        await self.check_all(2, some_bytes, LONG_BODY, is_relayed=True)
