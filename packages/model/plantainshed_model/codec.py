"""Serialization of the document to JSON segments, and deserialization.

Parts that usually change together share a segment, so that withdrawing a key, for
example, does not send the client blocks again. Keys and blocks are distributed over
several segments by the hash of their names. Within a segment, blocks are grouped by
failure domain: this takes a third of the space of a list of objects, and a reader
need not create an object for each block.
"""

import json
from collections.abc import Iterator

import cattrs
import xxhash
from attrs import evolve
from cattrs.errors import ClassValidationError, IterableValidationError
from cattrs.v import transform_error

from .document import ClientBlock, Document
from .errors import Fault, InvalidDocument

SEGMENT_FIELDS = {
    "topology": ("regions", "failure_domains", "links"),
    "workspaces": ("workspaces",),
    "pools": ("pools", "targets"),
    "steering": ("shifts", "drains"),
}
KEY_SHARDS = 4
BLOCK_SHARDS = 32
BLOCKS_PREFIX = "blocks-"
BLOCKS_BY_DOMAIN = "blocks_by_failure_domain"

converter = cattrs.Converter(forbid_extra_keys=True)


def to_fields(document: Document) -> dict:
    """Convert the document to plain JSON values."""
    return converter.unstructure(document)


def from_fields(fields: dict) -> Document:
    """Create a document from plain JSON values.

    Raises
    ------
    InvalidDocument
        With the path of each field that is missing, unknown or of the wrong type.
    """
    try:
        return converter.structure(fields, Document)
    except (ClassValidationError, IterableValidationError) as error:
        faults = [_parse_error(line) for line in transform_error(error)]
        raise InvalidDocument(faults) from error


def to_text(document: Document) -> str:
    """Return the document as indented JSON text, for people to edit."""
    return json.dumps(to_fields(document), indent=2) + "\n"


def from_text(text: str) -> Document:
    """Parse a document from JSON text.

    Raises
    ------
    InvalidDocument
        If the text is not JSON, or not a document.
    """
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
        segments[segment] = _canonical_json({name: fields[name] for name in names})
    for index, keys in _group_by_shard(fields["keys"], "key_id", KEY_SHARDS):
        segments[f"keys-{index:02d}"] = _canonical_json({"keys": keys})
    for index, blocks in _group_by_shard(fields["blocks"], "cidr", BLOCK_SHARDS):
        grouped = {}
        for block in blocks:
            grouped.setdefault(block["failure_domain"], []).append(block["cidr"])
        segments[f"{BLOCKS_PREFIX}{index:02d}"] = _canonical_json(
            {BLOCKS_BY_DOMAIN: grouped}
        )
    return segments


def from_segments(segments: dict[str, bytes], with_blocks: bool = True) -> Document:
    """Assemble a document from its segments.

    An entry daemon keeps the document without its blocks (``with_blocks=False``).
    It reads them one at a time with `read_blocks` into a compact `BlockTable`.
    """
    fields = {}
    for segment in sorted(segments):
        if segment.startswith(BLOCKS_PREFIX):
            continue
        for name, items in json.loads(segments[segment]).items():
            fields.setdefault(name, []).extend(items)
    document = from_fields(fields)
    if with_blocks:
        return evolve(document, blocks=tuple(read_blocks(segments)))
    return document


def read_blocks(segments: dict[str, bytes]) -> Iterator[ClientBlock]:
    """Yield the client blocks that a document's segments contain."""
    for segment in sorted(segments):
        if segment.startswith(BLOCKS_PREFIX):
            grouped = json.loads(segments[segment])[BLOCKS_BY_DOMAIN]
            for failure_domain, cidrs in grouped.items():
                for cidr in cidrs:
                    yield ClientBlock(cidr, failure_domain)


def _group_by_shard(items: list[dict], name_field: str, count: int):
    shards = [[] for _ in range(count)]
    for item in items:
        shards[_shard_index(item[name_field], count)].append(item)
    return [(index, items) for index, items in enumerate(shards) if items]


def _canonical_json(fields: dict) -> bytes:
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def _shard_index(name: str, count: int) -> int:
    return xxhash.xxh64_intdigest(name.encode()) % count


def _parse_error(line: str) -> Fault:
    message, _, path = line.rpartition(" @ ")
    return Fault(path.removeprefix("$.") or "document", message)
