"""Encoded bytes of a message that wait to be sent.

Small pieces are sent together, in one system call. Large ones are not copied: bodies
would otherwise be in memory twice while their receivers read slowly.
"""

from attrs import define, field

from .tcp import TcpStream

# Copying a piece of this size costs less than another system call.
MAX_COPIED_BYTES = 64 * 1024


@define
class Outgoing:
    """The unsent pieces of a message, in order."""

    pieces: list[bytes] = field(factory=list)

    def __bool__(self) -> bool:
        return bool(self.pieces)

    def add(self, data: bytes | None):
        """Append encoded bytes."""
        if not data:
            return
        if self.pieces and len(self.pieces[-1]) + len(data) <= MAX_COPIED_BYTES:
            self.pieces[-1] += data
        else:
            self.pieces.append(data)

    async def send(self, stream: TcpStream):
        """Send all pieces. None are kept if that fails."""
        pieces, self.pieces = self.pieces, []
        pieces.reverse()
        while pieces:
            # The reference to a piece ends when it has been sent.
            await stream.send_all(pieces.pop())
