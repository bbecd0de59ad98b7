"""Bounds of the memory that a VM uses for bodies of requests and of answers.

A budget is shared by all exchanges. What is received for one of them is reserved
first: what a request declares at once, everything else as it arrives.
"""

import contextlib
import math
from collections.abc import Iterator

import trio
from attrs import define, field

# Fractions of the VM's memory limit. The rest is for the process itself (about 50 MB
# after its start), its connections, and copies that are made of one body at a time.
REQUEST_FRACTION = 0.25
ANSWER_FRACTION = 0.1
# A sender that is slower than this after the first second loses its claim to memory
# for bytes that have not arrived, if another request needs it.
SLOW_BYTES_PER_S = 32 * 1024
SLOW_AFTER_S = 1.0
MEGABYTE = 1 << 20


@define(eq=False)
class Reservation:
    """The memory of one exchange.

    Attributes
    ----------
    budget : MemoryBudget
    size : int
        Reserved bytes.
    used : int
        Bytes that have arrived.
    began_at : float
    """

    budget: "MemoryBudget"
    size: int = 0
    used: int = 0
    began_at: float = field(factory=trio.current_time)

    def try_reserve(self, size: int) -> bool:
        """Reserve more bytes; return False if they do not fit."""
        if not self.budget.make_room(size):
            return False
        self.size += size
        self.budget.reserved += size
        return True

    def try_use(self, size: int) -> bool:
        """Note the arrival of bytes; return False if they do not fit.

        Bytes that are not reserved yet are reserved.
        """
        excess = self.used + size - self.size
        if excess > 0 and not self.try_reserve(excess):
            return False
        self.used += size
        return True

    def release(self, size: int):
        """Give up bytes that are no longer in memory."""
        self.used -= size
        self._shrink(size)

    def release_unused(self):
        """Give up what is reserved and has not arrived."""
        self._shrink(self.size - self.used)

    def _shrink(self, size: int):
        self.size -= size
        self.budget.reserved -= size

    @property
    def is_slow(self) -> bool:
        """Whether the bytes arrive too slowly to hold memory for the rest."""
        if self.used == self.size:
            return False
        elapsed_s = trio.current_time() - self.began_at
        return elapsed_s >= SLOW_AFTER_S and self.used < elapsed_s * SLOW_BYTES_PER_S


@define
class MemoryBudget:
    """Memory for the bodies of all exchanges.

    Parameters
    ----------
    limit : float
        Bytes that may be reserved at once.

    Attributes
    ----------
    reserved : int
    reservations : set of Reservation
    """

    limit: float = math.inf
    reserved: int = 0
    reservations: set[Reservation] = field(factory=set)

    @contextlib.contextmanager
    def reservation(self) -> Iterator[Reservation]:
        """Yield the memory of one exchange, which is empty; release it at the end."""
        reservation = Reservation(self)
        self.reservations.add(reservation)
        try:
            yield reservation
        finally:
            self.reservations.discard(reservation)
            self.reserved -= reservation.size

    def make_room(self, size: int) -> bool:
        """Return whether so many bytes fit; slow senders make room for them."""
        if self.reserved + size > self.limit:
            for reservation in self.reservations:
                if reservation.is_slow:
                    reservation.release_unused()
        return self.reserved + size <= self.limit


def request_budget(memory_mb: float) -> MemoryBudget:
    """Return the budget for requests' bodies of a VM with so many megabytes."""
    return MemoryBudget(REQUEST_FRACTION * memory_mb * MEGABYTE)


def answer_budget(memory_mb: float) -> MemoryBudget:
    """Return the budget for answers' bodies of a VM with so many megabytes."""
    return MemoryBudget(ANSWER_FRACTION * memory_mb * MEGABYTE)
