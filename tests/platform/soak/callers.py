"""Callers as they behave: they cache look-ups and keep their connections."""

import contextlib
import itertools
import random

import orjson
import trio
from attrs import define, field

from plantainshed_http.client import ClientConnection, fetch
from plantainshed_http.errors import ConnectFailed, HttpError

from .waits import CpuWaits
from .world import HOST, LARGE_WORKSPACE, SMALL_WORKSPACE, World

LOOKUP_TTL_S = 2.0
# Some keep an answered look-up for three times as long, and connections for few
# requests: a VM that stops hears of them for as long as it takes anything.
LONG_LOOKUP_TTL_S = 3 * LOOKUP_TTL_S
FEW_CONNECTION_USES = 4
DEADLINE_MS = 2500
# What a caller waits for an answer, beside what its VM waits for a processor: longer
# than any route's timeout.
RESPONSE_TIMEOUT_S = 4.0
MAX_CONNECTION_USES = 40
_REQUEST_NUMBERS = itertools.count()


@define
class SentRequest:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 if the connection ended without a whole answer, -1 if no connection
        could be opened.
    on_reused_connection : bool
        Whether its connection had served another request before.
    """

    request_id: str
    workspace: str
    key: str
    path: str
    body: bytes
    vm_address: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    response_body: bytes = b""
    is_signed: bool = False
    on_reused_connection: bool = False

    @property
    def is_booking(self) -> bool:
        """Whether it must not run twice."""
        return self.path.startswith("/book/")


@define
class Caller:
    """Sends one request after the other until told to end."""

    world: World
    vms: list
    requests: list[SentRequest]
    rng: random.Random
    workspace: str = LARGE_WORKSPACE
    domain: int = 0
    lookup_ttl_s: float = LOOKUP_TTL_S
    max_connection_uses: int = MAX_CONNECTION_USES
    mean_pause_s: float = 0.1
    addresses: list[str] = field(factory=list)
    addresses_expire_at: float = 0.0
    connection: ClientConnection | None = None
    connected_to: str = ""
    uses: int = 0

    async def run(self):
        """Send until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(1.0 / self.mean_pause_s))
            await self.send_request()

    async def send_request(self):
        """Send one request and record what comes back."""
        if not await self._connect():
            return
        request = self._draw_request()
        self.requests.append(request)
        try:
            with self._connected_vm_waits().timeout(RESPONSE_TIMEOUT_S):
                await self._exchange(request)
        except HttpError:
            request.status = 0
        request.ended_at = trio.current_time()
        if request.status == 0:
            await self._close_connection()

    def _draw_request(self) -> SentRequest:
        key = self.rng.choice(self.world.keys[self.workspace])
        prefixes = ["/read/", "/read/", "/book/", *sorted(self._extra_prefixes())]
        path = f"{self.rng.choice(prefixes)}{self.rng.randrange(40)}"
        body = b"seat" if path.startswith("/book/") else b""
        name = f"{self.workspace}-{next(_REQUEST_NUMBERS)}"
        now = trio.current_time()
        is_reused = self.uses > 0
        return SentRequest(
            name,
            self.workspace,
            key,
            path,
            body,
            self.connected_to,
            now,
            on_reused_connection=is_reused,
        )

    def _connected_vm_waits(self) -> CpuWaits:
        waits = [vm.waits for vm in self.vms if vm.request_address == self.connected_to]
        return waits[0] if waits else CpuWaits()

    def _extra_prefixes(self) -> set[str]:
        return {f"/{name}/" for name in self.world.extra_routes}

    async def _exchange(self, request: SentRequest):
        method = "POST" if request.is_booking else "GET"
        headers = [
            (b"host", HOST.encode()),
            (b"request-id", request.request_id.encode()),
            (b"affinity-key", request.path.rpartition("/")[2].encode()),
            (b"deadline-ms", b"%d" % DEADLINE_MS),
            (b"authorization", b"Bearer " + request.key.encode()),
        ]
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        await self.connection.send_head(method, request.path, headers)
        if request.body:
            self.connection.add_body(request.body)
        await self.connection.end_request()
        head, response_body = await self.connection.read_response()
        request.is_signed = head.header(b"server-seal") is not None
        request.response_body, request.status = response_body, head.status
        if not self.connection.reusable or self.uses >= self.max_connection_uses:
            await self._close_connection()

    async def _connect(self) -> bool:
        self.uses += 1
        if self.connection is not None and not self.connection.stale:
            return True
        await self._close_connection()
        address = await self._choose_address()
        if address is None:
            return False
        try:
            self.connection = await ClientConnection.open(address, 1.0)
        except ConnectFailed:
            self.addresses = [other for other in self.addresses if other != address]
            return False
        self.connected_to, self.uses = address, 0
        return True

    async def _close_connection(self):
        if self.connection is not None:
            with trio.CancelScope(shield=True):
                await self.connection.aclose()
            self.connection = None

    async def _choose_address(self) -> str | None:
        if not self.addresses or trio.current_time() > self.addresses_expire_at:
            await self._resolve()
        return self.rng.choice(self.addresses) if self.addresses else None

    async def _resolve(self):
        vm = self.rng.choice(self.vms)
        place = f"region=region-{self.domain % 2}&zone=domain-{self.domain}"
        path = f"/plantainshed/resolve?name={HOST}&{place}"
        with contextlib.suppress(HttpError, ValueError, KeyError):
            head, body = await fetch(vm.lookup_address, "GET", path, timeout_s=1.0)
            if head.status == 200:
                self.addresses = orjson.loads(body)["addrs"]
                self.addresses_expire_at = trio.current_time() + self.lookup_ttl_s


def make_callers(world: World, vms: list, requests: list[SentRequest], count: int):
    """Return callers in all domains, of both workspaces; the small one sends too much.

    Look-ups name VMs of the caller's own region: were all callers in one, the
    other's VMs would serve nobody, and nothing that happens there could be seen.
    """
    domains = world.settings.domains
    callers = []
    for number in range(count):
        workspace = SMALL_WORKSPACE if number % 6 == 5 else LARGE_WORKSPACE
        rng = random.Random(f"{world.settings.seed}/caller/{number}")
        caller = Caller(world, vms, requests, rng, workspace, number % domains)
        if number // domains % 3 == 0:
            caller.lookup_ttl_s, caller.max_connection_uses = (
                LONG_LOOKUP_TTL_S,
                FEW_CONNECTION_USES,
            )
        callers.append(caller)
    return callers
