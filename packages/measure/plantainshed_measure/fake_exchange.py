"""An exchange in memory, in place of a caller's connection."""

import contextlib

import trio

from plantainshed_http.messages import RequestHead, ResponseHead


class FakeExchange:
    """What `Serving` needs of an exchange.

    Attributes
    ----------
    response : ResponseHead or None
        What the caller was sent.
    """

    def __init__(self, request: RequestHead, caller: str):
        self.request = request
        self.caller = caller
        self.started = False
        self.response: ResponseHead | None = None
        self.answer = b""

    async def body(self):
        """Yield the request's body: there is none."""
        return
        yield

    async def read_body(self, limit: int) -> bytes:
        """Return the request's body."""
        return b""

    async def reply(self, status, headers, body=b""):
        """Take a whole answer."""
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def start(self, status, headers):
        """Take the head of an answer."""
        await trio.lowlevel.checkpoint()
        self.started = True
        self.response = ResponseHead(status, list(headers))

    async def send(self, chunk):
        """Take a piece of an answer."""
        self.answer += chunk

    async def flush(self):
        """Nothing is held back here."""

    async def finish(self):
        """Take the end of an answer."""

    @contextlib.asynccontextmanager
    async def cancel_on_caller_disconnect(self):
        """Run a block; this caller stays."""
        yield
