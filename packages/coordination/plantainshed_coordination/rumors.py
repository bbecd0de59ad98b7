"""Gossip protocol that floods small messages to every VM.

A topic and a name identify a rumor. A rumor with a higher stamp replaces one
with a lower stamp. Permanent rumors are never removed. Each heartbeat carries a
digest of them, so that a VM that missed one is detected and sent all rumors.
"""

import math
from collections.abc import Callable

import trio
import xxhash
from attrs import define, frozen

from .digests import rendezvous_order
from .members import Liveness
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import MemberRecord, Rumor
from .peer_pb2 import Rumors as RumorsMessage

REPEAT_DELAYS_S = (0.0, 0.3, 1.0, 3.0)
REPAIR_PERIOD_S = 1.0
REPAIRERS_PER_DOMAIN = 1
BATCH_SIZE = 200
FOREVER = math.inf
RECEIVERS_IN_OTHER_DOMAINS = 2


@frozen
class RumorKey:
    """The topic and name that identify a rumor."""

    topic: str
    name: str


@define
class ReceivedRumor:
    """A rumor as received by this VM.

    Parameters
    ----------
    stamp : int
        A rumor with a higher stamp replaces one with a lower stamp.
    value : bytes
    expires_at : float
        By this process's clock; infinite for a permanent rumor.
    origin : str
        VM that published it.
    """

    stamp: int
    value: bytes
    expires_at: float
    origin: str


class RumorBook:
    """Stores the rumors known to this VM and spreads new ones.

    Attributes
    ----------
    heard : dict of RumorKey to ReceivedRumor
    listeners : dict of str to callable
        By topic; called with the name and the rumor when a rumor is new.
    """

    def __init__(self, network: PeerNetwork, membership: Membership):
        self.network = network
        self.membership = membership
        self.heard: dict[RumorKey, ReceivedRumor] = {}
        self.listeners: dict[str, Callable[[str, ReceivedRumor], None]] = {}
        self._digest = 0
        self._spread_sender, self._spread_receiver = trio.open_memory_channel(math.inf)
        network.handlers["rumors"] = self._on_rumors

    async def run(self):
        """Spread rumors until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repair)
            while True:
                key = await self._spread_receiver.receive()
                nursery.start_soon(self._flood, key)

    def publish(
        self, topic: str, name: str, value: bytes = b"", ttl_s: float = FOREVER
    ) -> bool:
        """Publish or renew a rumor; return whether it was stored as new."""
        key = RumorKey(topic, name)
        known = self.heard.get(key)
        stamp = known.stamp + 1 if known and ttl_s != FOREVER else 1
        expires_at = trio.current_time() + ttl_s
        origin = self.membership.identity.vm
        return self._merge(key, ReceivedRumor(stamp, value, expires_at, origin))

    def knows(self, topic: str, name: str) -> bool:
        """Return whether an unexpired rumor is known."""
        return self.find(topic, name) is not None

    def find(self, topic: str, name: str) -> ReceivedRumor | None:
        """Return a rumor, or None if it is unknown or has expired."""
        rumor = self.heard.get(RumorKey(topic, name))
        if rumor is None or rumor.expires_at <= trio.current_time():
            return None
        return rumor

    def names(self, topic: str) -> list[str]:
        """Return the names of the unexpired rumors of a topic."""
        now = trio.current_time()
        return sorted(
            key.name
            for key, rumor in self.heard.items()
            if key.topic == topic and rumor.expires_at > now
        )

    def forget_expired(self):
        """Remove the expired rumors."""
        now = trio.current_time()
        for key in [k for k, rumor in self.heard.items() if rumor.expires_at <= now]:
            del self.heard[key]

    @property
    def digest(self) -> int:
        """Digest of all permanent rumors, independent of their order."""
        return self._digest

    def _merge(self, key: RumorKey, rumor: ReceivedRumor) -> bool:
        known = self.heard.get(key)
        if known is not None and rumor.stamp <= known.stamp:
            return False
        self.heard[key] = rumor
        if rumor.expires_at == FOREVER and known is None:
            self._digest ^= xxhash.xxh64_intdigest(
                f"{key.topic}\x00{key.name}".encode()
            )
            self.membership.update_record(tombstone_digest=self._digest)
        listener = self.listeners.get(key.topic)
        if listener is not None:
            listener(key.name, rumor)
        self._spread_sender.send_nowait(key)
        return True

    async def _flood(self, key: RumorKey):
        # A single datagram may be lost. Retransmissions cover that within seconds.
        # The digest in the heartbeats covers all longer losses.
        for delay_s in REPEAT_DELAYS_S:
            await trio.sleep(delay_s)
            message = self._message([key])
            for vm in self._receivers():
                await self.network.send(vm, "rumors", message)

    def _receivers(self) -> list[str]:
        membership = self.membership
        receivers = membership.domain_peers()
        domains = {m.failure_domain for m in membership.table.members.values()}
        for domain in sorted(domains - {membership.identity.failure_domain}):
            live = membership.live_in_domain(domain)
            order = rendezvous_order(membership.identity.vm, live)
            receivers.extend(order[:RECEIVERS_IN_OTHER_DOMAINS])
        return receivers

    def _message(self, keys) -> RumorsMessage:
        now = trio.current_time()
        message = RumorsMessage()
        for key in keys:
            rumor = self.heard.get(key)
            if rumor is None or rumor.expires_at <= now:
                continue
            message.rumors.append(
                Rumor(
                    topic=key.topic,
                    name=key.name,
                    stamp=rumor.stamp,
                    ttl_s=rumor.expires_at - now,
                    value=rumor.value,
                    origin=rumor.origin,
                )
            )
        return message

    async def _on_rumors(self, sender, message: RumorsMessage):
        now = trio.current_time()
        for item in message.rumors:
            self._merge(
                RumorKey(item.topic, item.name),
                ReceivedRumor(item.stamp, item.value, now + item.ttl_s, item.origin),
            )

    async def _repair(self):
        """Send all rumors to peers whose digest differs from the own one.

        Flooding ends after a few seconds. A peer that was partitioned during that
        time would keep accepting a withdrawn key. The digest in its heartbeat
        reveals that it misses rumors.
        """
        while True:
            await trio.sleep(REPAIR_PERIOD_S)
            self.forget_expired()
            for record in self.membership.records():
                if record.tombstone_digest == self._digest:
                    continue
                if self._should_repair(record):
                    await self.send_all(record.vm)

    def _should_repair(self, record: MemberRecord) -> bool:
        membership = self.membership
        if membership.liveness(record.vm) not in (Liveness.ALIVE, Liveness.SUSPECT):
            return False
        if record.failure_domain == membership.identity.failure_domain:
            return True
        return membership.is_selected_for(record.vm, REPAIRERS_PER_DOMAIN)

    async def send_all(self, vm: str):
        """Send all known rumors to a VM."""
        keys = list(self.heard)
        for start in range(0, len(keys), BATCH_SIZE):
            message = self._message(keys[start : start + BATCH_SIZE])
            await self.network.send(vm, "rumors", message)
