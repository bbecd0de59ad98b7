"""Look-ups, which tell a caller the entry VMs to use.

Client blocks are hashed into `BUCKETS` buckets. Answers are cached by pool, home
domain and bucket until the cache is cleared, once a second and with each new
document. Even with 210,000 blocks, nearly every look-up hits the cache.
"""

import orjson
from attrs import frozen

from plantainshed_coordination.digests import rendezvous_order
from plantainshed_coordination.membership import Membership
from plantainshed_coordination.operations import operation_prefix

from .errors import Refusal
from .in_force import IndexedDocument
from .reasons import Reason
from .steering import Steering

TTL_S = 5
MAX_ENTRIES = 4
BUCKETS = 512
BUCKET_SHIFT = 32 - 9
HASH_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash
MAX_UINT32 = 0xFFFF_FFFF
NO_BLOCK_BUCKET = 0


@frozen
class Entry:
    """One entry VM in the answer to a look-up.

    Parameters
    ----------
    vm, address, failure_domain : str
    operation_prefix : str
        Prefix of operation ids. A caller appends its own nonce.
    """

    vm: str
    address: str
    failure_domain: str
    operation_prefix: str


@frozen
class LookupAnswer:
    """The answer to a look-up.

    Parameters
    ----------
    entries : tuple of Entry
        Entry VMs to use, best first.
    ttl_s : int
        How long a caller may cache the answer, in seconds.
    document_version : int
    """

    entries: tuple[Entry, ...]
    ttl_s: int
    document_version: int

    def to_bytes(self) -> bytes:
        """Return the answer as JSON."""
        entries = [
            {
                "vm": entry.vm,
                "address": entry.address,
                "failure_domain": entry.failure_domain,
                "operation_prefix": entry.operation_prefix,
            }
            for entry in self.entries
        ]
        return orjson.dumps(
            {
                "entries": entries,
                "ttl_s": self.ttl_s,
                "document_version": self.document_version,
            }
        )


class Lookup:
    """Answers look-ups.

    Attributes
    ----------
    in_force : IndexedDocument
        Document in force.
    """

    def __init__(self, membership: Membership, steering: Steering):
        self.membership = membership
        self.steering = steering
        self.in_force: IndexedDocument | None = None
        self._cached: dict[tuple[str, str, int], LookupAnswer] = {}

    def answer(self, client: str, pool: str) -> LookupAnswer:
        """Return the entry VMs for a client, or raise `Refusal`."""
        home, bucket = self.locate_client(client)
        key = (pool, home, bucket)
        cached = self._cached.get(key)
        if cached is None:
            cached = self._cached[key] = self._compute_answer(pool, home, bucket)
        return cached

    def clear_cache(self):
        """Drop all cached answers, because their inputs may have changed."""
        self._cached.clear()

    def _compute_answer(self, pool: str, home: str, bucket: int) -> LookupAnswer:
        block = str(bucket)
        records = {record.vm: record for record in self.membership.records()}
        entries = []
        for domain in self.steering.domains_for(pool, home, block):
            vms = rendezvous_order(block, self.steering.ready_vms(domain))
            for vm in vms:
                record = records[vm]
                entries.append(
                    Entry(vm, record.listen, domain, operation_prefix(record))
                )
            if len(entries) >= MAX_ENTRIES:
                break
        if not entries:
            raise Refusal(
                Reason.NOT_READY,
                "no entry VM accepts callers at present",
                retry_after_s=1.0,
            )
        return LookupAnswer(
            tuple(entries[:MAX_ENTRIES]), TTL_S, self.in_force.revision.version
        )

    def locate_client(self, client: str) -> tuple[str, int]:
        """Return the failure domain nearest to a client and its block's bucket.

        A client outside all blocks is assigned to this VM's failure domain.
        """
        try:
            match = self.in_force.blocks.find(client)
        except ValueError:
            raise Refusal(
                Reason.BAD_REQUEST, f"client: {client!r} is not an IP address"
            ) from None
        if match is None:
            return self.membership.identity.failure_domain, NO_BLOCK_BUCKET
        bucket = (match.index * HASH_MULTIPLIER & MAX_UINT32) >> BUCKET_SHIFT
        return match.failure_domain, bucket
