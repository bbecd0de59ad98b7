"""Callers of the demo: they look up entry VMs, cache the result and retry requests."""

import random
import secrets

import orjson
import trio
from attrs import define, field, frozen

from plantainshed_http.client import ClientConnection, fetch
from plantainshed_http.errors import ConnectFailed, HttpError
from plantainshed_http.messages import ResponseHead

from .outcomes import Tally

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 4
SEED = 7
REASON_HEADER = b"plantainshed-reason"
OUTCOME_HEADER = b"plantainshed-outcome"


@frozen
class CachedLookup:
    """The entry VMs that a lookup returned, and when that answer expires."""

    entries: list[dict]
    expires_at: float


@frozen
class CallerRequest:
    """A request of a caller, independent of the attempts to send it.

    Parameters
    ----------
    method, path : str
    body : bytes
    is_booking : bool
        Whether the request must run at most once. It is then sent with an
        operation id.
    """

    method: str
    path: str
    body: bytes = b""
    is_booking: bool = False


@define
class Caller:
    """A client program of one workspace.

    Parameters
    ----------
    client : str
        Client address, sent with lookups.
    key : str
        API key of the workspace.
    bootstrap : callable
        Returns the addresses of entry VMs that answer lookups.
    tally : Tally
        Counts the results.
    rate : float
        Requests per second. It is below the workspace's rate limit, so that every
        refusal because of the rate limit is a fault.
    """

    client: str
    key: str
    bootstrap: object
    tally: Tally
    rate: float = 1.0
    lookup_cache: dict[str, CachedLookup] = field(factory=dict)
    idle_connections: dict[str, list[ClientConnection]] = field(factory=dict)
    rng: random.Random = field(factory=lambda: random.Random(SEED))

    async def send(self, request: CallerRequest):
        """Send a request, with retries on other VMs where a retry is safe."""
        began_at = trio.current_time()
        self.tally.sent += 1
        nonce = secrets.token_hex(8)
        operation = ""
        for attempt in range(MAX_ATTEMPTS):
            entry = await self._choose_entry(request, attempt)
            if entry is None:
                await trio.sleep(0.1)
                continue
            operation = operation or entry["operation_prefix"] + nonce
            try:
                head = await self._send_request(entry["address"], request, operation)
            except ConnectFailed:
                # Nothing was sent, so the retry may use the operation prefix of
                # another VM, which then keeps the record of the operation.
                operation = ""
                self.lookup_cache.clear()
                continue
            except HttpError:
                # The answer is lost. Reads and requests with an operation id may be
                # retried; the operation id prevents them from running twice.
                self.tally.interrupted += 1
                self.lookup_cache.clear()
                continue
            if head.status < 300:
                seconds = trio.current_time() - began_at
                self.tally.record_answer(request, operation, seconds)
                return
            if not self._should_retry(head):
                return
            await trio.sleep(0.05)
        self.tally.lost += 1

    def _should_retry(self, head: ResponseHead) -> bool:
        """Count a refused attempt and return whether to retry the request."""
        reason = head.header(REASON_HEADER) or f"http_{head.status}"
        self.tally.record_refusal(reason)
        return reason in ("no_room", "no_target", "not_ready", "operation_in_progress")

    async def _choose_entry(self, request: CallerRequest, attempt: int) -> dict | None:
        pool = request.path.split("/")[1]
        cached = self.lookup_cache.get(pool)
        if cached is None or cached.expires_at < trio.current_time():
            cached = await self._look_up(pool)
            if cached is None:
                return None
            self.lookup_cache[pool] = cached
        return cached.entries[attempt % len(cached.entries)]

    async def _look_up(self, pool: str) -> CachedLookup | None:
        address = self.rng.choice(self.bootstrap())
        path = f"/plantainshed/lookup?client={self.client}&pool={pool}"
        try:
            head, body = await fetch(address, "GET", path, timeout_s=2.0)
        except HttpError:
            return None
        if head.status != 200:
            return None
        answer = orjson.loads(body)
        expires_at = trio.current_time() + answer["ttl_s"]
        return CachedLookup(answer["entries"], expires_at)

    async def _send_request(
        self, address: str, request: CallerRequest, operation: str
    ) -> ResponseHead:
        connection = await self._connection(address)
        headers = [(b"authorization", b"Bearer " + self.key.encode())]
        if request.is_booking:
            headers.append((b"operation-id", operation.encode()))
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                head, _ = await connection.request(
                    request.method, request.path, headers, request.body
                )
        except BaseException:
            await connection.aclose()
            raise
        if connection.reusable:
            self.idle_connections.setdefault(address, []).append(connection)
        else:
            await connection.aclose()
        return head

    async def _connection(self, address: str) -> ClientConnection:
        idle = self.idle_connections.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.stale:
                return connection
            await connection.aclose()
        return await ClientConnection.open(address, CONNECT_TIMEOUT_S)
