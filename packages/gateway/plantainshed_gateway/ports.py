"""Protocols and data types between the gateway and a platform adapter.

A platform adapter implements these protocols. The gateway contains all decision
logic; an adapter only translates names, formats and calls.
"""

from enum import StrEnum
from typing import Any, Protocol

from attrs import define, frozen

from plantainshed_http.messages import Headers, RequestHead, ResponseHead

from .model import Configuration


class Collection(StrEnum):
    """Collections of the platform's store that the gateway uses."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    EVACUATIONS = "evacuations"
    VMS = "vms"


@frozen
class Item:
    """One object of a collection with its undecoded value.

    Parameters
    ----------
    name : str
    revision : int
        Store revision of the object's last change.
    value : object
        The stored value as JSON types; `Decoder` decodes it.
    """

    name: str
    revision: int
    value: Any


@frozen
class Change:
    """The creation, update or deletion of an object."""

    item: Item
    is_deleted: bool


@frozen
class Snapshot:
    """All objects of a collection at a revision of the store."""

    items: tuple[Item, ...]
    revision: int


@frozen
class Changes:
    """Changes to a collection up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


@frozen
class TargetEntry:
    """A target's registration entry.

    Parameters
    ----------
    instance : str
        Name of one run of the target.
    pool, address, failure_domain : str
    slots : int
        Maximum number of concurrent requests.
    is_draining : bool
        Whether the target is about to stop and must get no new requests.
    cold_for_s : float
        Remaining warm-up time when the entry was written.
    started_ms : int or None
        Wall-clock start time. It is compared only with earlier values of the same
        target, to detect a restart under the same instance name.
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_for_s: float
    started_ms: int | None = None

    @property
    def run(self) -> str:
        """Identifies this run of the target, also among runs of the same name."""
        return f"{self.instance}/{self.started_ms or 0}"


@frozen
class CallerRequest:
    """The fields of a caller's request that the gateway uses.

    Parameters
    ----------
    request_id : str
        Empty if the caller sent none.
    host, path : str
        Host, and path without the query.
    key : str or None
    affinity : str or None
        Identifier of the object that the request concerns.
    deadline_s : float or None
        How long the caller waits for the response.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    affinity: str | None
    deadline_s: float | None


@frozen
class TargetLoad:
    """A target's load report.

    Parameters
    ----------
    running, waiting : int
        Requests at the target.
    slots : int
        Maximum number of concurrent requests.
    slowdown : float
        How long work currently takes on the target's machine, as a multiple of the
        usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@frozen
class TargetAnswer:
    """The fields of a target's response head that the gateway uses.

    Parameters
    ----------
    request_id : str or None
        Request id echoed by the target.
    is_signed : bool
        Whether the response carries the target's signature.
    did_not_run : bool
        Whether the target reports that it did not run the request.
    is_other_instance : bool
        Whether an instance other than the expected one answered.
    is_encoded : bool
        Whether the body is encoded, so that it differs from the target's own bytes.
    load : TargetLoad or None
    cold_for_s : float or None
    retry_after_s : float or None
        How long the target wants no requests from this VM after it turned one away;
        None if it does not say.
    is_leaving : bool
        Whether the target says that it is about to stop.
    limit_per_s : float or None
        Requests per second that the target takes from all VMs together; None if it
        names no limit.
    """

    request_id: str | None
    is_signed: bool
    did_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    load: TargetLoad | None
    cold_for_s: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None


@define
class TargetRequestInfo:
    """Information that the gateway adds to a request to a target."""

    instance: str
    deadline_s: float
    workspace: str | None


class Wire(Protocol):
    """Encodes and decodes the messages of callers and targets."""

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode a request, or raise `BadRequest` naming the header."""

    def target_headers(self, head: RequestHead, info: TargetRequestInfo) -> Headers:
        """Return the headers to send to a target."""

    def read_answer(self, head: ResponseHead) -> TargetAnswer:
        """Decode a target's response head."""

    def read_lookup(self, head: RequestHead) -> "Lookup":
        """Decode a caller's VM look-up, or raise `BadRequest`."""

    def write_lookup(self, addresses: list[str], ttl_s: float) -> bytes:
        """Encode the response to a look-up."""

    def is_lookup(self, head: RequestHead) -> bool:
        """Return whether a request is a VM look-up."""

    def is_readiness(self, head: RequestHead) -> bool:
        """Return whether a request is a readiness check."""

    def retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Encode the header that tells a refused caller when to retry."""


@frozen
class Lookup:
    """A caller's request for the addresses of VMs to use."""

    host: str
    region: str
    failure_domain: str


class Decoder(Protocol):
    """Decodes stored values into the gateway's types, or raises `BadItem`."""

    def configuration(self, item: Item) -> Configuration | None:
        """Decode a configuration; return None if the item is not one."""

    def target(self, item: Item) -> TargetEntry:
        """Decode a target's registration entry."""

    def evacuated_domain(self, item: Item) -> str:
        """Return the failure domain whose targets must receive no requests."""


class Store(Protocol):
    """The platform's object store.

    Calls raise `StoreUnavailable`, `HistoryGone` (watch), or `ItemExists`.
    """

    async def list(self, collection: Collection, allow_stale: bool = False) -> Snapshot:
        """Return all objects of a collection, seconds old if `allow_stale` is set."""

    async def watch(
        self, collection: Collection, revision: int, wait_s: float
    ) -> Changes:
        """Return the changes after a revision, waiting up to `wait_s` for the first.

        Also raises `StoreUnavailable` if the response is overdue by a second.
        """

    async def create(self, collection: Collection, name: str, value: Any):
        """Create an object, or raise `ItemExists`."""

    async def replace(self, collection: Collection, item: Item, value: Any):
        """Replace an object if its revision still matches the item's."""


@define
class PlatformAdapter:
    """The implementations that a platform adapter passes to the gateway."""

    wire: Wire
    decoder: Decoder
    store: Store
