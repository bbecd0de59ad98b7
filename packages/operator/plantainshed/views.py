"""What operators ask: the document, its history, and the state of the fleet."""

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
    """The document as it is stored now, with its revision."""

    revision: Revision
    document: Document


async def load_current(context: OperatorContext) -> StoredDocument:
    """Return the stored document, an empty one before the first."""
    try:
        revision = (await context.store.root()).revision
        segments = await context.store.segments(revision)
    except CoordinationError as error:
        raise Unreachable(f"the document cannot be read: {error}") from error
    return StoredDocument(revision, from_segments(segments))


async def history(context: OperatorContext, limit: int) -> list[Revision]:
    """Return the newest revisions, newest first."""
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
    """Return what the first VM that can be reached knows of the fleet.

    VMs that cannot be reached are listed with what is known of them last.
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
    tried = "; ".join(failures) or "the settings name no control port"
    raise Unreachable(f"no entry VM could be asked: {tried}")
