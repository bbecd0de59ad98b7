"""What VMs say to each other: heartbeats, and copies of state on request.

Heartbeats are datagrams. A copy of a collection is fetched over HTTP from a VM
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
# News goes to other failure domains with each second heartbeat.
HEARTBEATS_PER_SUMMARY = 2
MAX_DATAGRAM_BYTES = 60_000
# Datagrams that are taken in before other tasks have their turn: to decode one
# takes 0.2 to 0.4 ms with 80 workspaces.
MAX_DATAGRAMS_PER_READ = 16
STATE_PATH = "/state/"
REVISION = re.compile(r"after=([0-9]{1,18})")
# Time for a copy from a VM in another region, some 100 KB before compression.
FETCH_TIMEOUT_S = 1.0
# A VM with a narrow link may give a large configuration to a whole domain: 500
# routes that are much alike shrink from 99 to 3.4 KB.
COMPRESSION_LEVEL = 1


class Peers:
    """Sends and receives heartbeats.

    Parameters
    ----------
    members : Members
    speakers : Speakers
    ip : str
    port : int
        The same on all VMs.
    make_heartbeat : callable
        Returns what this VM says of itself now.
    on_message : callable
        Awaited with each message and the IP address that it came from.
    log : DecisionLog

    Attributes
    ----------
    socket : socket.socket or None
        Bound while `open` is entered.
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
        """Hold the socket for the length of a block."""
        # A plain socket that never blocks: one wait and one pass of the scheduler
        # serve all datagrams at hand, where trio's has one for each, and a VM
        # sends and takes in some thirty a second.
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
        """Send one heartbeat to the own failure domain, and news to the others."""
        self.members.own = self.make_heartbeat()
        ips = {member.ip for member in self.members.near()}
        if to_far and len(self.members.alive()) == 1:
            # Whoever knows nobody yet asks the VMs that the settings name.
            ips |= self.seeds
        self._send_all(self.members.own, ips)
        if to_far:
            receivers = self.speakers.receivers()
            if receivers:
                self._send_all(self.speakers.make_summary(), receivers)
        self.relay_summaries()

    def relay_summaries(self):
        """Tell the own failure domain what was heard of others."""
        ips = [member.ip for member in self.members.near()]
        for bundle in self.speakers.take_bundles():
            self._send_all(bundle, ips)

    def _send_all(self, message: Message, ips: Iterable[str]):
        data = encode(message)
        for ip in set(ips) - {self.ip}:
            self._send(data, ip)

    async def send(self, message: Message, ip: str):
        """Send one message; it may be lost."""
        self._send(encode(message), ip)

    def _send(self, data: bytes, ip: str):
        try:
            self.socket.sendto(data, (ip, self.port))
        except OSError as error:
            # No route, no listener or a full link; the next may get through.
            self.log.event("datagram not sent", to=ip, problem=str(error))

    async def receive(self):
        """Take in messages until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            for data, ip in self._read_datagrams():
                await self.handle_datagram(data, ip)

    async def handle_datagram(self, data: bytes, ip: str):
        """Act on one datagram; `ip` is its sender's."""
        try:
            message = decode(data)
        except ValueError as error:
            self.log.event("datagram not understood", ip=ip, problem=str(error))
            return
        await self.on_message(message, ip)

    def _read_datagrams(self) -> Iterator[tuple[bytes, str]]:
        """Yield the datagrams that have arrived, and who sent each."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, (ip, _) = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram met a closed port; the socket is sound.
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
    """Return what another VM knows beyond a revision of a collection.

    That is its whole copy if it does not keep all changes since. Raises
    `StoreUnavailable`.
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
    """Gives other VMs copies of this one's collections."""

    def __init__(self, replicas: dict[Collection, Replica]):
        self.replicas = replicas

    async def handle(self, exchange: Exchange):
        """Answer one request for a collection."""
        path, _, query = exchange.request.target.partition("?")
        replica = self.replicas.get(path.removeprefix(STATE_PATH))
        if replica is None or not replica.is_known:
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
