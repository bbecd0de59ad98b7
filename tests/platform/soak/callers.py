"""Callers as they behave: they cache look-ups and keep their connections."""

import contextlib
import itertools
import random

import orjson
import trio
from attrs import define, field

from plantainshed_http.client import ClientConnection, fetch
from plantainshed_http.errors import ConnectFailed, HttpError

from .waits import Waits
from .world import HOST, LARGE, SMALL, World

LOOKUP_S = 2.0
# Some keep an answered look-up for three times as long, and connections for few
# requests: a VM that stops hears of them for as long as it takes anything.
LONG_LOOKUP_S = 3 * LOOKUP_S
FEW_USES = 4
DEADLINE_MS = 2500
# What a caller waits for an answer, beside what its VM waits for a processor: longer
# than any route's timeout.
PATIENCE_S = 4.0
CONNECTION_USES = 40
_NUMBERS = itertools.count()


@define
class Seen:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 if the connection ended without a whole answer, -1 if no connection
        could be opened.
    is_kept : bool
        Whether its connection had served another request before.
    """

    request_id: str
    workspace: str
    key: str
    path: str
    body: bytes
    vm: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    answer: bytes = b""
    is_signed: bool = False
    is_kept: bool = False

    @property
    def is_booking(self) -> bool:
        """Whether it must not run twice."""
        return self.path.startswith("/book/")


@define
class Caller:
    """Sends one request after the other until told to end."""

    world: World
    vms: list
    seen: list[Seen]
    rng: random.Random
    workspace: str = LARGE
    domain: int = 0
    lookup_s: float = LOOKUP_S
    most_uses: int = CONNECTION_USES
    pause_s: float = 0.1
    known: list[str] = field(factory=list)
    known_until: float = 0.0
    connection: ClientConnection | None = None
    at: str = ""
    uses: int = 0

    async def run(self):
        """Send until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(1.0 / self.pause_s))
            await self.ask()

    async def ask(self):
        """Send one request and record what comes back."""
        if not await self._connect():
            return
        one = self._draw()
        self.seen.append(one)
        try:
            with self._waits().patience(PATIENCE_S):
                await self._exchange(one)
        except HttpError:
            one.status = 0
        one.ended_at = trio.current_time()
        if one.status == 0:
            await self._drop()

    def _draw(self) -> Seen:
        key = self.rng.choice(self.world.keys[self.workspace])
        prefixes = ["/read/", "/read/", "/book/", *sorted(self._extra())]
        path = f"{self.rng.choice(prefixes)}{self.rng.randrange(40)}"
        body = b"seat" if path.startswith("/book/") else b""
        name = f"{self.workspace}-{next(_NUMBERS)}"
        now = trio.current_time()
        kept = self.uses > 0
        return Seen(name, self.workspace, key, path, body, self.at, now, is_kept=kept)

    def _waits(self) -> Waits:
        found = [vm.waits for vm in self.vms if vm.callers == self.at]
        return found[0] if found else Waits()

    def _extra(self) -> set[str]:
        return {f"/{name}/" for name in self.world.extra}

    async def _exchange(self, one: Seen):
        method = "POST" if one.is_booking else "GET"
        headers = [
            (b"host", HOST.encode()),
            (b"request-id", one.request_id.encode()),
            (b"affinity-key", one.path.rpartition("/")[2].encode()),
            (b"deadline-ms", b"%d" % DEADLINE_MS),
            (b"authorization", b"Bearer " + one.key.encode()),
        ]
        if one.body:
            headers.append((b"content-length", b"%d" % len(one.body)))
        await self.connection.send_head(method, one.path, headers)
        if one.body:
            self.connection.buffer_body(one.body)
        await self.connection.end_request()
        head, answer = await self.connection.read_response()
        one.is_signed = head.header(b"server-seal") is not None
        one.answer, one.status = answer, head.status
        if not self.connection.reusable or self.uses >= self.most_uses:
            await self._drop()

    async def _connect(self) -> bool:
        self.uses += 1
        if self.connection is not None and not self.connection.stale:
            return True
        await self._drop()
        address = await self._address()
        if address is None:
            return False
        try:
            self.connection = await ClientConnection.open(address, 1.0)
        except ConnectFailed:
            self.known = [other for other in self.known if other != address]
            return False
        self.at, self.uses = address, 0
        return True

    async def _drop(self):
        if self.connection is not None:
            with trio.CancelScope(shield=True):
                await self.connection.aclose()
            self.connection = None

    async def _address(self) -> str | None:
        if not self.known or trio.current_time() > self.known_until:
            await self._look_up()
        return self.rng.choice(self.known) if self.known else None

    async def _look_up(self):
        vm = self.rng.choice(self.vms)
        place = f"region=region-{self.domain % 2}&zone=domain-{self.domain}"
        path = f"/plantainshed/resolve?name={HOST}&{place}"
        with contextlib.suppress(HttpError, ValueError, KeyError):
            head, body = await fetch(vm.lookup, "GET", path, timeout_s=1.0)
            if head.status == 200:
                self.known = orjson.loads(body)["addrs"]
                self.known_until = trio.current_time() + self.lookup_s


def make_callers(world: World, vms: list, seen: list[Seen], count: int):
    """Return callers in all domains, of both workspaces; the small one sends too much.

    Look-ups name VMs of the caller's own region: were all callers in one, the
    other's VMs would serve nobody, and nothing that happens there could be seen.
    """
    domains = world.settings.domains
    callers = []
    for number in range(count):
        workspace = SMALL if number % 6 == 5 else LARGE
        rng = random.Random(f"{world.settings.seed}/caller/{number}")
        caller = Caller(world, vms, seen, rng, workspace, number % domains)
        if number // domains % 3 == 0:
            caller.lookup_s, caller.most_uses = LONG_LOOKUP_S, FEW_USES
        callers.append(caller)
    return callers
