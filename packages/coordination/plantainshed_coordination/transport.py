"""Transports between VMs: datagrams for messages, fetches for bulk data."""

import hashlib
import hmac
from typing import Protocol

import trio

from .addresses import split_address
from .errors import PeerError

MAX_DATAGRAM_BYTES = 60_000
TAG_BYTES = 16


class Transport(Protocol):
    """Sends and receives datagrams, which may be lost, delayed or duplicated."""

    address: str

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram. Delivery is not confirmed."""

    async def receive(self) -> bytes:
        """Return the next datagram."""


class BulkSource(Protocol):
    """Fetches complete named values from a peer."""

    async def fetch(self, address: str, name: str) -> bytes:
        """Return a value, or raise `PeerError`."""


class DatagramTransport:
    """Sends UDP datagrams authenticated with the fleet's shared secret.

    Parameters
    ----------
    socket : trio.socket.SocketType
    secret : bytes
        The authentication key is the 32-byte SHA-256 digest of the secret. An
        empty secret disables authentication.

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
        """Send a datagram. An error of the network is treated as a lost datagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PeerError(f"a datagram of {len(data)} bytes is too large")
        data = self._tag(data) + data
        self.sent_bytes += len(data)
        self.sent_messages += 1
        try:
            await self.socket.sendto(data, split_address(address))
        except OSError:
            # A refused or unreachable port is reported as an error of this call
            # or of a later one. It is treated like any other lost datagram.
            await trio.lowlevel.checkpoint()

    async def receive(self) -> bytes:
        """Return the next datagram with a valid authentication tag."""
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
