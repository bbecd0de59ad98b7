"""Edits of a document. Each function takes a document and returns a changed copy.

They raise `UnknownName` if the document does not contain the object to edit. They do
not validate the result; see `checks`.
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
    """Add a workspace, or replace the one of the same name."""
    return evolve(document, workspaces=_add_or_replace(document.workspaces, workspace))


def put_pool(document: Document, pool: Pool) -> Document:
    """Add a pool, or replace the one of the same name."""
    return evolve(document, pools=_add_or_replace(document.pools, pool))


def put_target(document: Document, target: Target) -> Document:
    """Add a target, or replace the one of the same name."""
    return evolve(document, targets=_add_or_replace(document.targets, target))


def put_shift(document: Document, shift: Shift) -> Document:
    """Add a shift, or replace the one of the same name."""
    return evolve(document, shifts=_add_or_replace(document.shifts, shift))


def set_shift_state(document: Document, name: str, state: ShiftState) -> Document:
    """Stop, resume or reverse a shift."""
    for shift in document.shifts:
        if shift.name == name:
            return put_shift(document, evolve(shift, state=state))
    raise UnknownName(f"shifts: there is no shift named {name!r}")


def remove_shift(document: Document, name: str) -> Document:
    """Remove a shift together with its cap."""
    if name not in {shift.name for shift in document.shifts}:
        raise UnknownName(f"shifts: there is no shift named {name!r}")
    return evolve(
        document, shifts=tuple(shift for shift in document.shifts if shift.name != name)
    )


def add_key(document: Document, key: KeyDigest) -> Document:
    """Add the digest of a newly issued key."""
    if key.workspace not in {item.name for item in document.workspaces}:
        raise UnknownName(f"workspace: there is no workspace named {key.workspace!r}")
    return evolve(document, keys=(*document.keys, key))


def withdraw_key(document: Document, key_id: str) -> Document:
    """Mark a key as withdrawn. It stays in the document."""
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
    """Add a drain. If it exists already, return the document unchanged."""
    drain = Drain(kind, name)
    if drain in document.drains:
        return document
    return evolve(document, drains=(*document.drains, drain))


def end_drain(document: Document, kind: DrainKind, name: str) -> Document:
    """Remove a drain, so that its object receives traffic again."""
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
