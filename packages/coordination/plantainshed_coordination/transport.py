"""How VMs reach each other: datagrams for what is small, fetches for bulk."""

import hashlib
import hmac
from typing import Protocol

import trio

from .addresses import split_address
from .errors import PeerError

MAX_DATAGRAM_BYTES = 60_000
TAG_BYTES = 16


class Transport(Protocol):
    """Sends and receives datagrams, which may be lost, late or repeated."""

    address: str

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; says nothing of whether it arrives."""

    async def receive(self) -> bytes:
        """Return the next datagram."""


class BulkSource(Protocol):
    """Fetches named values from a peer, whole or not at all."""

    async def fetch(self, address: str, name: str) -> bytes:
        """Return a value, or raise `PeerError`."""


class DatagramTransport:
    """Datagrams over UDP, each authenticated by the fleet's shared secret.

    Parameters
    ----------
    socket : trio.socket.SocketType
    secret : bytes
        At most 32 bytes are used as the key; empty for no authentication.

    Attributes
    ----------
    sent_bytes, received_bytes, forged : int
    """

    def __init__(self, socket, secret: bytes = b""):
        self.socket = socket
        self.secret = hashlib.sha256(secret).digest() if secret else b""
        host, port = socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.forged = 0

    @classmethod
    async def open(cls, address: str, secret: bytes = b"") -> "DatagramTransport":
        """Bind a UDP socket."""
        host, port = split_address(address)
        family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
        socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
        await socket.bind((host, port))
        return cls(socket, secret)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; a network that refuses it counts as a loss."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PeerError(f"a datagram of {len(data)} bytes is too large")
        data = self._tag(data) + data
        self.sent_bytes += len(data)
        self.sent_messages += 1
        try:
            await self.socket.sendto(data, split_address(address))
        except OSError:
            # A refused or unreachable port shows as an error of this or of a
            # later call. To the sender it is a lost datagram like any other.
            await trio.lowlevel.checkpoint()

    async def receive(self) -> bytes:
        """Return the next datagram that bears the fleet's tag."""
        while True:
            try:
                data, _ = await self.socket.recvfrom(65_535)
            except OSError:
                await trio.lowlevel.checkpoint()
                continue
            self.received_bytes += len(data)
            size = TAG_BYTES if self.secret else 0
            tag, rest = data[:size], data[size:]
            if hmac.compare_digest(tag, self._tag(rest)):
                return rest
            self.forged += 1

    def _tag(self, data: bytes) -> bytes:
        if not self.secret:
            return b""
        digest = hashlib.blake2b(data, key=self.secret, digest_size=TAG_BYTES)
        return digest.digest()

    def close(self):
        """Close the socket."""
        self.socket.close()
