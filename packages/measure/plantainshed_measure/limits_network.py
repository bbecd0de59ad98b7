"""Datagrams between VMs in memory: late, lost, out of order, or cut off."""

import heapq
import itertools
import random
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import define, frozen

FOREVER = float("inf")
Cut = Callable[[str, str], bool]
Take = Callable[[bytes, str], Awaitable[None]]


@frozen
class Weather:
    """What happens to datagrams at all times.

    Parameters
    ----------
    loss, late : float
        Parts of datagrams that are lost, or come late.
    late_s : float
        Most that a late one takes longer.
    jitter : float
        Most that each takes longer, as a part of its way.
    """

    loss: float
    late: float
    late_s: float
    jitter: float


class LimitsNetwork:
    """Carries datagrams between IP addresses.

    Parameters
    ----------
    one_way_s : callable
        Seconds from one IP address to another.
    weather : Weather
    rng : random.Random

    Attributes
    ----------
    cuts : list of callable
        Each tells whether nothing passes from one address to another.
    receivers : dict of str to callable
        Awaited with the datagrams for an address.
    """

    def __init__(
        self,
        one_way_s: Callable[[str, str], float],
        weather: Weather,
        rng: random.Random,
    ):
        self.one_way_s = one_way_s
        self.weather = weather
        self.rng = rng
        self.cuts: list[Cut] = []
        self.receivers: dict[str, Take] = {}
        self._numbers = itertools.count()
        # When each datagram is due, its number, receiver, sender and bytes.
        self._under_way: list[tuple[float, int, str, str, bytes]] = []
        self._pause = trio.CancelScope()

    async def run(self):
        """Deliver datagrams until cancelled."""
        while True:
            due_at = self._under_way[0][0] if self._under_way else FOREVER
            with trio.CancelScope(deadline=due_at) as self._pause:
                await trio.sleep_forever()
            await self._deliver_due()

    async def _deliver_due(self):
        now = trio.current_time()
        while self._under_way and self._under_way[0][0] <= now:
            _, _, receiver, sender, data = heapq.heappop(self._under_way)
            take = self.receivers.get(receiver)
            if take is not None:
                await take(data, sender)

    def open(self, ip: str) -> "LimitsSocket":
        """Return what a VM at an address sends with."""
        return LimitsSocket(partial(self._send, ip))

    def passes(self, sender: str, receiver: str) -> bool:
        """Tell whether there is a way from one address to another."""
        return not any(cut(sender, receiver) for cut in self.cuts)

    def _send(self, sender: str, data: bytes, receiver: str):
        if not self.passes(sender, receiver):
            return
        if self.rng.random() < self.weather.loss:
            return
        due_at = trio.current_time() + self._way_s(sender, receiver)
        number = next(self._numbers)
        heapq.heappush(self._under_way, (due_at, number, receiver, sender, data))
        if due_at < self._pause.deadline:
            self._pause.deadline = due_at

    def _way_s(self, sender: str, receiver: str) -> float:
        way_s = self.one_way_s(sender, receiver)
        way_s *= 1.0 + self.weather.jitter * self.rng.random()
        if self.rng.random() < self.weather.late:
            way_s += self.weather.late_s * self.rng.random()
        return way_s


@define
class LimitsSocket:
    """The part of a socket that `Peers` sends with."""

    send: Callable[[bytes, str], None]

    def sendto(self, data: bytes, address: tuple[str, int]):
        """Send a datagram; it may be lost."""
        self.send(data, address[0])
