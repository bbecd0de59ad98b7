"""An in-memory datagram network that can lose, delay, duplicate and reorder.

It can also be partitioned. With `run_deterministically`, every run with the same
seed on the mock clock takes the same course.
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
    """The faults that the network currently simulates.

    Parameters
    ----------
    loss, repeat : float
        Probability that a datagram is lost, or sent twice.
    jitter_s : float
        Upper bound of a random addition to each delay, which reorders datagrams.
    is_cut : callable
        Whether the path from one address to another is cut.
    """

    loss: float = 0.0
    repeat: float = 0.0
    jitter_s: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False


def run_deterministically(function, *arguments, seed: int = 1):
    """Run an async function on an autojumping mock clock, reproducibly.

    trio shuffles tasks that become ready together, so that programs can't rely on
    their order. Its hook for tests makes the shuffle depend on the seed only.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    random.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


class MemoryNetwork:
    """Connects `MemoryTransport` objects.

    Parameters
    ----------
    seed : int
        Seed of the random faults; the same seed gives the same faults.
    delay : callable
        Returns the one-way delay in seconds between two addresses.

    Attributes
    ----------
    faults : NetworkFaults
    transports : dict of str to MemoryTransport
        The transport that currently receives the datagrams of each address.
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
        """Return a new transport for an address.

        An earlier transport with this address receives no more datagrams.
        """
        transport = MemoryTransport(self, address)
        self.transports[address] = transport
        return transport

    def passes(self, sender: str, receiver: str) -> bool:
        """Decide whether a datagram is delivered; random losses use the seed."""
        if self.faults.is_cut(sender, receiver):
            return False
        return self.random.random() >= self.faults.loss

    def delay_between(self, sender: str, receiver: str) -> float:
        """Return the delay of one datagram, with random jitter."""
        jitter = self.random.random() * self.faults.jitter_s
        return self.delay(sender, receiver) + jitter


class MemoryTransport:
    """Transport of one VM in a `MemoryNetwork`.

    Attributes
    ----------
    sent_bytes, sent_messages, received_bytes : int
    get_value : callable
        Returns the value of a name for `fetch` calls by others, or None.
    """

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
        """Wait for the next datagram and return it."""
        return await self._inbox_receive.receive()

    async def fetch(self, address: str, name: str) -> bytes:
        """Fetch a value by name from another address; simulates a bulk transfer."""
        one_way_s = self.network.delay_between(self.address, address)
        peer = self.network.transports.get(address)
        if peer is None or self.network.faults.is_cut(self.address, address):
            await trio.sleep(1.0)
            raise PeerTimeout(f"{address}: unreachable")
        await trio.sleep(2 * one_way_s)
        value = peer.get_value(name)
        if value is None:
            raise PeerTimeout(f"{address}: has no {name}")
        peer.sent_bytes += len(value)
        return value

    async def _deliver(self, address, data):
        await trio.sleep(self.network.delay_between(self.address, address))
        receiver = self.network.transports.get(address)
        if receiver is not None:
            receiver.received_bytes += len(data)
            receiver._inbox_send.send_nowait(data)
