"""An in-memory platform that simulates the failures of the real one."""

from collections import Counter

import trio
from attrs import define

from plantainshed_coordination.errors import (
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from plantainshed_coordination.platform import (
    ABSENT,
    MAX_VALUE_BYTES,
    ListedVm,
    StoredObject,
)


@define
class PlatformFaults:
    """The faults that the platform currently simulates.

    Parameters
    ----------
    down : bool
        Whether every call fails without any effect.
    delay_s : float
        Delay of each call.
    lose_answers : int
        Number of upcoming writes that take effect but raise `OutcomeUnknown`,
        as if the response were lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class MemoryPlatform:
    """The `Platform` protocol with an object store and a VM list in memory.

    Attributes
    ----------
    objects : dict of (str, str) to StoredObject
        Stored objects by kind and name.
    vms : dict of str to ListedVm
        The VM list that `list_vms` returns, by name.
    faults : PlatformFaults
    calls : collections.Counter
        Number of calls by operation.
    """

    def __init__(self):
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.vms: dict[str, ListedVm] = {}
        self.faults = PlatformFaults()
        self.calls = Counter()
        self._changed = trio.Condition()
        self._last_version = 0

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, or raise `ObjectMissing`."""
        await self._begin_call("get")
        return self._find(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Write an object if it has the expected version; return its new version."""
        await self._begin_call("put")
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformUnavailable(f"{kind}/{name}: value of {len(value)} bytes")
        stored = self.objects.get((kind, name))
        if (stored.version if stored else ABSENT) != expected_version:
            raise VersionConflict(f"{kind}/{name} is not at {expected_version}")
        self._last_version += 1
        version = self._last_version
        self.objects[kind, name] = StoredObject(kind, name, version, value)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise OutcomeUnknown(f"PUT {kind}/{name}: the response was lost")
        return version

    async def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""
        await self._begin_call("list")
        return [item for item in self.objects.values() if item.kind == kind]

    async def wait_for_change(
        self, kind: str, name: str, known_version: int
    ) -> StoredObject:
        """Wait until the object's version differs from the known one; return it."""
        await self._begin_call("watch")
        while True:
            stored = self.objects.get((kind, name))
            if stored and stored.version != known_version:
                return stored
            async with self._changed:
                await self._changed.wait()
            if self.faults.down:
                raise PlatformUnavailable("the platform is down")

    async def list_vms(self) -> list[ListedVm]:
        """Return the VM list."""
        await self._begin_call("vms")
        return list(self.vms.values())

    async def set_down(self, down: bool):
        """Begin or end an outage; its start makes all waiting watches fail."""
        self.faults.down = down
        async with self._changed:
            self._changed.notify_all()

    async def _begin_call(self, call):
        self.calls[call] += 1
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        else:
            await trio.lowlevel.checkpoint()
        if self.faults.down:
            raise PlatformUnavailable("the platform is down")

    def _find(self, kind, name):
        try:
            return self.objects[kind, name]
        except KeyError:
            raise ObjectMissing(f"{kind}/{name}") from None
