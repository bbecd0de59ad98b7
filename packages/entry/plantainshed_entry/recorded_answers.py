"""Answers kept for callers who repeat an operation."""

import orjson
from attrs import frozen

from plantainshed_coordination.operations import MAX_ANSWER_BYTES
from plantainshed_http.server import Exchange


@frozen
class RecordedAnswer:
    """An answer kept for repeats of an operation."""

    status: int
    headers: list
    body: bytes

    def to_bytes(self) -> bytes:
        """Return the answer as bytes."""
        headers = [[n.decode("latin-1"), v.decode("latin-1")] for n, v in self.headers]
        return orjson.dumps([self.status, headers]) + b"\n" + self.body

    @classmethod
    def from_bytes(cls, data: bytes) -> "RecordedAnswer":
        """Read an answer that `to_bytes` wrote."""
        head, _, body = data.partition(b"\n")
        status, headers = orjson.loads(head)
        pairs = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        return cls(status, pairs, body)


class AnswerRecorder:
    """Passes an answer on to the caller and keeps a copy, if it is small."""

    def __init__(self, exchange: Exchange):
        self.exchange = exchange
        self.request = exchange.request
        self.caller = exchange.caller
        self.status = 0
        self.headers = []
        self.parts: list[bytes] = []
        self.size = 0
        self.is_complete = False

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self.exchange.started

    def body(self):
        """Return the request's body as it arrives."""
        return self.exchange.body()

    async def start(self, status: int, headers):
        """Send the head of an answer."""
        self.status = status
        framing = (b"content-length", b"transfer-encoding")
        self.headers = [pair for pair in headers if pair[0] not in framing]
        await self.exchange.start(status, headers)

    async def send(self, chunk: bytes):
        """Send a piece of the answer."""
        self.size += len(chunk)
        if self.size <= MAX_ANSWER_BYTES:
            self.parts.append(chunk)
        await self.exchange.send(chunk)

    async def flush(self):
        """Send what has not left yet."""
        await self.exchange.flush()

    async def finish(self):
        """End the answer."""
        # The whole answer is known from here on, also if its caller leaves
        # before the last of it has been sent.
        self.is_complete = True
        await self.exchange.finish()

    def to_bytes(self) -> bytes | None:
        """Return the answer for the book of operations; None if too large."""
        if self.size > MAX_ANSWER_BYTES:
            return None
        body = b"".join(self.parts)
        return RecordedAnswer(self.status, self.headers, body).to_bytes()
