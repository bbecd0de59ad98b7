"""HTTP handlers of the daemon's own paths, such as look-ups and metrics."""

from urllib.parse import parse_qs, urlsplit

import orjson

from plantainshed_http.errors import BadMessage, CallerDisconnected
from plantainshed_http.server import SOCKET_ERRORS, Exchange

from .errors import Refusal
from .node import Node
from .reasons import STATUS, Outcome
from .serving import OUTCOME_HEADER

LOOKUP_PATH = "/plantainshed/lookup"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
JSON_TYPE = (b"content-type", b"application/json")
TEXT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
# The HTTP server handles these errors itself: it answers with an error status or
# closes the connection.
CONNECTION_ERRORS = (BadMessage, CallerDisconnected, *SOCKET_ERRORS)


class Handlers:
    """Handles the daemon's own paths and passes all others to the node."""

    def __init__(self, node: Node):
        self.node = node
        self.daemon_paths = {
            LOOKUP_PATH: self._lookup,
            HEALTH_PATH: self._health,
            READY_PATH: self._ready,
            METRICS_PATH: self._metrics,
        }

    async def handle(self, exchange: Exchange):
        """Answer one exchange; an internal error affects only this exchange."""
        try:
            await self._answer(exchange)
        except CONNECTION_ERRORS:
            raise
        except Exception:
            # An internal error must not end the process, which would cut off all
            # other requests.
            self.node.log.exception(
                "internal error", extra={"path": exchange.request.target}
            )
            if exchange.started:
                raise CallerDisconnected("the response cannot be completed") from None
            # A target may have run the request before the error occurred.
            outcome = (OUTCOME_HEADER, Outcome.UNKNOWN.encode())
            await exchange.reply(502, [outcome], b"internal error\n")

    async def _answer(self, exchange: Exchange):
        path = exchange.request.target.partition("?")[0]
        handler = self.daemon_paths.get(path)
        if handler is None:
            await self.node.serving.serve(exchange)
        else:
            await handler(exchange)

    async def _lookup(self, exchange: Exchange):
        query = parse_qs(urlsplit(exchange.request.target).query)
        client = query.get("client", [exchange.caller])[0]
        pool = query.get("pool", [""])[0]
        self.node.context.metrics.lookups.inc({"pool": pool})
        try:
            answer = self.node.lookup.answer(_strip_prefix_length(client), pool)
        except Refusal as refusal:
            body = {"reason": refusal.reason, "message": refusal.message}
            await exchange.reply(
                STATUS[refusal.reason], [JSON_TYPE], orjson.dumps(body)
            )
            return
        age = f"max-age={answer.ttl_s}".encode()
        await exchange.reply(
            200, [JSON_TYPE, (b"cache-control", age)], answer.to_bytes()
        )

    async def _health(self, exchange: Exchange):
        await exchange.reply(200, [JSON_TYPE], b'{"status":"running"}')

    async def _ready(self, exchange: Exchange):
        ready = self.node.is_ready
        body = {"ready": ready, "document_version": self.node.version}
        await exchange.reply(200 if ready else 503, [JSON_TYPE], orjson.dumps(body))

    async def _metrics(self, exchange: Exchange):
        self._set_gauges()
        await exchange.reply(200, [TEXT_TYPE], self.node.context.metrics.text())

    def _set_gauges(self):
        node = self.node
        gauges = {
            "document_version": node.version,
            "in_flight": node.serving.in_flight,
            "usable_vms": len(node.membership.usable_vms()),
            "withdrawn_keys": len(node.rumors.names("key-withdrawn")),
            "loan_rounds": node.lending.rounds,
            "probes": node.probing.probes,
        }
        for name, value in gauges.items():
            node.context.metrics.gauges.set({"what": name}, value)


def _strip_prefix_length(client: str) -> str:
    """Return the address part of a client given as an address or a CIDR block."""
    return client.partition("/")[0]
