"""An in-memory network for datagrams that are delayed, lost, reordered or blocked."""

import heapq
import itertools
import random
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import define, frozen

NEVER = float("inf")
BlockRule = Callable[[str, str], bool]
DatagramHandler = Callable[[bytes, str], Awaitable[None]]


@frozen
class NetworkConditions:
    """Packet loss and delays that affect all datagrams.

    Parameters
    ----------
    loss, late : float
        Shares of datagrams that are lost, or that arrive late.
    late_s : float
        Largest extra delay of a late datagram.
    jitter : float
        Largest extra delay of any datagram, as a fraction of its one-way latency.
    """

    loss: float
    late: float
    late_s: float
    jitter: float


class LimitsNetwork:
    """Delivers datagrams between IP addresses.

    Parameters
    ----------
    one_way_s : callable
        Returns the one-way latency in seconds from one IP address to another.
    conditions : NetworkConditions
    rng : random.Random

    Attributes
    ----------
    block_rules : list of callable
        Each returns whether it blocks datagrams from one address to another.
    receivers : dict of str to callable
        Handlers by address, awaited with each datagram's bytes and its sender.
    """

    def __init__(
        self,
        one_way_s: Callable[[str, str], float],
        conditions: NetworkConditions,
        rng: random.Random,
    ):
        self.one_way_s = one_way_s
        self.conditions = conditions
        self.rng = rng
        self.block_rules: list[BlockRule] = []
        self.receivers: dict[str, DatagramHandler] = {}
        self._numbers = itertools.count()
        # For each datagram: due time, number, receiver, sender and bytes.
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._wait_scope = trio.CancelScope()

    async def run(self):
        """Deliver datagrams until cancelled."""
        while True:
            due_at = self._in_flight[0][0] if self._in_flight else NEVER
            with trio.CancelScope(deadline=due_at) as self._wait_scope:
                await trio.sleep_forever()
            await self._deliver_due()

    async def _deliver_due(self):
        now = trio.current_time()
        while self._in_flight and self._in_flight[0][0] <= now:
            _, _, receiver, sender, data = heapq.heappop(self._in_flight)
            handler = self.receivers.get(receiver)
            if handler is not None:
                await handler(data, sender)

    def open_socket(self, ip: str) -> "LimitsSocket":
        """Return a socket that a VM at an address sends with."""
        return LimitsSocket(partial(self._send, ip))

    def can_deliver(self, sender: str, receiver: str) -> bool:
        """Return whether no rule blocks datagrams from one address to another."""
        return not any(is_blocked(sender, receiver) for is_blocked in self.block_rules)

    def _send(self, sender: str, data: bytes, receiver: str):
        if not self.can_deliver(sender, receiver):
            return
        if self.rng.random() < self.conditions.loss:
            return
        due_at = trio.current_time() + self._delay_s(sender, receiver)
        number = next(self._numbers)
        heapq.heappush(self._in_flight, (due_at, number, receiver, sender, data))
        if due_at < self._wait_scope.deadline:
            self._wait_scope.deadline = due_at

    def _delay_s(self, sender: str, receiver: str) -> float:
        delay_s = self.one_way_s(sender, receiver)
        delay_s *= 1.0 + self.conditions.jitter * self.rng.random()
        if self.rng.random() < self.conditions.late:
            delay_s += self.conditions.late_s * self.rng.random()
        return delay_s


@define
class LimitsSocket:
    """Implements the part of a socket that `Peers` uses."""

    send: Callable[[bytes, str], None]

    def sendto(self, data: bytes, address: tuple[str, int]):
        """Send a datagram, which may be lost."""
        self.send(data, address[0])
