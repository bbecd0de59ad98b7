"""Digests and rendezvous weights.

Content is named by a cryptographic digest. Choices that many VMs must make
alike without talking (which peer, which prober, which region for a block) use
a fast seedless hash, so that all of them compute the same order.
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
    """Return a number in (0, 1) that depends on the parts alone."""
    digest = xxhash.xxh64_intdigest("\x00".join(parts).encode())
    return (digest + 0.5) / HASH_SPAN


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by falling rendezvous score for the key.

    When one name leaves, the others keep their order, so only what stood on
    the lost name moves.
    """
    return sorted(names, key=lambda name: (unit_hash(key, name), name), reverse=True)


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return the weighted rendezvous score; the highest score wins.

    Over many keys a name wins in proportion to its weight, and raising one
    weight moves keys only towards that name.
    """
    if weight <= 0:
        return -math.inf
    return weight / -math.log(unit_hash(key, name))
