"""A versioned document in the platform's object store.

The text of the document is divided into named segments. A segment is immutable
and stored under the digest of its bytes. A revision lists the digests of all
segments, its parent, the author, the reason and the time of the change. One root
object contains the newest revision. A conditional write of the root commits a
change atomically.
"""

import json

import trio
from attrs import asdict, field, frozen

from .digests import content_digest
from .errors import (
    CommitUnconfirmed,
    DocumentError,
    ObjectMissing,
    OutcomeUnknown,
    PlatformError,
    PlatformUnavailable,
    SegmentMissing,
    StaleBase,
    VersionConflict,
)
from .platform import ABSENT, Platform

ROOT_KIND = "document-root"
REVISION_KIND = "document-revision"
SEGMENT_KIND = "document-segment"
RECENT_CHANGES = 64
COMMIT_ATTEMPTS = 6
RETRY_DELAY_S = 0.25
EMPTY_VERSION = 0


@frozen
class Revision:
    """One version of the document.

    Parameters
    ----------
    version : int
        1 for the first revision, incremented by each change.
    change_id : str
        Id chosen by the author of the change. It identifies the change when the
        answer to a write is lost.
    parent_change_id : str
        Id of the preceding change, empty for the first.
    segments : dict of str to str
        Digest of each segment, by the segment's name.
    author, reason : str
        Author of the change and the reason for it.
    changed_at : str
        Date and time in ISO 8601, UTC.
    """

    version: int
    change_id: str
    parent_change_id: str
    segments: dict[str, str]
    author: str
    reason: str
    changed_at: str

    def to_bytes(self) -> bytes:
        """Serialize the revision as JSON."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Revision":
        """Parse a revision from JSON, or raise `DocumentError`."""
        try:
            return cls(**json.loads(data))
        except (ValueError, TypeError) as error:
            raise DocumentError(f"not a revision: {error}") from error


EMPTY_REVISION = Revision(EMPTY_VERSION, "", "", {}, "", "", "")


@frozen
class Root:
    """The root object, with the newest revision and the ids of recent changes."""

    revision: Revision
    recent_change_ids: list[str] = field(factory=list)
    object_version: int = ABSENT

    def to_bytes(self) -> bytes:
        """Serialize the root as JSON, without its object version."""
        return json.dumps(
            {
                "revision": asdict(self.revision),
                "recent_change_ids": self.recent_change_ids,
            },
            sort_keys=True,
        ).encode()


@frozen
class Change:
    """A requested change of the document.

    Parameters
    ----------
    base_version : int
        Version that the author based the change on. The change is rejected if
        this is no longer the newest version.
    segments : dict of str to bytes
        The complete new text, by segment name.
    change_id, author, reason, changed_at : str
        As in `Revision`.
    """

    base_version: int
    segments: dict[str, bytes]
    change_id: str
    author: str
    reason: str
    changed_at: str


class DocumentStore:
    """Reads and commits versions of the document in the platform's store."""

    def __init__(self, platform: Platform):
        self.platform = platform

    async def root(self) -> Root:
        """Return the stored root, or an empty one if there is none yet."""
        try:
            stored = await self.platform.get(ROOT_KIND, ROOT_KIND)
        except ObjectMissing:
            return Root(EMPTY_REVISION)
        return root_from_stored(stored)

    async def wait_for_newer(self, known: Root) -> Root:
        """Wait until the stored root differs from the known one, and return it."""
        return root_from_stored(
            await self.platform.wait_for_change(
                ROOT_KIND, ROOT_KIND, known.object_version
            )
        )

    async def segment(self, digest: str) -> bytes:
        """Return a segment by its digest, or raise `SegmentMissing`."""
        try:
            stored = await self.platform.get(SEGMENT_KIND, digest)
        except PlatformError as error:
            raise SegmentMissing(f"segment {digest}: {error}") from error
        return stored.value

    async def segments(self, revision: Revision) -> dict[str, bytes]:
        """Return all segments of a revision by name."""
        return {
            name: await self.segment(digest)
            for name, digest in revision.segments.items()
        }

    async def history(self, limit: int) -> list[Revision]:
        """Return the newest revisions, newest first, at most `limit`."""
        revision = (await self.root()).revision
        revisions = []
        while revision.version and len(revisions) < limit:
            revisions.append(revision)
            if not revision.parent_change_id:
                break
            revision = await self.revision(revision.parent_change_id)
        return revisions

    async def revision(self, change_id: str) -> Revision:
        """Return the revision that a change created."""
        stored = await self.platform.get(REVISION_KIND, change_id)
        return Revision.from_bytes(stored.value)

    async def commit(self, change: Change) -> Revision:
        """Commit a change atomically and exactly once.

        Raises
        ------
        StaleBase
            If the document has been changed since `change.base_version`.
        CommitUnconfirmed
            If the store did not confirm the write in any attempt. The same change,
            with the same id, can safely be retried.
        """
        digests = {n: content_digest(text) for n, text in change.segments.items()}
        last_error = None
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await trio.sleep(RETRY_DELAY_S * attempt)
            try:
                return await self._commit_once(change, digests)
            except (OutcomeUnknown, PlatformUnavailable, VersionConflict) as error:
                # If an answer was lost, the change may have been committed even
                # though it seems to have failed, and a blind retry would apply it
                # twice. The next attempt therefore reads the root first and looks
                # for its own change id.
                last_error = error
        raise CommitUnconfirmed(
            f"the store did not confirm change {change.change_id}: {last_error}"
        ) from last_error

    async def _commit_once(self, change: Change, digests: dict[str, str]) -> Revision:
        root = await self.root()
        if change.change_id in root.recent_change_ids:
            return await self.revision(change.change_id)
        if root.revision.version != change.base_version:
            raise StaleBase(change.base_version, root.revision.version)
        await self._store_new_segments(change, digests, root.revision)
        revision = Revision(
            version=change.base_version + 1,
            change_id=change.change_id,
            parent_change_id=root.revision.change_id,
            segments=digests,
            author=change.author,
            reason=change.reason,
            changed_at=change.changed_at,
        )
        await self._create(REVISION_KIND, change.change_id, revision.to_bytes())
        recent = [*root.recent_change_ids, change.change_id][-RECENT_CHANGES:]
        await self.platform.put(
            ROOT_KIND,
            ROOT_KIND,
            Root(revision, recent).to_bytes(),
            root.object_version,
        )
        return revision

    async def _store_new_segments(
        self, change: Change, digests: dict[str, str], parent: Revision
    ):
        existing = set(parent.segments.values())
        for name, text in change.segments.items():
            if digests[name] not in existing:
                await self._create(SEGMENT_KIND, digests[name], text)

    async def _create(self, kind: str, name: str, value: bytes):
        # Objects are immutable under their name. If the object already exists, an
        # earlier attempt wrote it and the answer was lost.
        try:
            await self.platform.put(kind, name, value, ABSENT)
        except VersionConflict:
            stored = await self.platform.get(kind, name)
            if stored.value != value:
                await self.platform.put(kind, name, value, stored.version)


def root_from_stored(stored) -> Root:
    """Parse the root object, or raise `DocumentError`."""
    try:
        fields = json.loads(stored.value)
        return Root(
            Revision(**fields["revision"]),
            fields["recent_change_ids"],
            stored.version,
        )
    except (ValueError, TypeError, KeyError) as error:
        raise DocumentError(f"the document's root cannot be read: {error}") from error
