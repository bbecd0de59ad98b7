"""Compares two versions of a configuration item by item."""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

from attrs import fields, frozen

from .configuration_checks import all_routes, masked, route_item, workspaces
from .model import Configuration, Pool, Route, WeightedPool, Workspace

# Attributes that name an item, or are compared in another way.
NOT_COMPARED = frozenset({"host", "prefix"})


class Action(StrEnum):
    """What happened to an item."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class Change:
    """A difference between two versions.

    Parameters
    ----------
    action : Action
    item : str
        Such as ``route calendar.example/read/``.
    field : str
        The attribute that changed; empty if the item was added or removed.
    before, after : str
    """

    action: Action
    item: str
    field: str = ""
    before: str = ""
    after: str = ""


def find_changes(before: Configuration, after: Configuration) -> list[Change]:
    """Return the differences: routes, pools, workspaces, their keys, and limits."""
    return [
        *_compare_all(_routes(before), _routes(after), _compare_attributes),
        *_compare_all(_pools(before), _pools(after), _compare_attributes),
        *_compare_all(_workspaces(before), _workspaces(after), _compare_workspaces),
        *_compare_attributes("limits", before.limits, after.limits),
        *_compare_values(
            "configuration",
            "requires_keys",
            before.requires_keys,
            after.requires_keys,
        ),
    ]


def _routes(configuration: Configuration) -> dict[str, Route]:
    return {
        route_item(route.host, route.prefix): route
        for route in all_routes(configuration)
    }


def _pools(configuration: Configuration) -> dict[str, Pool]:
    return {f"pool {name}": pool for name, pool in configuration.pools.items()}


def _workspaces(
    configuration: Configuration,
) -> dict[str, tuple[Workspace, frozenset[str]]]:
    """Return each workspace with its keys."""
    keys: dict[str, set[str]] = {}
    for key, workspace in configuration.workspace_by_key.items():
        keys.setdefault(workspace.name, set()).add(key)
    return {
        f"workspace {workspace.name}": (workspace, frozenset(keys[workspace.name]))
        for workspace in workspaces(configuration)
    }


def _compare_all(
    before: dict[str, Any], after: dict[str, Any], compare: Callable
) -> Iterable[Change]:
    for item in [*after, *(item for item in before if item not in after)]:
        if item not in before:
            yield Change(Action.ADDED, item)
        elif item not in after:
            yield Change(Action.REMOVED, item)
        else:
            yield from compare(item, before[item], after[item])


def _compare_workspaces(item: str, before, after) -> Iterable[Change]:
    (old, old_keys), (new, new_keys) = before, after
    yield from _compare_attributes(item, old, new)
    if old_keys != new_keys:
        yield Change(
            Action.CHANGED,
            item,
            "keys",
            _describe_keys(old_keys - new_keys, "removed"),
            _describe_keys(new_keys - old_keys, "added"),
        )


def _describe_keys(keys: frozenset[str], verb: str) -> str:
    return f"{len(keys)} {verb}: {', '.join(map(masked, sorted(keys)))}" if keys else ""


def _compare_attributes(item: str, before, after) -> Iterable[Change]:
    for attribute in fields(type(after)):
        name = attribute.name
        if name not in NOT_COMPARED:
            yield from _compare_values(
                item, name, getattr(before, name), getattr(after, name)
            )


def _compare_values(item: str, field: str, before, after) -> Iterable[Change]:
    if before != after:
        yield Change(Action.CHANGED, item, field, _as_text(before), _as_text(after))


def _as_text(value) -> str:
    if isinstance(value, WeightedPool):
        return f"{value.pool}:{value.weight:g}"
    if isinstance(value, frozenset | tuple):
        texts = [_as_text(member) for member in value]
        return ", ".join(sorted(texts) if isinstance(value, frozenset) else texts)
    return f"{value:g}" if isinstance(value, float) else str(value)
