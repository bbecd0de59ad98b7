"""The store's list of VMs in a limits simulation.

Answers may be old, and a list that is read in pages can change between two pages.
"""

import random
from typing import Protocol

import trio
from attrs import define, field

from plantainshed_gateway.errors import ItemExists, StoreUnavailable
from plantainshed_gateway.ports import Collection, Item, Snapshot

CALL_S = 0.004
# Small, so that the lists of small fleets have several pages too.
ITEMS_PER_PAGE = 4


class StoreUser(Protocol):
    """A VM that calls the store."""

    def can_reach_store(self) -> bool:
        """Return whether the store answers this VM."""

    async def wait_until_resumed(self):
        """Wait until the VM's process runs."""


@define
class ModelStore:
    """All states that the list of VMs has had.

    Attributes
    ----------
    states : list of (float, dict of str to Item)
        Each state and the time since which it is in force, oldest first.
    max_age_s : float
        Largest age of an answer for which the caller allows one.
    lost_writes : float
        Share of the writes that take effect but are not answered.
    unreadable_s : float
        How long the store answers nothing to a VM after it lost an answer to it.
    rng : random.Random
        Draws the ages of answers, and which answers are lost.
    """

    states: list[tuple[float, dict[str, Item]]] = field(
        factory=lambda: [(float("-inf"), {})]
    )
    max_age_s: float = 0.0
    lost_writes: float = 0.0
    unreadable_s: float = 0.0
    rng: random.Random = field(factory=lambda: random.Random(0))

    @property
    def newest(self) -> dict[str, Item]:
        """The items now, by name."""
        return self.states[-1][1]

    @property
    def revision(self) -> int:
        """Number of changes so far."""
        return len(self.states) - 1

    def put_before_start(self, name: str, value: dict):
        """Add an item that even the oldest answers contain."""
        item = Item(name, self.revision + 1, value)
        self.states.append((float("-inf"), {**self.newest, name: item}))

    def put(self, name: str, value: dict):
        """Create or replace an item."""
        item = Item(name, self.revision + 1, value)
        self.states.append((trio.current_time(), {**self.newest, name: item}))

    def delete(self, name: str):
        """Remove an item."""
        items = {n: item for n, item in self.newest.items() if n != name}
        self.states.append((trio.current_time(), items))

    def read(self, age_s: float) -> tuple[int, dict[str, Item]]:
        """Return the revision and the items at a time in the past."""
        moment = trio.current_time() - age_s
        revision = max(i for i, (at, _) in enumerate(self.states) if at <= moment)
        return revision, self.states[revision][1]

    def draw_age_s(self) -> float:
        """Return the age of the next answer for which the caller allows one."""
        return self.rng.uniform(0.0, self.max_age_s) if self.max_age_s else 0.0


@define
class StoreConnection:
    """The store as one VM calls it; implements part of the gateway's `Store`."""

    store: ModelStore
    user: StoreUser
    unreadable_until: float = float("-inf")

    async def list(self, collection: Collection, allow_stale: bool = False) -> Snapshot:
        """Return the list, whose pages are read one after the other."""
        items: list[Item] = []
        first_revision, after = None, ""
        age_s = self.store.draw_age_s() if allow_stale else 0.0
        while True:
            await self._call()
            revision, current = self.store.read(age_s)
            first_revision = revision if first_revision is None else first_revision
            names = sorted(name for name in current if name > after)
            items.extend(current[name] for name in names[:ITEMS_PER_PAGE])
            if len(names) <= ITEMS_PER_PAGE:
                return Snapshot(tuple(items), first_revision)
            after = names[ITEMS_PER_PAGE - 1]

    async def create(self, collection: Collection, name: str, value: dict):
        """Create an item, or raise `ItemExists`."""
        await self._call()
        if name in self.store.newest:
            raise ItemExists(self.store.newest[name])
        self._put(name, value)

    async def replace(self, collection: Collection, item: Item, value: dict):
        """Replace an item unless it has changed since."""
        await self._call()
        current = self.store.newest.get(item.name)
        if current is None or current.revision != item.revision:
            raise ItemExists(current)
        self._put(item.name, value)

    def _put(self, name: str, value: dict):
        self.store.put(name, value)
        if self.store.lost_writes and self.store.rng.random() < self.store.lost_writes:
            self.unreadable_until = trio.current_time() + self.store.unreadable_s
            raise StoreUnavailable("no answer")

    async def _call(self):
        await trio.sleep(CALL_S)
        await self.user.wait_until_resumed()
        is_unreadable = trio.current_time() < self.unreadable_until
        if is_unreadable or not self.user.can_reach_store():
            raise StoreUnavailable("no answer")
