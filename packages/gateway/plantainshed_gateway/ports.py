"""What the gateway needs from its surroundings, as protocols.

An adapter implements these for one platform. The gateway decides; an adapter
only translates names, formats and calls.
"""

from enum import StrEnum
from typing import Any, Protocol

from attrs import define, frozen

from plantainshed_http.messages import Headers, RequestHead, ResponseHead

from .model import Configuration


class Collection(StrEnum):
    """Groups of objects in the platform's store that the gateway uses."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    EVACUATIONS = "evacuations"
    VMS = "vms"


@frozen
class Item:
    """One object of a collection, its value still as the store holds it.

    Parameters
    ----------
    name : str
    revision : int
        Of its last change.
    value : object
        JSON types; decoded by `Decoder`.
    """

    name: str
    revision: int
    value: Any


@frozen
class Change:
    """An object that was created or changed, or deleted."""

    item: Item
    is_deleted: bool


@frozen
class Snapshot:
    """All objects of a collection at a revision of the store."""

    items: tuple[Item, ...]
    revision: int


@frozen
class Changes:
    """What happened to a collection up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


@frozen
class TargetEntry:
    """What a target says of itself.

    Parameters
    ----------
    instance : str
        Names one run of the target.
    pool, address, failure_domain : str
    slots : int
        Requests that it runs at once.
    is_leaving : bool
    cold_for_s : float
        How much longer it stays cold, at the time it said so.
    started_ms : int or None
        Wall clock of its start; only compared with itself, to notice that a
        target started again under the same instance name.
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_for_s: float
    started_ms: int | None = None


@frozen
class CallerRequest:
    """What the gateway reads of a caller's request.

    Parameters
    ----------
    request_id : str
        Empty if the caller gave none.
    host, path : str
        Path without the query.
    key : str or None
    affinity : str or None
        Names the object that the request concerns.
    deadline_s : float or None
        How long the caller will wait.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    affinity: str | None
    deadline_s: float | None


@frozen
class TargetLoad:
    """A target's own figures: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@frozen
class TargetAnswer:
    """What the gateway reads of a target's response head.

    Parameters
    ----------
    request_id : str or None
        Echo of the request's id.
    is_signed : bool
        Whether the response bears the target's signature.
    did_not_run : bool
        Whether the target says that it did not run the request.
    is_other_instance : bool
        Whether another instance than the expected one answered.
    is_encoded : bool
        Whether the body is not the target's own bytes.
    load : TargetLoad or None
    cold_for_s : float or None
    """

    request_id: str | None
    is_signed: bool
    did_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    load: TargetLoad | None
    cold_for_s: float | None


@define
class TargetRequestInfo:
    """What the gateway tells a target beside the caller's own headers."""

    instance: str
    deadline_s: float
    workspace: str | None


class Wire(Protocol):
    """Names and formats of callers' and targets' messages."""

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode a request, or raise `BadRequest` naming the header."""

    def target_headers(self, head: RequestHead, outgoing: TargetRequestInfo) -> Headers:
        """Return the headers to send to a target."""

    def read_answer(self, head: ResponseHead) -> TargetAnswer:
        """Decode what a target's response head says."""

    def read_lookup(self, head: RequestHead) -> "Lookup":
        """Decode a caller's question for VMs, or raise `BadRequest`."""

    def write_lookup(self, addresses: list[str], ttl_s: float) -> bytes:
        """Encode the answer to a look-up."""

    def is_lookup(self, head: RequestHead) -> bool:
        """Tell whether a request asks which VMs to use."""

    def is_readiness(self, head: RequestHead) -> bool:
        """Tell whether a request asks if this VM is ready."""

    def retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Encode when a refused caller may come back."""


@frozen
class Lookup:
    """A caller's question which VMs to use."""

    host: str
    region: str
    failure_domain: str


class Decoder(Protocol):
    """Turns stored values into the gateway's types, or raises `BadItem`."""

    def configuration(self, item: Item) -> Configuration | None:
        """Decode a configuration; None if the item is something else."""

    def target(self, item: Item) -> TargetEntry:
        """Decode a target's entry."""

    def evacuated_domain(self, item: Item) -> str:
        """Return the failure domain that is to get nothing more."""


class Store(Protocol):
    """The platform's object store.

    Calls raise `StoreUnavailable`, `HistoryGone` (watch), or `ItemExists`.
    """

    async def list(self, collection: Collection, allow_stale: bool = False) -> Snapshot:
        """Return all objects of a collection; old by seconds if that may be."""

    async def watch(
        self, collection: Collection, revision: int, wait_s: float
    ) -> Changes:
        """Return what changed after a revision; waits for a change so long.

        Raises `StoreUnavailable` also if the answer is overdue by a second.
        """

    async def create(self, collection: Collection, name: str, value: Any):
        """Create an object, or raise `ItemExists`."""

    async def replace(self, collection: Collection, item: Item, value: Any):
        """Replace an object if it is still at the item's revision."""


@define
class PlatformAdapter:
    """Everything that an adapter hands to the gateway."""

    wire: Wire
    decoder: Decoder
    store: Store
