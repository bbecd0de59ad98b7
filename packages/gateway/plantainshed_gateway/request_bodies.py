"""Reads the bodies of callers' requests into memory, within a budget.

A body is kept until its request has been answered: only then is it certain that no
other target needs it.
"""

import contextlib
import math
from http import HTTPStatus

import trio

from plantainshed_http.errors import HttpError
from plantainshed_http.server import SOCKET_ERRORS, ConnectionLimits, Exchange

from .errors import BadRequest, Refusal
from .memory_budget import SLOW_BYTES_PER_S, MemoryBudget, Reservation
from .model import Configuration
from .ports import Wire
from .reasons import Reason

# Retry-after if a body does not fit into the memory. Requests that are being handled
# end within their routes' timeouts.
NO_MEMORY_RETRY_AFTER_S = 0.5
# How long the body of a refused request is read and discarded. Many callers read the
# response only after they have sent the body, and closing the connection earlier would
# reset it and lose the response.
DISCARD_TIMEOUT_S = 5.0
REFUSED_UNREAD = frozenset({Reason.NO_MEMORY, Reason.BODY_TOO_LARGE})


class RequestBodies:
    """Reads the bodies of requests.

    Parameters
    ----------
    wire : Wire
    budget : MemoryBudget
    limits : ConnectionLimits
        Limits of callers' connections.
    """

    def __init__(self, wire: Wire, budget: MemoryBudget, limits: ConnectionLimits):
        self.wire = wire
        self.budget = budget
        self.limits = limits

    async def read(
        self,
        exchange: Exchange,
        reservation: Reservation,
        configuration: Configuration | None,
    ) -> bytes:
        """Return the whole body, or raise `Refusal` if it is not accepted.

        Without a configuration, the maximum size is unknown and the request is refused
        later, so its body is not read. A body is refused before it is read if its head
        shows that it is too large or does not fit into the budget. It has to arrive
        within the caller's deadline, and not much slower than `SLOW_BYTES_PER_S`.
        """
        length = exchange.declared_length
        if configuration is None:
            return b""
        max_bytes = configuration.limits.max_body_bytes
        if length is not None and length > max_bytes:
            raise _too_large(max_bytes)
        if length is not None and not reservation.try_reserve(length):
            raise _no_memory()
        with trio.move_on_at(reservation.began_at + self._deadline_s(exchange)):
            return await self._receive(exchange, reservation, max_bytes)
        raise _too_slow("the body did not arrive within the caller's deadline")

    async def _receive(
        self, exchange: Exchange, reservation: Reservation, max_bytes: int
    ) -> bytes:
        # Many small chunks would need many times their size if they were kept apart.
        body = bytearray()
        async for chunk in exchange.body():
            if len(body) + len(chunk) > max_bytes:
                raise _too_large(max_bytes)
            if not reservation.try_use(len(chunk)):
                raise _no_memory()
            body += chunk
            elapsed_s = trio.current_time() - reservation.began_at
            if elapsed_s > self.limits.idle_timeout_s + len(body) / SLOW_BYTES_PER_S:
                raise _too_slow("the body arrives too slowly")
        return bytes(body)

    def _deadline_s(self, exchange: Exchange) -> float:
        with contextlib.suppress(BadRequest):
            deadline_s = self.wire.read_request(exchange.request).deadline_s
            return math.inf if deadline_s is None else deadline_s
        return math.inf

    async def discard_refused(self, exchange: Exchange, refusal: Refusal | None):
        """Discard the body of a request if it was refused before it was read."""
        if refusal is None or refusal.reason not in REFUSED_UNREAD:
            return
        if exchange.request.header(b"expect") is not None:
            # The caller waits for a response before it sends the body.
            return
        with (
            contextlib.suppress(HttpError, *SOCKET_ERRORS),
            trio.move_on_after(DISCARD_TIMEOUT_S),
        ):
            async for _ in exchange.body():
                pass


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.BODY_TOO_LARGE,
        f"the body exceeds the limit of {max_bytes} bytes",
    )


def _no_memory() -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.NO_MEMORY,
        "this VM has no memory left for the body",
        NO_MEMORY_RETRY_AFTER_S,
    )


def _too_slow(problem: str) -> Refusal:
    return Refusal(HTTPStatus.REQUEST_TIMEOUT, Reason.BODY_TOO_SLOW, problem)
