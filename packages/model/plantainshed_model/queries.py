"""Functions that look things up in documents and compare them."""

import json

from attrs import frozen

from .codec import to_fields
from .document import Document, Pool

ITEM_NAME_FIELDS = ("name", "key_id", "cidr")


@frozen
class Difference:
    """One item that differs between two documents.

    Parameters
    ----------
    path : str
        Name of the list and of the item, such as ``workspaces[comune]``.
    before, after : str
        The item as JSON; empty if that document does not contain it.
    """

    path: str
    before: str
    after: str


def pool_for_path(document: Document, path: str) -> Pool | None:
    """Return the pool whose prefix is the longest match for the path, if any."""
    matches = [pool for pool in document.pools if _path_has_prefix(path, pool.prefix)]
    return max(matches, key=lambda pool: len(pool.prefix), default=None)


def _path_has_prefix(path: str, prefix: str) -> bool:
    base = prefix.rstrip("/")
    return path == base or path.startswith((base + "/", base + "?"))


def region_of(document: Document, failure_domain: str) -> str:
    """Return the region of a failure domain; empty if the domain is unknown."""
    for domain in document.failure_domains:
        if domain.name == failure_domain:
            return domain.region
    return ""


def differences(before: Document, after: Document) -> list[Difference]:
    """Compare two documents item by item, in the order of the document's fields."""
    fields_before = to_fields(before)
    fields_after = to_fields(after)
    found = []
    for name in fields_after:
        old = {_item_name(item): item for item in fields_before[name]}
        new = {_item_name(item): item for item in fields_after[name]}
        for item_name in sorted(old.keys() | new.keys()):
            if old.get(item_name) != new.get(item_name):
                found.append(
                    Difference(
                        f"{name}[{item_name}]",
                        _as_json(old.get(item_name)),
                        _as_json(new.get(item_name)),
                    )
                )
    return found


def _item_name(item: dict) -> str:
    if "kind" in item:
        return f"{item['kind']}/{item['name']}"
    for field in ITEM_NAME_FIELDS:
        if field in item:
            return item[field]
    return f"{item['region_a']}/{item['region_b']}"


def _as_json(item) -> str:
    return "" if item is None else json.dumps(item, sort_keys=True)
