"""Callers as they behave: they ask which VM to use, cache that, and repeat."""

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
MAX_TRIES = 4
SEED = 7
REASON_HEADER = b"plantainshed-reason"
OUTCOME_HEADER = b"plantainshed-outcome"


@frozen
class KnownEntries:
    """A look-up's answer and how long it may be used."""

    entries: list[dict]
    until: float


@frozen
class Deed:
    """A request that a caller wants answered once.

    Parameters
    ----------
    method, path : str
    body : bytes
    is_booking : bool
        Whether it must not run twice.
    """

    method: str
    path: str
    body: bytes = b""
    is_booking: bool = False


@define
class Caller:
    """A tenant's program near one client address.

    Parameters
    ----------
    client : str
        Its address, as the look-up is told.
    key : str
    bootstrap : callable
        Returns addresses where look-ups are answered.
    tally : Tally
    rate : float
        Requests a second that it makes, below its workspace's rate: whatever
        is refused for its rate is refused wrongly.
    """

    client: str
    key: str
    bootstrap: object
    tally: Tally
    rate: float = 1.0
    known: dict[str, KnownEntries] = field(factory=dict)
    idle: dict[str, list[ClientConnection]] = field(factory=dict)
    chooser: random.Random = field(factory=lambda: random.Random(SEED))

    async def do(self, deed: Deed):
        """Have a deed answered; tries other VMs only as a caller safely may."""
        began_at = trio.current_time()
        self.tally.sent += 1
        nonce = secrets.token_hex(8)
        operation = ""
        for attempt in range(MAX_TRIES):
            entry = await self._entry(deed, attempt)
            if entry is None:
                await trio.sleep(0.1)
                continue
            operation = operation or entry["operation_prefix"] + nonce
            try:
                head = await self._send(entry["address"], deed, operation)
            except ConnectFailed:
                # Nothing was sent, so that another VM may remember it instead.
                operation = ""
                self.known.clear()
                continue
            except HttpError:
                # The answer is lost. A read or a named operation may be asked
                # for again; the operation's id keeps it from running twice.
                self.tally.cut += 1
                self.known.clear()
                continue
            if head.status < 300:
                seconds = trio.current_time() - began_at
                self.tally.note_answer(deed, operation, seconds)
                return
            if not self._may_go_on(head):
                return
            await trio.sleep(0.05)
        self.tally.lost += 1

    def _may_go_on(self, head: ResponseHead) -> bool:
        reason = head.header(REASON_HEADER) or f"http_{head.status}"
        self.tally.note_refusal(reason)
        return reason in ("no_room", "no_target", "not_ready", "operation_in_progress")

    async def _entry(self, deed: Deed, attempt: int) -> dict | None:
        pool = deed.path.split("/")[1]
        known = self.known.get(pool)
        if known is None or known.until < trio.current_time():
            known = await self._look_up(pool)
            if known is None:
                return None
            self.known[pool] = known
        return known.entries[attempt % len(known.entries)]

    async def _look_up(self, pool: str) -> KnownEntries | None:
        address = self.chooser.choice(self.bootstrap())
        path = f"/plantainshed/lookup?client={self.client}&pool={pool}"
        try:
            head, body = await fetch(address, "GET", path, timeout_s=2.0)
        except HttpError:
            return None
        if head.status != 200:
            return None
        answer = orjson.loads(body)
        until = trio.current_time() + answer["ttl_s"]
        return KnownEntries(answer["entries"], until)

    async def _send(self, address: str, deed: Deed, operation: str) -> ResponseHead:
        connection = await self._connection(address)
        headers = [(b"authorization", b"Bearer " + self.key.encode())]
        if deed.is_booking:
            headers.append((b"operation-id", operation.encode()))
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                head, _ = await connection.request(
                    deed.method, deed.path, headers, deed.body
                )
        except BaseException:
            await connection.aclose()
            raise
        if connection.reusable:
            self.idle.setdefault(address, []).append(connection)
        else:
            await connection.aclose()
        return head

    async def _connection(self, address: str) -> ClientConnection:
        waiting = self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
            if not connection.stale:
                return connection
            await connection.aclose()
        return await ClientConnection.open(address, CONNECT_TIMEOUT_S)
