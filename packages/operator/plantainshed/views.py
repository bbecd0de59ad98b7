"""Read operations: the document, its history, and the status of the fleet."""

import orjson
from attrs import frozen

from plantainshed_coordination.errors import (
    CoordinationError,
    DocumentError,
    PeerError,
    PlatformError,
)
from plantainshed_coordination.versioned import Revision
from plantainshed_entry.commands import STATUS
from plantainshed_model.codec import from_segments
from plantainshed_model.document import Document

from .context import OperatorContext
from .errors import Unreachable


@frozen
class StoredDocument:
    """A document from the store, with its revision."""

    revision: Revision
    document: Document


async def load_current(context: OperatorContext) -> StoredDocument:
    """Return the newest document, or an empty one if none has been stored yet."""
    try:
        revision = (await context.store.root()).revision
        segments = await context.store.segments(revision)
    except CoordinationError as error:
        raise Unreachable(f"the document cannot be read: {error}") from error
    return StoredDocument(revision, from_segments(segments))


async def history(context: OperatorContext, limit: int) -> list[Revision]:
    """Return the most recent revisions, newest first."""
    try:
        return await context.store.history(limit)
    except (PlatformError, DocumentError) as error:
        raise Unreachable(f"the history cannot be read: {error}") from error


async def load_version(context: OperatorContext, version: int) -> StoredDocument:
    """Return an older version of the document."""
    revisions = await history(context, limit=1_000_000)
    for revision in revisions:
        if revision.version == version:
            segments = await context.store.segments(revision)
            return StoredDocument(revision, from_segments(segments))
    raise Unreachable(f"version {version} is not in the history")


async def fleet_status(context: OperatorContext) -> dict:
    """Return the status of the fleet, as known to the first VM that answers.

    For a VM that this VM cannot reach, the status contains the last known values.
    """
    failures = []
    for control in context.settings.controls:
        try:
            value = await context.control.command(
                control, STATUS, b"{}", context.settings.credential
            )
        except PeerError as error:
            failures.append(str(error))
            continue
        return orjson.loads(value)
    tried = "; ".join(failures) or "the settings list no control ports"
    raise Unreachable(f"no entry VM could be asked: {tried}")
