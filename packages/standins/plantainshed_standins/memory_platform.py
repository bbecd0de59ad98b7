"""The platform in memory, able to fail the ways that the real one does."""

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
    """What is wrong with the platform at present.

    Parameters
    ----------
    down : bool
        Every call fails and changes nothing.
    delay_s : float
        Time that each call takes.
    lose_answers : int
        So many of the next writes take effect and then lose their answer.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class MemoryPlatform:
    """An object store and a VM list that live in memory.

    Attributes
    ----------
    faults : PlatformFaults
    calls : collections.Counter
        Calls by name.
    vms : dict of str to ListedVm
        The list as `list_vms` gives it.
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
        """Write an object on the condition of its version."""
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
            raise OutcomeUnknown(f"PUT {kind}/{name}: the answer was lost")
        return version

    async def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""
        await self._begin_call("list")
        return [item for item in self.objects.values() if item.kind == kind]

    async def wait_for_change(
        self, kind: str, name: str, known_version: int
    ) -> StoredObject:
        """Return the object as soon as its version is not the known one."""
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
        """Return the list of VMs."""
        await self._begin_call("vms")
        return list(self.vms.values())

    async def set_down(self, down: bool):
        """Begin or end an outage; waiting watches break at its start."""
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
