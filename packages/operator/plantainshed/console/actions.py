"""The changes that forms request.

Each action returns a message, which the next page shows.
"""

from attrs import frozen

from plantainshed_model import commands
from plantainshed_model.document import Document, Drain
from plantainshed_model.errors import UnknownName

from ..changes import edit, issue, withdraw
from ..context import OperatorContext
from ..errors import EditConflict
from ..views import load_version
from .forms import KINDS, form_values, parse_item

PUT_COMMANDS = {
    "workspaces": commands.put_workspace,
    "pools": commands.put_pool,
    "targets": commands.put_target,
    "shifts": commands.put_shift,
}


@frozen
class ActionResult:
    """Result of a submitted form.

    Parameters
    ----------
    message : str
        Confirmation for the operator.
    secret : str
        The text of a new key, which is shown only once; otherwise empty.
    """

    message: str
    secret: str = ""


async def save_item(
    context: OperatorContext, kind: str, form: dict[str, str]
) -> ActionResult:
    """Save a workspace, pool, target, shift or drain.

    The form contains the document version that it was rendered from. If someone
    changed the same item since that version, nothing is saved, and the form is shown
    again with the operator's input.
    """
    item = parse_item(kind, form)
    reason = form.get("reason", "").strip() or f"{kind}: {item.name}"
    base = await load_version(context, int(form["base_version"]))
    before = find_item(base.document, kind, item)

    def change(document: Document) -> Document:
        now = find_item(document, kind, item)
        if now != before:
            raise EditConflict(
                f"{item.name} was changed by someone else in the meantime; current "
                f"state: {_describe(now)}. Save again to overwrite it.",
                [],
            )
        if isinstance(item, Drain):
            return commands.start_drain(document, item.kind, item.name)
        return PUT_COMMANDS[kind](document, item)

    revision = await edit(context, change, reason)
    return ActionResult(f"{item.name} saved; version {revision.version} accepted")


async def end_drain(context: OperatorContext, form: dict[str, str]) -> ActionResult:
    """End a drain."""
    drain = parse_item("drains", form)
    revision = await edit(
        context,
        lambda document: commands.end_drain(document, drain.kind, drain.name),
        f"drain of {drain.name} ended",
    )
    return ActionResult(
        f"drain of {drain.name} ended; version {revision.version} accepted"
    )


async def issue_key(context: OperatorContext, form: dict[str, str]) -> ActionResult:
    """Issue a key."""
    workspace = form.get("workspace", "")
    key, revision = await issue(context, workspace, f"key for {workspace}")
    return ActionResult(f"key issued; version {revision.version} accepted", key.text)


async def withdraw_key(context: OperatorContext, form: dict[str, str]) -> ActionResult:
    """Withdraw a key."""
    key_id = form.get("key_id", "")
    withdrawal = await withdraw(context, key_id, f"key {key_id} withdrawn")
    notified = (
        f"spreading from {withdrawal.notified_control}"
        if withdrawal.notified_control
        else "no VM could be reached yet"
    )
    recorded = (
        f"recorded in version {withdrawal.revision.version}"
        if withdrawal.revision
        else "NOT recorded: the store cannot be reached"
    )
    return ActionResult(f"{key_id} withdrawn: {notified}; {recorded}")


def find_item(document: Document, kind: str, item):
    """Return the document's item of the same name as ``item``; None if missing."""
    for other in getattr(document, kind):
        if isinstance(item, Drain):
            if other == item:
                return other
        elif other.name == item.name:
            return other
    return None


def require_item(document: Document, kind: str, name: str):
    """Return an item by name.

    Raises
    ------
    UnknownName
        If there is no such kind or no such item.
    """
    if kind not in KINDS:
        raise UnknownName(f"there is no page named {kind!r}")
    for item in getattr(document, kind):
        if item.name == name:
            return item
    raise UnknownName(f"{kind}: there is no item named {name!r}")


def _describe(item) -> str:
    if item is None:
        return "deleted"
    return ", ".join(f"{k} {v}" for k, v in form_values(item).items() if k != "name")
