"""Messages between VMs: sending, requests with replies, and dispatch to handlers."""

import itertools
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable

import trio
from google.protobuf.message import DecodeError

from .errors import PeerTimeout
from .identity import Identity
from .peer_pb2 import Envelope
from .transport import Transport

HandlerResult = Awaitable[object | None]
PeerHandler = Callable[["Sender", object], HandlerResult]
SEND_ATTEMPTS = 2
MAX_CACHED_REPLIES = 4096


class Sender:
    """The sender of a message.

    Parameters
    ----------
    vm : str
    incarnation : int
    """

    __slots__ = ("incarnation", "vm")

    def __init__(self, vm: str, incarnation: int):
        self.vm = vm
        self.incarnation = incarnation


class PeerNetwork:
    """Addresses VMs by name, and matches replies to requests.

    Parameters
    ----------
    identity : Identity
    transport : Transport

    Attributes
    ----------
    addresses : dict of str to str
        Datagram address of each VM; maintained by `Membership`.
    handlers : dict of str to callable
        By the field name of the message in `Envelope`. The return value of a
        handler is sent back as the reply.
    late_answer_handlers : dict of str to callable
        By the field name of the reply. Called with the name of the VM whose reply
        arrived after its request timed out or was already answered.
    received : collections.Counter
        Number of received messages by field name.
    """

    def __init__(self, identity: Identity, transport: Transport):
        self.identity = identity
        self.transport = transport
        self.addresses: dict[str, str] = {}
        self.handlers: dict[str, PeerHandler] = {}
        self.late_answer_handlers: dict[str, Callable[[str], None]] = {}
        self.received = Counter()
        self.sent = Counter()
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._replies: OrderedDict[tuple[str, int, int], object] = OrderedDict()

    async def run(self):
        """Receive messages until cancelled, and handle each in a task of its own."""
        async with trio.open_nursery() as nursery:
            while True:
                data = await self.transport.receive()
                envelope = Envelope()
                try:
                    envelope.ParseFromString(data)
                except DecodeError:
                    self.received["undecodable"] += 1
                    continue
                nursery.start_soon(self._handle, envelope)

    async def send(self, vm: str, field: str, message) -> None:
        """Send a message to a VM. Delivery is not guaranteed."""
        address = self.addresses.get(vm)
        if address is not None:
            await self.send_to(address, field, message)

    async def send_to(self, address: str, field: str, message, **extra) -> None:
        """Send a message to an address."""
        envelope = Envelope(
            vm=self.identity.vm, incarnation=self.identity.incarnation, **extra
        )
        getattr(envelope, field).CopyFrom(message)
        self.sent[field] += 1
        await self.transport.send(address, envelope.SerializeToString())

    async def ask(self, vm: str, field: str, message, timeout_s: float):
        """Send a request and return its reply, or raise `PeerTimeout`.

        The request is sent a second time after half of the timeout. The receiver
        handles it once and sends the same reply to each copy.
        """
        address = self.addresses.get(vm)
        if address is None:
            raise PeerTimeout(f"{vm}: no address is known")
        request_id = next(self._request_ids)
        pending = self._pending[request_id] = _PendingRequest()
        try:
            for _ in range(SEND_ATTEMPTS):
                await self.send_to(address, field, message, request_id=request_id)
                with trio.move_on_after(timeout_s / SEND_ATTEMPTS):
                    await pending.arrived.wait()
                    return pending.message
        finally:
            del self._pending[request_id]
        raise PeerTimeout(f"{vm}: no answer to {field} within {timeout_s:g} s")

    async def _handle(self, envelope):
        field = envelope.WhichOneof("body")
        if field is None:
            return
        self.received[field] += 1
        message = getattr(envelope, field)
        if envelope.is_reply:
            self._deliver_reply(envelope, field, message)
            return
        handler = self.handlers.get(field)
        if handler is None:
            return
        sender = Sender(envelope.vm, envelope.incarnation)
        if not envelope.request_id:
            await handler(sender, message)
            return
        request_key = (envelope.vm, envelope.incarnation, envelope.request_id)
        if request_key not in self._replies:
            # A duplicate request must not be handled twice. Otherwise a lender
            # would grant two loans and the borrower would learn of only one.
            self._cache_reply(request_key, None)
            self._cache_reply(request_key, await handler(sender, message))
        reply = self._replies[request_key]
        if reply is not None:
            await self._reply(envelope, reply)

    def _deliver_reply(self, envelope, field: str, message):
        # A reply that arrives after its request timed out has no pending entry.
        # This process does not reuse request ids, so the reply cannot be matched to
        # another request.
        pending = self._pending.get(envelope.request_id)
        if pending is not None:
            pending.message = message
            pending.arrived.set()
        elif field in self.late_answer_handlers:
            self.late_answer_handlers[field](envelope.vm)

    def _cache_reply(self, request_key, reply):
        self._replies[request_key] = reply
        while len(self._replies) > MAX_CACHED_REPLIES:
            self._replies.popitem(last=False)

    async def _reply(self, envelope, reply):
        field = FIELD_OF_TYPE[type(reply)]
        address = self.addresses.get(envelope.vm)
        if address is not None:
            await self.send_to(
                address, field, reply, request_id=envelope.request_id, is_reply=True
            )


class _PendingRequest:
    __slots__ = ("arrived", "message")

    def __init__(self):
        self.arrived = trio.Event()
        self.message = None


FIELD_OF_TYPE = {
    field.message_type._concrete_class: field.name
    for field in Envelope.DESCRIPTOR.oneofs_by_name["body"].fields
}
