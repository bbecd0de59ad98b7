"""Communication between VMs: heartbeat datagrams and copies of state over HTTP.

Heartbeats are sent as datagrams. A copy of a collection is fetched over HTTP from a VM
that knows a newer change; see `replication`.
"""

import contextlib
import itertools
import re
import socket
import zlib
from collections.abc import Awaitable, Callable, Iterable, Iterator

import orjson
import trio

from plantainshed_http.client import fetch
from plantainshed_http.errors import HttpError
from plantainshed_http.server import Exchange

from .datagrams import Message, decode, encode
from .errors import StoreUnavailable
from .heartbeats import Heartbeat
from .logs import DecisionLog
from .members import Members
from .ports import Change, Changes, Collection, Item, Snapshot
from .replication import Replica
from .speakers import Speakers

HEARTBEAT_S = 0.5
# Number of heartbeats for each summary that is sent to other failure domains.
HEARTBEATS_PER_SUMMARY = 2
MAX_DATAGRAM_BYTES = 60_000
# Number of datagrams that are handled before other tasks get a turn. Decoding one takes
# 0.2 to 0.4 ms with 80 workspaces.
MAX_DATAGRAMS_PER_READ = 16
STATE_PATH = "/state/"
REVISION = re.compile(r"after=([0-9]{1,18})")
# Timeout of a copy from a VM in another region, about 100 KB before compression.
FETCH_TIMEOUT_S = 1.0
# A VM with a low-bandwidth link may have to send a large configuration to a whole
# domain. 500 similar routes shrink from 99 to 3.4 KB.
COMPRESSION_LEVEL = 1


class Peers:
    """Sends and receives datagrams between VMs.

    Parameters
    ----------
    members : Members
    speakers : Speakers
    ip : str
    port : int
        The same on all VMs.
    make_heartbeat : callable
        Returns a heartbeat with this VM's current state.
    on_message : callable
        Awaited with each message and the IP address of its sender.
    log : DecisionLog

    Attributes
    ----------
    seeds : set of str
        IP addresses to contact while no other VM is known.
    socket : socket.socket or None
        Bound inside the `open` context.
    """

    def __init__(
        self,
        members: Members,
        speakers: Speakers,
        ip: str,
        port: int,
        make_heartbeat: Callable[[], Heartbeat],
        on_message: Callable[[Message, str], Awaitable[None]],
        log: DecisionLog,
    ):
        self.members = members
        self.speakers = speakers
        self.ip = ip
        self.port = port
        self.make_heartbeat = make_heartbeat
        self.on_message = on_message
        self.log = log
        self.seeds: set[str] = set()
        self._alive: set[str] = set()
        self.socket: socket.socket | None = None

    @contextlib.asynccontextmanager
    async def open(self):
        """Open the socket for the duration of the context."""
        # A plain non-blocking socket needs one wait and one pass of the scheduler for
        # all datagrams that have arrived. A trio socket needs one for each datagram,
        # and a VM sends and receives about thirty per second.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self.ip, self.port))
            self.socket = sock
            yield self

    async def send_heartbeats(self):
        """Send heartbeats until cancelled."""
        for number in itertools.count():
            await self.send_now(to_far=number % HEARTBEATS_PER_SUMMARY == 0)
            self._log_changes()
            await trio.sleep(HEARTBEAT_S)

    async def send_now(self, to_far: bool = True):
        """Send a heartbeat to the own failure domain.

        With `to_far`, a speaker also sends a summary to the other failure domains.
        """
        self.members.own = self.make_heartbeat()
        ips = {member.ip for member in self.members.in_own_domain()}
        if to_far and (not self.members.is_listed or len(self.members.alive()) == 1):
            # A VM that may not know all others contacts the seeds in its settings.
            ips |= self.seeds
        self._send_all(self.members.own, ips)
        if to_far:
            receivers = self.speakers.receivers()
            if receivers:
                self._send_all(self.speakers.make_summary(), receivers)
        self.relay_summaries()

    def relay_summaries(self):
        """Relay summaries of other domains inside the own failure domain."""
        ips = [member.ip for member in self.members.in_own_domain()]
        for bundle in self.speakers.take_bundles():
            self._send_all(bundle, ips)

    def _send_all(self, message: Message, ips: Iterable[str]):
        data = encode(message)
        for ip in set(ips) - {self.ip}:
            self._send(data, ip)

    async def send(self, message: Message, ip: str):
        """Send one message. Delivery is not guaranteed."""
        self._send(encode(message), ip)

    def _send(self, data: bytes, ip: str):
        try:
            self.socket.sendto(data, (ip, self.port))
        except OSError as error:
            # There is no route, no listener, or the link is full. A later datagram may
            # get through.
            self.log.event("datagram not sent", to=ip, problem=str(error))

    async def receive(self):
        """Receive and handle messages until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            for data, ip in self._read_datagrams():
                await self.handle_datagram(data, ip)

    async def handle_datagram(self, data: bytes, ip: str):
        """Handle one datagram from the VM at an IP address."""
        try:
            message = decode(data)
        except ValueError as error:
            self.log.event("datagram not understood", ip=ip, problem=str(error))
            return
        await self.on_message(message, ip)

    def _read_datagrams(self) -> Iterator[tuple[bytes, str]]:
        """Yield the datagrams that have arrived and their senders' IP addresses."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, (ip, _) = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram reached a closed port. The socket is still usable.
                self.log.event("datagram refused", problem=str(error))
                continue
            yield data, ip

    def _log_changes(self):
        alive = {beat.vm for beat in self.members.alive()}
        for vm in sorted(alive - self._alive):
            self.log.event("vm alive", peer=vm, known=self.members.count)
        for vm in sorted(self._alive - alive):
            member = self.members.table.get(vm)
            age = trio.current_time() - member.heard_at if member else 0.0
            self.log.event("vm silent", peer=vm, heard_s_ago=round(age, 3))
        self._alive = alive


async def fetch_state(
    address: str, collection: Collection, after: int
) -> Snapshot | Changes:
    """Return the changes of a collection after a revision, from another VM.

    If the other VM does not keep all changes since that revision, it returns its whole
    copy. Raises `StoreUnavailable` if the fetch fails.
    """
    path = f"{STATE_PATH}{collection}?after={after}"
    try:
        head, body = await fetch(address, "GET", path, timeout_s=FETCH_TIMEOUT_S)
        if head.status != 200:
            raise StoreUnavailable(f"{address}: status {head.status}")
        state = orjson.loads(zlib.decompress(body))
        if "changes" in state:
            changes = [
                Change(_item(c["item"]), c["is_deleted"]) for c in state["changes"]
            ]
            return Changes(tuple(changes), state["revision"])
        items = [_item(value) for value in state["items"]]
        return Snapshot(tuple(items), state["revision"])
    except (HttpError, zlib.error, ValueError, TypeError, KeyError) as error:
        raise StoreUnavailable(f"{address}: {error!r}") from error


def _item(value: dict) -> Item:
    return Item(value["name"], value["revision"], value["value"])


def _fields(item: Item) -> dict:
    return {"name": item.name, "revision": item.revision, "value": item.value}


class StateHandler:
    """Serves copies of this VM's collections to other VMs."""

    def __init__(self, replicas: dict[Collection, Replica]):
        self.replicas = replicas

    async def handle(self, exchange: Exchange):
        """Answer a request for one collection."""
        path, _, query = exchange.request.target.partition("?")
        replica = self.replicas.get(path.removeprefix(STATE_PATH))
        if replica is None or not replica.is_initialized:
            await exchange.reply(404, [], b"no such state here\n")
            return
        after = REVISION.fullmatch(query)
        changes = replica.changes_since(int(after[1])) if after else None
        state: dict = {"revision": replica.revision}
        if changes is None:
            state["items"] = [_fields(item) for item in replica.items.values()]
        else:
            state["changes"] = [
                {"item": _fields(change.item), "is_deleted": change.is_deleted}
                for change in changes.changes
            ]
        body = zlib.compress(orjson.dumps(state), COMPRESSION_LEVEL)
        headers = [(b"content-type", b"application/zlib")]
        await exchange.reply(200, headers, body)
