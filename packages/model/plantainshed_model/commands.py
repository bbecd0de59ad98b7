"""Edits of a document: each takes one and returns the next.

They raise `UnknownName` when they name something that is not there. Whether
the result is valid is for `checks` to say.
"""

from attrs import evolve

from .document import (
    Document,
    Drain,
    DrainKind,
    KeyDigest,
    Pool,
    Shift,
    ShiftState,
    Target,
    Workspace,
)
from .errors import UnknownName


def put_workspace(document: Document, workspace: Workspace) -> Document:
    """Add a workspace, or change the one of the same name."""
    return evolve(document, workspaces=_add_or_replace(document.workspaces, workspace))


def put_pool(document: Document, pool: Pool) -> Document:
    """Add a pool, or change the one of the same name."""
    return evolve(document, pools=_add_or_replace(document.pools, pool))


def put_target(document: Document, target: Target) -> Document:
    """Add a target, or change the one of the same name."""
    return evolve(document, targets=_add_or_replace(document.targets, target))


def put_shift(document: Document, shift: Shift) -> Document:
    """Start a shift, or change the one of the same name."""
    return evolve(document, shifts=_add_or_replace(document.shifts, shift))


def set_shift_state(document: Document, name: str, state: ShiftState) -> Document:
    """Stop, resume or reverse a shift."""
    for shift in document.shifts:
        if shift.name == name:
            return put_shift(document, evolve(shift, state=state))
    raise UnknownName(f"shifts: there is no shift named {name!r}")


def remove_shift(document: Document, name: str) -> Document:
    """Take a shift off the list, and its cap with it."""
    if name not in {shift.name for shift in document.shifts}:
        raise UnknownName(f"shifts: there is no shift named {name!r}")
    return evolve(
        document, shifts=tuple(shift for shift in document.shifts if shift.name != name)
    )


def add_key(document: Document, key: KeyDigest) -> Document:
    """Add the entry of a key that was just issued."""
    if key.workspace not in {item.name for item in document.workspaces}:
        raise UnknownName(f"workspace: there is no workspace named {key.workspace!r}")
    return evolve(document, keys=(*document.keys, key))


def withdraw_key(document: Document, key_id: str) -> Document:
    """Mark a key as withdrawn; it stays listed."""
    if key_id not in {key.key_id for key in document.keys}:
        raise UnknownName(f"key_id: there is no key {key_id!r}")
    return evolve(
        document,
        keys=tuple(
            evolve(key, withdrawn=True) if key.key_id == key_id else key
            for key in document.keys
        ),
    )


def start_drain(document: Document, kind: DrainKind, name: str) -> Document:
    """Order something to be emptied; a second order changes nothing."""
    drain = Drain(kind, name)
    if drain in document.drains:
        return document
    return evolve(document, drains=(*document.drains, drain))


def end_drain(document: Document, kind: DrainKind, name: str) -> Document:
    """Take a drain back."""
    drain = Drain(kind, name)
    if drain not in document.drains:
        raise UnknownName(f"drains: {kind} {name!r} is not being drained")
    return evolve(
        document, drains=tuple(item for item in document.drains if item != drain)
    )


def _add_or_replace(items, new):
    names = [item.name for item in items]
    if new.name not in names:
        return (*items, new)
    return tuple(new if item.name == new.name else item for item in items)
