"""Replicates the store's collections from the store or from peers.

`Follower.run` lists a collection once. After that, a few VMs of each failure domain
watch the store and the other VMs fetch the changes from them: each watch costs a call,
and the store's rate limits grow more slowly than the fleet. The store may reject one VM
while it still serves others. Heartbeats and domain summaries therefore carry the newest
revision that a VM knows, and `catch_up` fetches up to that revision from a peer. A
replica never returns to an older revision.
"""

from collections import deque
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from .errors import HistoryGone, StoreUnavailable
from .logs import DecisionLog
from .ports import Changes, Collection, Item, Snapshot, Store
from .store_contact import StoreContact

# Initial and maximum delay between retries of failed calls to the store. The
# maximum is below the 2 s in which a configuration must be in force.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
# How long one watch waits for a change, and how much longer its response may
# take before the watch counts as dead. Polls (`freshness_poller`) and peers
# (`PEER_GRACE_S`) usually detect a dead watch earlier; this is the upper bound.
WATCH_TIMEOUT_S = 20.0
WATCH_MARGIN_S = 2.0
# Pause after a change before the next watch. Changes come in bursts and each
# watch costs a call. The pause is short compared with the 2 s in which a change
# must be in force.
COALESCE_S = 0.2
# How long the own watch may lag behind a peer before this VM fetches from the
# peer: longer than a watch response takes between regions (about 30 ms), and
# short compared with the 2 s in which a change must be in force.
PEER_GRACE_S = 0.25
# The same grace period for a VM that gets changes from the speakers of its failure
# domain. Summaries of other domains arrive half a second after the speakers'
# announcements, so a change that is still missing then did not come from the speakers.
DELEGATED_GRACE_S = 0.5
# Maximum number of peers from which one collection is fetched at the same time.
MAX_CONCURRENT_FETCHES = 2
# Time after startup in which heartbeats of the own failure domain arrive and show
# whether other VMs watch the store.
HEARTBEAT_WAIT_S = 1.0
# How often a VM that relies on other VMs' watches checks that they still watch.
DELEGATION_CHECK_S = 0.25
# Batches of changes kept for peers; a few minutes of usual changes.
MAX_KEPT_BATCHES = 64

Listener = Callable[[Collection], None]
FetchFromPeer = Callable[[str, Collection, int], Awaitable[Snapshot | Changes]]
IsWatchedByOthers = Callable[[], bool]
AwaitTurn = Callable[["Replica"], Awaitable[None]]


@define
class Replica:
    """A local copy of one collection.

    Attributes
    ----------
    items : dict of str to Item
    revision : int
        Store revision up to which the copy is complete; 0 before the first list.
    changed_at_revision : int
        Revision of the newest known change.
    current_at : float
        Time up to which the copy contains all changes of the store.
    is_confirmed : bool
        False after a pause of this process until the collection is listed again.
    recent : deque of (int, Changes)
        The last batches of changes, each with the replica's revision before it.
    """

    collection: Collection
    items: dict[str, Item] = field(factory=dict)
    revision: int = 0
    changed_at_revision: int = 0
    current_at: float = float("-inf")
    is_confirmed: bool = True
    recent: deque[tuple[int, Changes]] = field(
        factory=lambda: deque(maxlen=MAX_KEPT_BATCHES)
    )

    @property
    def is_initialized(self) -> bool:
        """Whether the replica has ever received any state."""
        return self.revision > 0

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the copy by a newer snapshot; return whether anything changed."""
        # An older snapshot also confirms the copy, which is then already newer.
        self.is_confirmed = True
        if snapshot.revision < self.revision:
            return False
        items = {item.name: item for item in snapshot.items}
        changed = items != self.items or not self.is_initialized
        if set(self.items) - set(items):
            # A list does not show the revision of a deletion.
            self.changed_at_revision = snapshot.revision
        # The default of 1 marks a complete but empty copy. Without it, a VM that
        # starts during a store outage could not detect that a peer has one.
        newest = max((item.revision for item in items.values()), default=1)
        self.changed_at_revision = max(self.changed_at_revision, newest)
        self.items = items
        self.revision = snapshot.revision
        self.recent.clear()
        return changed

    def apply_changes(self, changes: Changes) -> bool:
        """Apply the changes of a watch, poll or peer; return whether any applied."""
        if changes.revision < self.revision:
            # Outdated in transit: applying it could restore a deleted object.
            return False
        if changes.revision == self.revision:
            return False
        changed = False
        for change in changes.changes:
            item = change.item
            known = self.items.get(item.name)
            if known is not None and known.revision > item.revision:
                continue
            changed = True
            if change.is_deleted:
                self.items.pop(item.name, None)
            else:
                self.items[item.name] = item
            self.changed_at_revision = max(self.changed_at_revision, item.revision)
        if changes.changes:
            self.recent.append((self.revision, changes))
        self.revision = max(self.revision, changes.revision)
        return changed

    def mark_complete(self, revision: int, at: float):
        """Record that the collection had no changes after a revision at a time."""
        self.revision = max(self.revision, revision)
        self.note_current(at)

    def note_current(self, at: float):
        """Record that the copy contained all changes of the store at a time."""
        self.current_at = max(self.current_at, at)

    def changes_since(self, revision: int) -> Changes | None:
        """Return the changes after a revision, or None if they are no longer kept."""
        if not self.recent or revision < self.recent[0][0]:
            return None
        changes = [
            change
            for _, batch in self.recent
            if batch.revision > revision
            for change in batch.changes
        ]
        return Changes(tuple(changes), self.revision)


class Follower:
    """Keeps the replica of one collection up to date.

    Parameters
    ----------
    store : Store
    collection : Collection
    listener : callable
        Called after each change of the replica.
    log : DecisionLog
    is_watched_by_others : callable, optional
        Returns whether other VMs watch the store for this one. If it is omitted,
        this VM always watches the store itself.
    await_turn : callable, optional
        Awaited with the replica before the first list; see `start_order`.
    contact : StoreContact, optional
        Told of each answer of the store.
    """

    def __init__(
        self,
        store: Store,
        collection: Collection,
        listener: Listener,
        log: DecisionLog,
        is_watched_by_others: IsWatchedByOthers | None = None,
        await_turn: AwaitTurn | None = None,
        contact: StoreContact | None = None,
    ):
        self._await_turn = await_turn
        self._is_watched_by_others = is_watched_by_others
        self.contact = contact
        self.store = store
        self.collection = collection
        self.listener = listener
        self.log = log
        self.replica = Replica(collection)
        self.is_connected = False
        self.disconnected_at: float | None = None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._needs_list = True
        self.is_watch_delegated = False
        self._has_waited_for_heartbeats = False
        self._watch_scope: trio.CancelScope | None = None
        self._is_watch_superseded = False
        # Peers with a pending fetch, and when its request is or was due to be sent.
        self._fetch_started_at: dict[str, float] = {}

    async def run(self):
        """List the collection and follow its changes until cancelled."""
        if self._await_turn is not None:
            await self._await_turn(self.replica)
            self._needs_list = not (
                self.replica.is_initialized and self.replica.is_confirmed
            )
        while True:
            try:
                while self._needs_list:
                    await self._list()
                if self._is_watched_by_others and not self._has_waited_for_heartbeats:
                    await self._wait_for_heartbeats()
                if self._is_watched_by_others and self._is_watched_by_others():
                    await self._delegate_watch()
                else:
                    await self._watch()
            except HistoryGone:
                self._needs_list = True
                self.log.event(
                    "store history gone", collection=self.collection, action="list"
                )
            except StoreUnavailable as error:
                self.mark_disconnected(str(error))
                await trio.sleep(self._retry_delay_s)
                self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)

    async def _list(self):
        self._needs_list = False
        began_at = trio.current_time()
        try:
            snapshot = await self.store.list(self.collection)
        except StoreUnavailable:
            self._needs_list = True
            raise
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self.mark_connected()
        is_changed = self.replica.apply_snapshot(snapshot)
        self.replica.note_current(began_at)
        # If the process was paused during the call, the response may predate the
        # pause and does not confirm the copy.
        self.replica.is_confirmed = not self._needs_list
        if is_changed:
            self.listener(self.collection)

    async def _wait_for_heartbeats(self):
        """Wait for the first heartbeats, which show whether other VMs watch."""
        self._has_waited_for_heartbeats = True
        with trio.move_on_after(HEARTBEAT_WAIT_S):
            while not self._is_watched_by_others() and not self._needs_list:
                await trio.sleep(DELEGATION_CHECK_S)

    async def _delegate_watch(self):
        """Rely on other VMs' watches while they watch the store."""
        self.is_watch_delegated = True
        self.log.event("store watched by others", collection=self.collection)
        while self._is_watched_by_others() and not self._needs_list:
            await trio.sleep(DELEGATION_CHECK_S)
        self.is_watch_delegated = False
        self.log.event("store watched here", collection=self.collection)

    async def _watch(self):
        began_at = trio.current_time()
        with trio.move_on_after(WATCH_TIMEOUT_S + WATCH_MARGIN_S) as scope:
            self._watch_scope, self._is_watch_superseded = scope, False
            changes = await self.store.watch(
                self.collection, self.replica.revision, WATCH_TIMEOUT_S
            )
        self._watch_scope = None
        if scope.cancelled_caught:
            if self._is_watch_superseded:
                self._is_watch_superseded = False
                return
            raise StoreUnavailable("watch timed out without a response")
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self.mark_connected()
        self.replica.note_current(began_at)
        if self.replica.apply_changes(changes):
            self.listener(self.collection)
            await trio.sleep(COALESCE_S)

    async def poll(self) -> int:
        """Fetch missing changes from the store without waiting; return its revision.

        Raises `StoreUnavailable` or `HistoryGone`.
        """
        before = self.replica.revision
        changes = await self.store.watch(self.collection, before, 0.0)
        self.mark_connected()
        if self.replica.apply_changes(changes):
            self.log.event(
                "changes found by a poll",
                collection=self.collection,
                revision_before=before,
                revision=changes.revision,
            )
            self.listener(self.collection)
            self.restart_watch()
        return changes.revision

    def mark_connected(self):
        """Record that the store answers this VM."""
        if self.contact is not None:
            self.contact.note_answer()
        if self.is_connected:
            return
        self.is_connected = True
        self.log.event(
            "store regained",
            collection=self.collection,
            revision=self.replica.revision,
            lost_for_s=self._disconnected_for_s(),
        )
        self.disconnected_at = None

    def mark_disconnected(self, problem: str):
        """Record that the store does not answer this VM."""
        if self.disconnected_at is None:
            self.disconnected_at = trio.current_time()
            self.log.event(
                "store lost",
                collection=self.collection,
                revision=self.replica.revision,
                problem=problem,
            )
        self.is_connected = False

    def _disconnected_for_s(self) -> float:
        if self.disconnected_at is None:
            return 0.0
        return round(trio.current_time() - self.disconnected_at, 3)

    async def catch_up(
        self, peer: str, newest: int, fetch: FetchFromPeer, is_same_domain: bool = False
    ):
        """Fetch the state of a peer that knows a newer change than this VM.

        A watch can stop responding, or the store can reject this VM while it serves
        others. Until that ends, this VM would use outdated routes, keys and targets.
        A peer's state comes from the store, so it is as valid as the store's own
        response.
        """
        if self._must_wait_to_fetch(peer) or self.replica.revision >= newest:
            return
        grace_s = PEER_GRACE_S
        if not self.replica.is_initialized:
            grace_s = 0.0
        elif self.is_watch_delegated:
            grace_s = 0.0 if is_same_domain else DELEGATED_GRACE_S
        self._fetch_started_at[peer] = trio.current_time() + grace_s
        try:
            await trio.sleep(grace_s)
            before = self.replica.revision
            if before >= newest:
                return
            fetched = await fetch(peer, self.collection, before)
            changed = self._apply_fetched(fetched)
            self.log.event(
                "state taken from peer",
                collection=self.collection,
                peer=peer,
                revision_before=before,
                revision=self.replica.revision,
                changed=changed,
            )
            if changed:
                self.listener(self.collection)
            self.restart_watch()
        finally:
            del self._fetch_started_at[peer]

    def _must_wait_to_fetch(self, peer: str) -> bool:
        """Return whether pending fetches must be awaited before asking this peer.

        After `PEER_GRACE_S`, one unresponsive peer no longer prevents a fetch from
        another.
        """
        if (
            peer in self._fetch_started_at
            or len(self._fetch_started_at) >= MAX_CONCURRENT_FETCHES
        ):
            return True
        now = trio.current_time()
        return any(
            now - started_at < PEER_GRACE_S
            for started_at in self._fetch_started_at.values()
        )

    def _apply_fetched(self, fetched: Snapshot | Changes) -> bool:
        if isinstance(fetched, Snapshot):
            return self.replica.apply_snapshot(fetched)
        return self.replica.apply_changes(fetched)

    def restart_watch(self):
        """Cancel the current watch so that a new one starts at the newest revision."""
        if self._watch_scope is not None:
            self._is_watch_superseded = True
            self._watch_scope.cancel()

    def relist(self):
        """Request a full list because the copy may be outdated or incomplete."""
        self._needs_list = True
        self.replica.is_confirmed = False
        self.restart_watch()
