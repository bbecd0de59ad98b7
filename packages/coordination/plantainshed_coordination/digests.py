"""Content digests and rendezvous hashing.

Content is identified by a cryptographic digest. Choices that many VMs must make
identically without coordination (which peer, which prober, which region for a
block) use a fast unseeded hash, so that all VMs compute the same order.
"""

import hashlib
import math
from collections.abc import Iterable

import xxhash

HASH_SPAN = float(1 << 64)


def content_digest(data: bytes) -> str:
    """Return the SHA-256 of the data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def unit_hash(*parts: str) -> float:
    """Return a number in (0, 1) that depends only on the parts."""
    digest = xxhash.xxh64_intdigest("\x00".join(parts).encode())
    return (digest + 0.5) / HASH_SPAN


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of rendezvous score for the key.

    When a name is removed, the others keep their order, so only the keys of the
    removed name move.
    """
    return sorted(names, key=lambda name: (unit_hash(key, name), name), reverse=True)


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return the weighted rendezvous score; the highest score wins.

    Over many keys, each name wins in proportion to its weight. Increasing the
    weight of a name moves keys only to that name.
    """
    if weight <= 0:
        return -math.inf
    return weight / -math.log(unit_hash(key, name))
