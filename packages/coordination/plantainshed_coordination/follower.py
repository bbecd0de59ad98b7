"""Keeps a local copy of a versioned document up to date.

Two VMs of each failure domain watch the store. The other VMs learn of a new
version from heartbeats and fetch the missing segments from a peer that has them.
A version is installed as a whole, after validation, and only if it is newer than
the installed one.
"""

import contextlib
import random
from collections.abc import Callable

import trio

from .digests import content_digest, rendezvous_order
from .errors import CoordinationError, SegmentMissing
from .members import Liveness
from .membership import Membership
from .peer_pb2 import MemberRecord
from .transport import BulkSource
from .versioned import EMPTY_REVISION, DocumentStore, Revision, Root

WATCHERS = 2
POLL_S = 1.0
# Interval between reads of the root in addition to the watch. A watch that waits
# for a change cannot be distinguished from one that the store never registered.
STORE_POLL_S = 2.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
MAX_PEERS_TRIED = 3
# Minimum and maximum timeout for fetching the whole document from one peer. The
# timeout doubles after each round in which no peer delivers the document in time.
FETCH_TIMEOUT_MIN_S = 1.0
FETCH_TIMEOUT_MAX_S = 16.0
REVISION_NAME = "revision"
SEGMENT_PREFIX = "segment/"

Install = Callable[[Revision, dict[str, bytes]], None]


class DocumentFollower:
    """Keeps this VM at the newest version available from the store or a peer.

    Parameters
    ----------
    store : DocumentStore
    bulk : BulkSource
    membership : Membership
    install : callable
        Receives a revision and all its segments and activates them. If it
        raises a `CoordinationError`, the active version does not change.

    Attributes
    ----------
    revision : Revision
        The active version.
    refused : dict of int to str
        Versions that could not be installed, with the error message of each.
    is_watching : bool
        Whether this VM watches the store for its failure domain.
    store_heard_at : float
        When the store last answered a read or a watch of this VM.
    """

    def __init__(
        self,
        store: DocumentStore,
        bulk: BulkSource,
        membership: Membership,
        install: Install,
    ):
        self.store = store
        self.bulk = bulk
        self.membership = membership
        self.install = install
        self.revision = EMPTY_REVISION
        self.segments: dict[str, bytes] = {}
        self.refused: dict[int, str] = {}
        self.installed = trio.Event()
        self.store_heard_at = trio.current_time()
        self.is_watching = False
        self._newer_version_seen = trio.Event()
        membership.on_change.append(self._on_record_change)

    async def run(self):
        """Keep the document up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_store)
            nursery.start_soon(self._poll_store)
            nursery.start_soon(self._follow_peers)

    def value(self, name: str) -> bytes | None:
        """Return a value for a peer: the serialized revision or one of its segments."""
        if name == REVISION_NAME and self.revision.version:
            return self.revision.to_bytes()
        return self.segments.get(name.removeprefix(SEGMENT_PREFIX))

    async def _watch_store(self):
        """Watch the store while this VM is one of its failure domain's watchers."""
        root = Root(EMPTY_REVISION)
        delay_s = RETRY_MIN_S
        while True:
            self.is_watching = self.membership.is_selected_for(
                "document-watch", WATCHERS
            )
            if not self.is_watching:
                await trio.sleep(POLL_S)
                continue
            try:
                newer = await self.store.wait_for_newer(root)
                await self._install_root(newer)
                # Set only after a successful install, so that the next watch
                # reports a version again if its segments could not be read.
                root = newer
                delay_s = RETRY_MIN_S
            except CoordinationError:
                # Jitter prevents all watchers of the fleet from reconnecting at the
                # same moment when the store recovers.
                await trio.sleep(delay_s * random.uniform(0.5, 1.5))
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    async def _poll_store(self):
        """Poll the root periodically, in case a watch is never answered."""
        while True:
            await trio.sleep(STORE_POLL_S)
            if not self.is_watching:
                continue
            with contextlib.suppress(CoordinationError):
                await self._install_root(await self.store.root())

    async def _install_root(self, root: Root):
        self.store_heard_at = trio.current_time()
        if root.revision.version not in self.refused:
            await self._install_if_newer(root.revision, self.store.segment)

    def _on_record_change(self, record: MemberRecord):
        if record.document_version > self.revision.version:
            self._newer_version_seen.set()

    async def _follow_peers(self):
        timeout_s = FETCH_TIMEOUT_MIN_S
        while True:
            with trio.move_on_after(POLL_S):
                await self._newer_version_seen.wait()
            self._newer_version_seen = trio.Event()
            records = self._peers_with_newer_version()
            if not records or await self._install_from_first_peer(records, timeout_s):
                timeout_s = FETCH_TIMEOUT_MIN_S
            else:
                timeout_s = min(FETCH_TIMEOUT_MAX_S, 2 * timeout_s)

    async def _install_from_first_peer(
        self, records: list[MemberRecord], timeout_s: float
    ) -> bool:
        """Install the document from the first peer that delivers it in time.

        Returns whether any peer did.
        """
        for record in records:
            # The timeout keeps a hung peer from blocking fetches from other peers,
            # including peers that this VM learns of later.
            with contextlib.suppress(CoordinationError), trio.move_on_after(timeout_s):
                await self._install_from_peer(record)
                return True
        return False

    def _peers_with_newer_version(self) -> list[MemberRecord]:
        """Return peers with a newer version, preferably of the own domain.

        If no peer of the own domain has a newer version, two VMs of the domain
        fetch from other domains. A change thus crosses each link a few times
        rather than once per VM.
        """
        own = self.membership.identity
        near, far = [], []
        for record in self.membership.records():
            if record.document_version <= self.revision.version:
                continue
            if self.membership.liveness(record.vm) is not Liveness.ALIVE:
                continue
            is_near = record.failure_domain == own.failure_domain
            (near if is_near else far).append(record)
        if near or not self.membership.is_selected_for("document-far", WATCHERS):
            far = []
        by_name = {record.vm: record for record in near or far}
        order = rendezvous_order(own.vm, by_name)
        return [by_name[vm] for vm in order[:MAX_PEERS_TRIED]]

    async def _install_from_peer(self, record: MemberRecord):
        async def segment(digest: str) -> bytes:
            return await self.bulk.fetch(record.control, SEGMENT_PREFIX + digest)

        data = await self.bulk.fetch(record.control, REVISION_NAME)
        await self._install_if_newer(Revision.from_bytes(data), segment)

    async def _install_if_newer(self, revision: Revision, fetch_segment):
        """Install a revision if it is newer, fetching only the changed segments."""
        if revision.version <= self.revision.version:
            return
        segments = {}
        for digest in revision.segments.values():
            segments[digest] = self.segments.get(digest)
            if segments[digest] is None:
                segments[digest] = await self._fetch(digest, fetch_segment)
        if revision.version <= self.revision.version:
            # A newer or equal version was installed from another source during
            # the fetch. Installing this one could revert to an older version.
            return
        texts = {name: segments[d] for name, d in revision.segments.items()}
        try:
            self.install(revision, texts)
        except CoordinationError as error:
            self.refused[revision.version] = str(error)
            raise
        self.segments = segments
        self.revision = revision
        self.installed.set()
        self.membership.update_record(document_version=revision.version)

    async def _fetch(self, digest: str, fetch_segment) -> bytes:
        data = await fetch_segment(digest)
        if content_digest(data) != digest:
            raise SegmentMissing(f"segment {digest} does not match its digest")
        return data
