"""What this library needs from the platform's object store.

The store keeps small values (up to `MAX_VALUE_BYTES`) under a kind and a name,
gives each a version, and writes on the condition that the version is still the
one that the writer saw. A waiting watch counts as one call.
"""

from typing import Protocol

from attrs import frozen

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0


@frozen
class StoredObject:
    """One object as the store holds it.

    Parameters
    ----------
    kind : str
        Group of objects that can be listed and watched together.
    name : str
        Name, unique within its kind.
    version : int
        Grows with each write; `ABSENT` stands for an object that is not there.
    value : bytes
        At most `MAX_VALUE_BYTES`.
    """

    kind: str
    name: str
    version: int
    value: bytes


@frozen
class ListedVm:
    """A line of the platform's list of VMs, which lags behind what is true.

    Parameters
    ----------
    vm : str
        Name of the VM.
    leaving : bool
        Whether the platform is about to take the VM away.
    """

    vm: str
    leaving: bool


class Platform(Protocol):
    """The object store and the list of VMs.

    Every method may raise `PlatformUnavailable`; the writes may also raise
    `OutcomeUnknown` when the answer was lost.
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
        """Return the object as soon as its version is not `known_version`."""

    async def list_vms(self) -> list[ListedVm]:
        """Return the live and leaving VMs as the platform last knew them."""
