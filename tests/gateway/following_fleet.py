"""A fleet whose VMs also follow a store, over links with latency."""

import trio

from plantainshed_gateway.errors import StoreUnavailable
from plantainshed_gateway.freshness_poller import FreshnessPoller, poll_interval_s
from plantainshed_gateway.ports import Change, Changes, Collection, Item, Snapshot
from plantainshed_gateway.replication import Follower
from plantainshed_gateway.watch_lease import WatchLease

from .gateway_support import BOUNDS, RecordingLog
from .linked_fleet import LinkedFleet, LinkedVm

FOLLOWED = (Collection.CONFIGURATION, Collection.TARGETS, Collection.EVACUATIONS)
CALL_TIMEOUT_S = 1.0


class FleetStore:
    """One revision counter and the newest changes of all collections.

    Attributes
    ----------
    calls : int
        Number of calls received, a waiting watch being one.
    """

    def __init__(self):
        self.revision = 10
        self.history: list[tuple[Collection, Change]] = []
        self.changed = trio.Event()
        self.calls = 0

    def put(self, collection: Collection, name: str):
        self.revision += 1
        change = Change(Item(name, self.revision, None), False)
        self.history.append((collection, change))
        self.changed.set()
        self.changed = trio.Event()

    def since(self, collection: Collection, revision: int) -> tuple[Change, ...]:
        return tuple(
            change
            for of, change in self.history
            if of is collection and change.item.revision > revision
        )


class StoreLink:
    """One VM's calls to the store.

    Attributes
    ----------
    mode : str
        ``normal``, ``hanging`` or ``rejecting``.
    """

    def __init__(self, fleet: "FollowingFleet"):
        self.fleet = fleet
        self.mode = "normal"

    async def list(self, collection):
        await self.pass_call(0.0)
        changes = self.fleet.store.since(collection, 0)
        return Snapshot(tuple(c.item for c in changes), self.fleet.store.revision)

    async def watch(self, collection, revision, wait_s):
        store = self.fleet.store
        await self.pass_call(wait_s)
        with trio.move_on_after(wait_s):
            while not store.since(collection, revision) or self.mode == "hanging":
                await store.changed.wait()
        await trio.sleep(self.fleet.one_way_s)
        return Changes(store.since(collection, revision), store.revision)

    async def pass_call(self, wait_s: float):
        self.fleet.store.calls += 1
        if self.mode == "hanging":
            await trio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await trio.sleep(self.fleet.one_way_s)
        if self.mode == "rejecting":
            raise StoreUnavailable("rejected")


class FollowingVm(LinkedVm):
    """A VM that follows the store like a gateway."""

    def __init__(self, fleet: "FollowingFleet", *rest):
        self.followers: dict[Collection, Follower] = {}
        super().__init__(fleet, *rest)
        self.link = StoreLink(fleet)
        self.log = RecordingLog()
        self.followers |= {
            collection: Follower(
                self.link,
                collection,
                self.on_change,
                self.log,
                self.speakers.is_store_watched_by_speakers,
                contact=self.contact,
            )
            for collection in FOLLOWED
        }
        self.poller = FreshnessPoller(
            self.followers, self.speakers.is_store_poller, self.name
        )
        self.lease = WatchLease(
            self.speakers,
            self.poller,
            self.poll_interval_s,
            lambda: self.peers.send_now(False),
            self.log,
        )
        self.messages.nursery = fleet.nursery
        self.messages.followers = self.followers
        self.messages.fetch_state = fleet.fetch_state

    def on_change(self, collection: Collection):
        if self.speakers.is_speaker:
            self.messages.nursery.start_soon(self.peers.send_now, False)

    def make_own_heartbeat(self, usage, **more):
        if not self.followers:
            return super().make_own_heartbeat(usage, **more)
        more["copy_age_s"] = self.poller.copy_age_s()
        return super().make_own_heartbeat(
            usage,
            newest_revisions={
                name.value: follower.replica.changed_at_revision
                for name, follower in self.followers.items()
            },
            is_store_reachable=all(f.is_connected for f in self.followers.values()),
            **more,
        )

    def knows(self, revision: int) -> bool:
        """Return whether this VM's copy of the targets has a revision."""
        return self.followers[Collection.TARGETS].replica.revision >= revision

    async def run(self, after_s: float):
        await trio.sleep(after_s)
        async with trio.open_nursery() as nursery:
            for follower in self.followers.values():
                nursery.start_soon(follower.run)
            nursery.start_soon(self.poller.run, self.poll_interval_s)
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self.peers.send_heartbeats)

    def poll_interval_s(self) -> float:
        return poll_interval_s(BOUNDS.in_force_within_s)


class FollowingFleet(LinkedFleet):
    """A fleet that follows one store; see `LinkedFleet` for the parameters."""

    def __init__(self, *rest, **more):
        self.store = FleetStore()
        super().__init__(*rest, **more)

    def make_vm(self, *rest) -> FollowingVm:
        return FollowingVm(self, *rest)

    async def fetch_state(self, address: str, collection: Collection, after: int):
        ip = address.rpartition(":")[0]
        await trio.sleep(2 * self.one_way_s)
        if ip not in self.vms:
            raise StoreUnavailable("connection refused")
        replica = self.vms[ip].followers[collection].replica
        changes = replica.changes_since(after)
        if changes is None:
            return Snapshot(tuple(replica.items.values()), replica.revision)
        return changes
