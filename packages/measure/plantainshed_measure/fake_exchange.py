"""An in-memory exchange that replaces a caller's connection in tests and replays."""

import contextlib

import trio

from plantainshed_http.messages import RequestHead, ResponseHead


class FakeExchange:
    """Implements what `Serving` uses of an exchange.

    Attributes
    ----------
    response : ResponseHead or None
        Head of the response that was sent to the caller.
    response_body : bytes
    """

    def __init__(self, request: RequestHead, caller: str):
        self.request = request
        self.caller = caller
        self.started = False
        self.response: ResponseHead | None = None
        self.response_body = b""

    async def body(self):
        """Yield the chunks of the request body, which is empty."""
        return
        yield

    async def read_body(self, limit: int) -> bytes:
        """Return the request body, which is empty."""
        return b""

    async def reply(self, status, headers, body=b""):
        """Record a whole response."""
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def start(self, status, headers):
        """Record the head of a response."""
        await trio.lowlevel.checkpoint()
        self.started = True
        self.response = ResponseHead(status, list(headers))

    async def send(self, chunk):
        """Record a chunk of the response body."""
        self.response_body += chunk

    async def flush(self):
        """Do nothing; no data is buffered."""

    async def finish(self):
        """Do nothing at the end of a response."""

    @contextlib.contextmanager
    def cancel_on_caller_disconnect(self):
        """Run a block; this caller never disconnects."""
        yield
