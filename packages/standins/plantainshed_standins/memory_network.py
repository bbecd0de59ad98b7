"""A network in memory that can lose, delay, repeat, reorder and cut.

With `run_deterministically` a run on the mock clock goes the same way each time.
"""

import math
import random
from collections.abc import Callable

import trio
import trio.testing
from attrs import define

from plantainshed_coordination.errors import PeerTimeout

DEFAULT_DELAY_S = 0.001


@define
class NetworkFaults:
    """What is wrong with the network at present.

    Parameters
    ----------
    loss, repeat : float
        Probability that a datagram is lost, or arrives twice.
    jitter_s : float
        Up to so much is added to each delay, which reorders datagrams.
    is_cut : callable
        Whether nothing passes from one address to another.
    """

    loss: float = 0.0
    repeat: float = 0.0
    jitter_s: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False


def run_deterministically(function, *arguments, seed: int = 1):
    """Run an async function on a clock that jumps, the same way each time.

    trio shuffles tasks that become ready together, so that nobody relies on
    their order; with its hook for tests the shuffle follows a seed.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    random.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


class MemoryNetwork:
    """Joins `MemoryTransport` ends; the same seed gives the same faults.

    Parameters
    ----------
    seed : int
    delay : callable
        One-way delay in seconds between two addresses.
    """

    def __init__(
        self,
        seed: int = 1,
        delay: Callable[[str, str], float] = lambda a, b: DEFAULT_DELAY_S,
    ):
        self.random = random.Random(seed)
        self.delay = delay
        self.faults = NetworkFaults()
        self.transports: dict[str, MemoryTransport] = {}

    def open(self, address: str) -> "MemoryTransport":
        """Return the end for an address; an earlier one gets nothing more."""
        transport = MemoryTransport(self, address)
        self.transports[address] = transport
        return transport

    def passes(self, sender: str, receiver: str) -> bool:
        """Tell whether a datagram gets through."""
        if self.faults.is_cut(sender, receiver):
            return False
        return self.random.random() >= self.faults.loss

    def delay_between(self, sender: str, receiver: str) -> float:
        """Return how long a datagram takes this time."""
        jitter = self.random.random() * self.faults.jitter_s
        return self.delay(sender, receiver) + jitter


class MemoryTransport:
    """One VM's end of a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: str):
        self.network = network
        self.address = address
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.get_value: Callable[[str], bytes | None] = lambda name: None
        self._inbox_send, self._inbox_receive = trio.open_memory_channel(math.inf)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram."""
        await trio.lowlevel.checkpoint()
        self.sent_bytes += len(data)
        self.sent_messages += 1
        copies = 2 if self.network.random.random() < self.network.faults.repeat else 1
        for _ in range(copies):
            if self.network.passes(self.address, address):
                trio.lowlevel.spawn_system_task(self._deliver, address, data)

    async def receive(self) -> bytes:
        """Return the next datagram."""
        return await self._inbox_receive.receive()

    async def fetch(self, address: str, name: str) -> bytes:
        """Fetch a value from another end, as a bulk exchange would."""
        one_way_s = self.network.delay_between(self.address, address)
        receiver = self.network.transports.get(address)
        if receiver is None or self.network.faults.is_cut(self.address, address):
            await trio.sleep(1.0)
            raise PeerTimeout(f"{address}: not reachable")
        await trio.sleep(2 * one_way_s)
        value = receiver.get_value(name)
        if value is None:
            raise PeerTimeout(f"{address}: has no {name}")
        receiver.sent_bytes += len(value)
        return value

    async def _deliver(self, address, data):
        await trio.sleep(self.network.delay_between(self.address, address))
        receiver = self.network.transports.get(address)
        if receiver is not None:
            receiver.received_bytes += len(data)
            receiver._inbox_send.send_nowait(data)
