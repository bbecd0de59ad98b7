"""Recording of answers, to be replayed when a caller repeats an operation."""

import orjson
from attrs import frozen

from plantainshed_coordination.operations import MAX_ANSWER_BYTES
from plantainshed_http.server import Exchange


@frozen
class RecordedAnswer:
    """An answer that is replayed when its operation is repeated."""

    status: int
    headers: list
    body: bytes

    def to_bytes(self) -> bytes:
        """Encode the answer."""
        headers = [[n.decode("latin-1"), v.decode("latin-1")] for n, v in self.headers]
        return orjson.dumps([self.status, headers]) + b"\n" + self.body

    @classmethod
    def from_bytes(cls, data: bytes) -> "RecordedAnswer":
        """Decode an answer encoded by `to_bytes`."""
        head, _, body = data.partition(b"\n")
        status, headers = orjson.loads(head)
        pairs = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        return cls(status, pairs, body)


class AnswerRecorder:
    """Forwards an answer to the caller and keeps a copy if it is small."""

    def __init__(self, exchange: Exchange):
        self.exchange = exchange
        self.request = exchange.request
        self.caller = exchange.caller
        self.status = 0
        self.headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.is_complete = False

    @property
    def started(self) -> bool:
        """Whether any part of the answer has been sent to the caller."""
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
        """Send a chunk of the answer."""
        self.size += len(chunk)
        if self.size <= MAX_ANSWER_BYTES:
            self.chunks.append(chunk)
        await self.exchange.send(chunk)

    async def flush(self):
        """Send all buffered data."""
        await self.exchange.flush()

    async def finish(self):
        """End the answer."""
        # The answer is complete even if the caller disconnects before all of it has
        # been sent.
        self.is_complete = True
        await self.exchange.finish()

    def to_bytes(self) -> bytes | None:
        """Encode the answer for the operation registry; None if it is too large."""
        if self.size > MAX_ANSWER_BYTES:
            return None
        body = b"".join(self.chunks)
        return RecordedAnswer(self.status, self.headers, body).to_bytes()
