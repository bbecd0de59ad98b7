"""What forms change. Each returns the message that the next page shows."""

from attrs import frozen

from plantainshed_model import commands
from plantainshed_model.document import Document, Drain
from plantainshed_model.errors import UnknownName

from ..changes import edit, issue, withdraw
from ..context import OperatorContext
from ..errors import EditConflict
from ..views import at_version
from .forms import KINDS, item_from, values_of

PUT = {
    "workspaces": commands.put_workspace,
    "pools": commands.put_pool,
    "targets": commands.put_target,
    "shifts": commands.put_shift,
}


@frozen
class Done:
    """What a form has done.

    Parameters
    ----------
    message : str
    secret : str
        A new key's text, shown this once.
    """

    message: str
    secret: str = ""


async def save_item(context: OperatorContext, kind: str, form: dict[str, str]) -> Done:
    """Save a workspace, pool, target, shift or drain.

    The form knows the version that it was shown from. If somebody changed this
    very item since, nothing is saved and the form comes back as typed.
    """
    item = item_from(kind, form)
    reason = form.get("reason", "").strip() or f"{kind}: {item.name}"
    base = await at_version(context, int(form["base_version"]))
    before = find_item(base.document, kind, item)

    def change(document: Document) -> Document:
        now = find_item(document, kind, item)
        if now != before:
            raise EditConflict(
                f"{item.name} was changed by somebody else while you typed; it "
                f"is now {_described(now)}. Save again to replace that.",
                [],
            )
        if isinstance(item, Drain):
            return commands.start_drain(document, item.kind, item.name)
        return PUT[kind](document, item)

    revision = await edit(context, change, reason)
    return Done(f"{item.name} saved; version {revision.version} accepted")


async def end_drain(context: OperatorContext, form: dict[str, str]) -> Done:
    """Take a drain back."""
    drain = item_from("drains", form)
    revision = await edit(
        context,
        lambda document: commands.end_drain(document, drain.kind, drain.name),
        f"drain of {drain.name} ended",
    )
    return Done(f"drain of {drain.name} ended; version {revision.version} accepted")


async def issue_key(context: OperatorContext, form: dict[str, str]) -> Done:
    """Issue a key."""
    workspace = form.get("workspace", "")
    key, revision = await issue(context, workspace, f"key for {workspace}")
    return Done(f"key issued; version {revision.version} accepted", key.text)


async def withdraw_key(context: OperatorContext, form: dict[str, str]) -> Done:
    """Withdraw a key."""
    key_id = form.get("key_id", "")
    done = await withdraw(context, key_id, f"key {key_id} withdrawn")
    told = f"spreading from {done.told}" if done.told else "no VM could be told yet"
    recorded = (
        f"recorded in version {done.revision.version}"
        if done.revision
        else "NOT recorded: the store cannot be reached"
    )
    return Done(f"{key_id} withdrawn: {told}; {recorded}")


def find_item(document: Document, kind: str, item):
    """Return the item of the same name in a document, None without one."""
    for other in getattr(document, kind):
        if isinstance(item, Drain):
            if other == item:
                return other
        elif other.name == item.name:
            return other
    return None


def item_named(document: Document, kind: str, name: str):
    """Return an item by name, or raise `UnknownName`."""
    if kind not in KINDS:
        raise UnknownName(f"there is no page {kind!r}")
    for item in getattr(document, kind):
        if item.name == name:
            return item
    raise UnknownName(f"{kind}: there is none named {name!r}")


def _described(item) -> str:
    if item is None:
        return "deleted"
    return ", ".join(f"{k} {v}" for k, v in values_of(item).items() if k != "name")
