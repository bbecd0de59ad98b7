"""Operations that change the stored document, and keys on the running fleet."""

import secrets
from collections.abc import Callable
from datetime import UTC, datetime

import orjson
from attrs import frozen

from plantainshed_coordination.errors import (
    CommitUnconfirmed,
    PeerError,
    PlatformError,
    StaleBase,
)
from plantainshed_coordination.versioned import Change, Revision
from plantainshed_entry.commands import WITHDRAW_KEY
from plantainshed_model import commands
from plantainshed_model.checks import require_valid
from plantainshed_model.codec import to_segments
from plantainshed_model.document import Document
from plantainshed_model.keys import IssuedKey, is_key_id, issue_key
from plantainshed_model.queries import differences

from .context import OperatorContext
from .errors import BadUsage, EditConflict, Unconfirmed, Unreachable
from .views import StoredDocument, load_current

Edit = Callable[[Document], Document]
EDIT_ATTEMPTS = 5
CHANGE_ID_BYTES = 8


@frozen
class Withdrawal:
    """Progress of a key's withdrawal when the command ends.

    Parameters
    ----------
    key_id : str
    notified_control : str
        Address of the control port of the VM that accepted the withdrawal and
        propagates it to the fleet; empty if no VM could be reached.
    revision : Revision or None
        The document revision that records the withdrawal; None if the store could
        not be reached or did not confirm the change.
    """

    key_id: str
    notified_control: str
    revision: Revision | None


async def replace(
    context: OperatorContext,
    base: StoredDocument,
    document: Document,
    reason: str,
    change_id: str = "",
) -> Revision:
    """Store a new document, if the stored one is still the one it was based on.

    Raises
    ------
    InvalidDocument
        With all faults of the document. Nothing was changed.
    EditConflict
        If another change was stored since ``base``, with the differences.
    Unconfirmed
        If it is unknown whether the store applied the change. The message contains
        the change id; repeating the call with this id is safe.
    Unreachable
        If the store could not be reached. Nothing was changed.
    """
    require_valid(document)
    change = Change(
        base_version=base.revision.version,
        segments=to_segments(document),
        change_id=change_id or secrets.token_hex(CHANGE_ID_BYTES),
        author=context.settings.operator,
        reason=reason,
        changed_at=datetime.now(UTC).isoformat(timespec="seconds"),
    )
    try:
        return await context.store.commit(change)
    except StaleBase as error:
        newest = await load_current(context)
        raise EditConflict(
            f"{error}; version {newest.revision.version} is by "
            f"{newest.revision.author}: {newest.revision.reason}",
            differences(base.document, newest.document),
        ) from error
    except CommitUnconfirmed as error:
        raise Unconfirmed(
            f"{error}. Repeat the command with --change-id={change.change_id}; "
            "the change is applied only once."
        ) from error
    except PlatformError as error:
        raise Unreachable(f"nothing was changed: {error}") from error


async def edit(context: OperatorContext, change: Edit, reason: str) -> Revision:
    """Apply an edit to the newest document; retry it on a conflict.

    A small edit, such as adding a drain, can be applied again on top of another
    operator's change. A whole document that a person wrote cannot.
    """
    attempts_left = EDIT_ATTEMPTS
    while True:
        base = await load_current(context)
        attempts_left -= 1
        try:
            return await replace(context, base, change(base.document), reason)
        except EditConflict:
            if not attempts_left:
                raise


async def issue(
    context: OperatorContext, workspace: str, reason: str
) -> tuple[IssuedKey, Revision]:
    """Issue a key. Its text is only in the return value and is not stored."""
    key = issue_key(workspace)
    revision = await edit(
        context, lambda document: commands.add_key(document, key.entry), reason
    )
    return key, revision


async def withdraw(context: OperatorContext, key_id: str, reason: str) -> Withdrawal:
    """Withdraw a key on the running fleet, then record it in the document.

    The fleet is notified first, without going through the store, so that a key can
    be withdrawn during an outage of the store.
    """
    if not is_key_id(key_id):
        raise BadUsage(f"key_id: {key_id!r} is not a key id; see 'key list'")
    notified_control = await _notify_fleet(context, key_id)
    revision = None
    try:
        revision = await edit(
            context, lambda document: commands.withdraw_key(document, key_id), reason
        )
    except (Unreachable, Unconfirmed):
        if not notified_control:
            raise
    return Withdrawal(key_id, notified_control, revision)


async def _notify_fleet(context: OperatorContext, key_id: str) -> str:
    arguments = orjson.dumps({"key_id": key_id})
    for control in context.settings.controls:
        try:
            await context.control.command(
                control, WITHDRAW_KEY, arguments, context.settings.credential
            )
        except PeerError:
            continue
        return control
    return ""
