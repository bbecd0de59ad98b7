"""Simulated callers that cache look-ups and reuse their connections."""

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
# Some callers cache a look-up three times as long and open new connections often.
# They keep connecting to a stopping VM for as long as it accepts connections.
LONG_LOOKUP_TTL_S = 3 * LOOKUP_TTL_S
FEW_CONNECTION_USES = 4
DEADLINE_MS = 2500
# How long a caller waits for a response, not counting the time its VM waits for a
# CPU. Longer than the timeout of any route.
RESPONSE_TIMEOUT_S = 4.0
MAX_CONNECTION_USES = 40
_REQUEST_NUMBERS = itertools.count()


@define
class SentRequest:
    """A request and its outcome, as its caller observed them.

    Attributes
    ----------
    status : int
        0 if the connection ended without a complete response. If no connection
        could be opened, nothing is recorded.
    on_reused_connection : bool
        Whether the connection had carried an earlier request.
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
        """Whether the request is non-idempotent: it must not run twice."""
        return self.path.startswith("/book/")


@define
class Caller:
    """Sends requests one after the other until cancelled."""

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
        """Send requests at random intervals until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(1.0 / self.mean_pause_s))
            await self.send_request()

    async def send_request(self):
        """Send one request and record its outcome."""
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
            self.connection.buffer_body(request.body)
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
        locality = f"region=region-{self.domain % 2}&zone=domain-{self.domain}"
        path = f"/plantainshed/resolve?name={HOST}&{locality}"
        with contextlib.suppress(HttpError, ValueError, KeyError):
            head, body = await fetch(vm.lookup_address, "GET", path, timeout_s=1.0)
            if head.status == 200:
                self.addresses = orjson.loads(body)["addrs"]
                self.addresses_expire_at = trio.current_time() + self.lookup_ttl_s


def make_callers(world: World, vms: list, requests: list[SentRequest], count: int):
    """Return callers in all failure domains and of both workspaces.

    The callers of the small workspace exceed its quota. A look-up returns VMs of the
    caller's own region: if all callers were in one region, the VMs of the other would
    serve no requests, and faults there would have no visible effect.
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
