"""Reads the rest of a long answer while its caller reads slowly.

A target closes a connection whose answer stays unread for some seconds, and the caller
would then get only a part of it. What has been read ahead counts toward the budget for
answers, and one answer gets only a part of that.
"""

import contextlib
from collections import deque
from collections.abc import AsyncIterator

import trio
from attrs import define, field

from plantainshed_coordination.nurseries import open_unwrapping_nursery
from plantainshed_http.errors import ConnectionBroken

from .memory_budget import Reservation

# The fraction of the budget up to which one answer is read ahead.
MAX_FRACTION = 0.125


@define
class ReadAhead:
    """The part of a body that has been read and not yet been taken.

    Parameters
    ----------
    chunks : AsyncIterator of bytes
    reservation : Reservation
        Memory of the answer.

    Attributes
    ----------
    queue : collections.deque of (bytes, bool)
        Chunks, and whether memory is reserved for them.
    error : ConnectionBroken or None
        Why the body broke off.
    has_ended : bool
        Whether nothing more will be read.
    changed : trio.Event
        Replaced and set when a chunk was added or taken, or the body has ended.
    """

    chunks: AsyncIterator[bytes]
    reservation: Reservation
    queue: deque[tuple[bytes, bool]] = field(factory=deque)
    error: ConnectionBroken | None = None
    has_ended: bool = False
    changed: trio.Event = field(factory=trio.Event)

    async def read(self):
        """Read the whole body, as far ahead as there is memory."""
        try:
            async for chunk in self.chunks:
                while not self._try_add(chunk):
                    await self.changed.wait()
        except ConnectionBroken as error:
            self.error = error
        self.has_ended = True
        self._note_change()

    def _try_add(self, chunk: bytes) -> bool:
        budget = self.reservation.budget
        is_within_part = self.reservation.used < MAX_FRACTION * budget.limit
        # Without any memory left, the answer is passed on one chunk at a time.
        is_reserved = is_within_part and self.reservation.try_use(len(chunk))
        if not is_reserved and self.queue:
            return False
        self.queue.append((chunk, is_reserved))
        self._note_change()
        return True

    async def take(self) -> AsyncIterator[bytes]:
        """Yield the chunks in order, or raise `ConnectionBroken` where they end."""
        while True:
            while self.queue:
                chunk, is_reserved = self.queue.popleft()
                self._note_change()
                yield chunk
                if is_reserved:
                    self.reservation.release(len(chunk))
            if self.has_ended:
                break
            await self.changed.wait()
        if self.error is not None:
            raise self.error

    def _note_change(self):
        self.changed.set()
        self.changed = trio.Event()


@contextlib.asynccontextmanager
async def reading_ahead(chunks: AsyncIterator[bytes], reservation: Reservation):
    """Read the rest of an answer in a task of its own; yield its chunks."""
    ahead = ReadAhead(chunks, reservation)
    async with open_unwrapping_nursery() as nursery:
        nursery.start_soon(ahead.read)
        yield ahead.take()
        nursery.cancel_scope.cancel()
