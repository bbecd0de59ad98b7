"""A simple target for tests and demos.

It counts the requests that it executes, and shuts down gracefully.
"""

import json
from collections import Counter

import trio

from plantainshed_http.server import Exchange, Stopping, serve_http

KEY_HEADERS = (b"authorization", b"plantainshed-key")


class TargetServer:
    """An HTTP target with a fixed service time and a concurrency limit.

    Parameters
    ----------
    name : str
    slots : int
        Maximum number of concurrent requests. Further requests are rejected with
        503 and a header that says they were not run.
    service_time_s : float
        Time that each request takes.

    Attributes
    ----------
    runs : collections.Counter
        Number of executions of each ``Operation-Id``, or path if there is none.
    keys_seen : int
        Number of requests that contained a caller's key; must stay 0.
    running, most_running : int
        Current and highest number of concurrent requests.
    shed : int
        Number of requests rejected because all slots were in use.
    healthy : bool
        Whether health checks succeed.
    """

    def __init__(self, name: str, slots: int, service_time_s: float = 0.02):
        self.name = name
        self.slots = slots
        self.service_time_s = service_time_s
        self.runs = Counter()
        self.keys_seen = 0
        self.running = 0
        self.most_running = 0
        self.shed = 0
        self.healthy = True

    async def serve(self, listeners, stopping: Stopping):
        """Serve until `stopping` is set and all exchanges have ended."""
        await serve_http(self.handle, listeners, stopping)

    async def handle(self, exchange: Exchange):
        """Respond to a health check, or execute a request."""
        if exchange.request.target == "/healthz":
            await self._report_health(exchange)
            return
        if any(exchange.request.header(name) for name in KEY_HEADERS):
            self.keys_seen += 1
        if self.running >= self.slots:
            self.shed += 1
            await exchange.reply(503, [(b"plantainshed-not-run", b"shed")])
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self._run(exchange)
        finally:
            self.running -= 1

    async def _run(self, exchange):
        body = await exchange.read_body(1 << 20)
        name = exchange.request.header(b"operation-id") or exchange.request.target
        self.runs[name] += 1
        await trio.sleep(self.service_time_s)
        answer = {
            "target": self.name,
            "path": exchange.request.target,
            "bytes": len(body),
        }
        await exchange.reply(
            200,
            [(b"content-type", b"application/json"), self._load_header()],
            json.dumps(answer).encode(),
        )

    async def _report_health(self, exchange):
        await exchange.reply(200 if self.healthy else 503, [self._load_header()])

    def _load_header(self):
        return (b"plantainshed-load", str(self.running).encode())
