"""The interface that this library requires of the platform's object store.

The store holds small values (up to `MAX_VALUE_BYTES`), each identified by a kind
and a name. Each value has a version, and a write succeeds only if the version is
still the one that the writer expects. A watch counts as one call, however long it
waits.
"""

from typing import Protocol

from attrs import frozen

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0


@frozen
class StoredObject:
    """An object in the store.

    Parameters
    ----------
    kind : str
        Group of objects that can be listed and watched together.
    name : str
        Name, unique within its kind.
    version : int
        Increases with each write. `ABSENT` means that the object does not exist.
    value : bytes
        At most `MAX_VALUE_BYTES`.
    """

    kind: str
    name: str
    version: int
    value: bytes


@frozen
class ListedVm:
    """An entry of the platform's list of VMs, which lags behind the actual state.

    Parameters
    ----------
    vm : str
        Name of the VM.
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    vm: str
    leaving: bool


class Platform(Protocol):
    """The platform's object store and list of VMs.

    Every method may raise `PlatformUnavailable`. Writes may also raise
    `OutcomeUnknown` if the answer was lost.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, or raise `ObjectMissing`."""

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Write an object if its version is `expected_version`.

        `ABSENT` creates it. Returns the new version, or raises
        `VersionConflict`.
        """

    async def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""

    async def wait_for_change(
        self, kind: str, name: str, known_version: int
    ) -> StoredObject:
        """Wait until the object's version differs from `known_version`; return it."""

    async def list_vms(self) -> list[ListedVm]:
        """Return the live and leaving VMs as last known to the platform."""
