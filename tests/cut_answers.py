"""Answers that a server cuts off, in each framing, and what callers get of them."""

import contextlib
import unittest

import h11
import trio
from attrs import define

from tests.http_support import reset_on_close

BODY = b"the target's bytes"
# Too long to be buffered by the gateway, so it is streamed.
LONG_BODY = b"0123456789abcdef" * 24_000
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
class Cut:
    """Where and how an answer is cut off.

    Parameters
    ----------
    framing : Framing
    resets : bool
        Whether the connection is reset rather than closed.
    at : int
        Number of bytes that are sent.
    """

    framing: Framing
    resets: bool
    at: int

    def sent_of(self, body: bytes) -> tuple[int, int]:
        """Return how many bytes of the framed body are sent, and how many it has.

        The first number is negative if the head is cut off.
        """
        sent = self.at - len(self.framing.head("r-00000", body))
        return sent, len(self.framing.frame(body))

    async def send(self, stream, request_id: str, body: bytes):
        """Send the first bytes of an answer, and prepare the end of the connection."""
        whole = self.framing.head(request_id, body) + self.framing.frame(body)
        await stream.send_all(whole[: self.at])
        if self.resets:
            # A reset at once would discard what was sent.
            await trio.sleep(0.01)
            reset_on_close(stream)


def cuts_at_each_byte(framing: Framing, resets: bool, body: bytes) -> list[Cut]:
    """Return the cuts of an answer after each byte."""
    whole = len(framing.head("r-00000", body) + framing.frame(body))
    return [Cut(framing, resets, at) for at in range(whole + 1)]


def cuts_of_long_answer(framing: Framing, resets: bool, body: bytes) -> list[Cut]:
    """Return cuts near the beginning, in the middle and near the end of the body."""
    head = len(framing.head("r-00000", body))
    whole = head + len(framing.frame(body))
    at = [head - 1, head, head + 1, (head + whole) // 2, *range(whole - 16, whole + 1)]
    return [Cut(framing, resets, n) for n in at]


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


async def ask_raw(address: str, start: str, headers: dict[str, str]) -> Received:
    """Send one request with a body and read all that follows.

    Parameters
    ----------
    address : str
    start : str
        The request line.
    headers : dict of str to str
    """
    host, _, port = address.rpartition(":")
    headers = {**headers, "Connection": "close", "Content-Length": "4"}
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    request = "\r\n".join(lines) + "\r\n\r\nseat"
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
    parser.send(h11.Request(method="POST", target="/", headers=[("host", "x")]))
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


def check_received(
    test: unittest.TestCase, got: Received, cut: Cut, body: bytes, context: str
):
    """Check what a caller got of an answer that was cut off."""
    sent, length = cut.sent_of(body)
    if sent == length and not (cut.resets and cut.framing.ends_with_connection):
        test.assertTrue(got == Received(200, body, True), context)
    elif got.is_complete and got.status < 500:
        # A target that closes the connection early shows nowhere that more was due.
        is_unframed = cut.framing.ends_with_connection and not cut.resets
        test.assertTrue(is_unframed, context)
        test.assertGreaterEqual(sent, 0, context)
        test.assertTrue(got.body == body[:sent], context)
