"""The document as segments of JSON, and back.

Parts that change together share a segment, so that withdrawing a key does not
send the client blocks again. Large lists are spread over several segments by
the hash of an item's name; `SPREAD` says over how many.
"""

import json

import cattrs
import xxhash
from cattrs.errors import ClassValidationError, IterableValidationError
from cattrs.v import transform_error

from .document import Document
from .errors import Fault, InvalidDocument

SEGMENT_FIELDS = {
    "topology": ("regions", "failure_domains", "links"),
    "workspaces": ("workspaces",),
    "pools": ("pools", "targets"),
    "steering": ("shifts", "drains"),
}
SPREAD = {"keys": 4, "blocks": 32}
NAME_FIELD = {"keys": "key_id", "blocks": "cidr"}

converter = cattrs.Converter(forbid_extra_keys=True)


def to_fields(document: Document) -> dict:
    """Return the document as plain JSON values."""
    return converter.unstructure(document)


def from_fields(fields: dict) -> Document:
    """Read a document from plain JSON values.

    Raises
    ------
    InvalidDocument
        With the path of each field that is missing, unknown or of a wrong type.
    """
    try:
        return converter.structure(fields, Document)
    except (ClassValidationError, IterableValidationError) as error:
        faults = [_fault(line) for line in transform_error(error)]
        raise InvalidDocument(faults) from error


def to_text(document: Document) -> str:
    """Return the document as one JSON text for people to edit."""
    return json.dumps(to_fields(document), indent=2) + "\n"


def from_text(text: str) -> Document:
    """Read a document from its JSON text, or raise `InvalidDocument`."""
    try:
        fields = json.loads(text)
    except ValueError as error:
        raise InvalidDocument([Fault("document", f"not JSON: {error}")]) from error
    if not isinstance(fields, dict):
        raise InvalidDocument([Fault("document", "must be a JSON object")])
    return from_fields(fields)


def to_segments(document: Document) -> dict[str, bytes]:
    """Return the document as named segments of canonical JSON."""
    fields = to_fields(document)
    segments = {}
    for segment, names in SEGMENT_FIELDS.items():
        segments[segment] = _dump({name: fields[name] for name in names})
    for name, count in SPREAD.items():
        shards = [[] for _ in range(count)]
        for item in fields[name]:
            shards[_shard(item[NAME_FIELD[name]], count)].append(item)
        for index, items in enumerate(shards):
            if items:
                segments[f"{name}-{index:02d}"] = _dump({name: items})
    return segments


def from_segments(segments: dict[str, bytes]) -> Document:
    """Put a document together from its segments."""
    fields = {}
    for segment in sorted(segments):
        for name, items in json.loads(segments[segment]).items():
            fields.setdefault(name, []).extend(items)
    return from_fields(fields)


def _dump(fields: dict) -> bytes:
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def _shard(name: str, count: int) -> int:
    return xxhash.xxh64_intdigest(name.encode()) % count


def _fault(line: str) -> Fault:
    message, _, path = line.rpartition(" @ ")
    return Fault(path.removeprefix("$.") or "document", message)
