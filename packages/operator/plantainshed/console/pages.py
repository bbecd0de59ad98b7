"""Rendering of the console's pages."""

from pathlib import Path

from jinja2 import Environment, FileSystemLoader, select_autoescape

from plantainshed_coordination.members import MemberState

from ..context import OperatorContext
from ..errors import OperatorError
from ..views import fleet_status, history, load_current
from .actions import require_item
from .forms import KINDS, form_fields, form_values

HISTORY_ROWS = 50
TEMPLATES = Path(__file__).parent / "templates"
NAVIGATION = (
    ("", "Fleet"),
    ("workspaces", "Workspaces"),
    ("keys", "Keys"),
    ("pools", "Pools"),
    ("targets", "Targets"),
    ("drains", "Drains"),
    ("shifts", "Shifts"),
    ("history", "History"),
    ("report", "Report"),
)
STATE_NAMES = {int(state): state.name.lower() for state in MemberState}

environment = Environment(
    loader=FileSystemLoader(TEMPLATES), autoescape=select_autoescape(default=True)
)
environment.globals.update(navigation=NAVIGATION, state_names=STATE_NAMES)


def render(template: str, session, **values) -> bytes:
    """Render a template; all values are HTML-escaped."""
    page = environment.get_template(template)
    return page.render(session=session, **values).encode()


async def overview(context: OperatorContext, session, **extra) -> bytes:
    """Render the state of all VMs and the document version that each one applies."""
    status, problem = None, ""
    try:
        status = await fleet_status(context)
    except OperatorError as error:
        problem = str(error)
    stored = None
    try:
        stored = await load_current(context)
    except OperatorError as error:
        problem = f"{problem} {error}".strip()
    return render(
        "overview.html",
        session,
        active_path="",
        status=status,
        stored=stored,
        problem=problem,
        **extra,
    )


async def items(
    context: OperatorContext, session, kind: str, name: str = "", typed=None, **extra
) -> bytes:
    """Render the items of one kind, and a form to add or change one.

    Parameters
    ----------
    name : str
        Item to change; empty to add one.
    typed : dict of str to str, optional
        The input of a rejected form, shown again so that the operator need not
        retype it.
    """
    stored = await load_current(context)
    values = dict(typed or {})
    if name and not typed:
        values = form_values(require_item(stored.document, kind, name))
    rows = [form_values(item) for item in getattr(stored.document, kind)]
    return render(
        "items.html",
        session,
        active_path=kind,
        kind=kind,
        rows=rows,
        columns=list(rows[0]) if rows else [],
        fields=form_fields(kind, values, stored.document),
        base_version=stored.revision.version,
        editing=name,
        **extra,
    )


async def keys(context: OperatorContext, session, **extra) -> bytes:
    """Render the list of keys, by their public ids."""
    stored = await load_current(context)
    return render(
        "keys.html",
        session,
        active_path="keys",
        keys=stored.document.keys,
        workspaces=[workspace.name for workspace in stored.document.workspaces],
        **extra,
    )


async def changes(context: OperatorContext, session, **extra) -> bytes:
    """Render the history of revisions, with author, time and reason."""
    revisions = await history(context, HISTORY_ROWS)
    return render(
        "history.html", session, active_path="history", revisions=revisions, **extra
    )


def login(problem: str = "") -> bytes:
    """Render the login form."""
    return render("login.html", None, active_path=None, problem=problem)


def is_item_page(name: str) -> bool:
    """Return whether the page of this name lists items of the document."""
    return name in KINDS
