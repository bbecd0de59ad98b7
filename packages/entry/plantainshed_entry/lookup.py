"""Look-ups: which entry VMs a caller is to use.

Blocks are spread over `BUCKETS` buckets by hash, and an answer is worked out
once for each pool, home domain and bucket until something that it rests on
changes: with 210,000 blocks nearly every look-up finds it ready.
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
HASH_MULTIPLIER = 2_654_435_761
MAX_UINT32 = 0xFFFF_FFFF
NO_BLOCK_BUCKET = 0


@frozen
class Entry:
    """An entry VM in an answer, best first.

    Parameters
    ----------
    vm, address, failure_domain : str
    operation_prefix : str
        What a caller puts before a nonce of its own to make an operation id.
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
    ttl_s : int
        How long a caller may keep the answer, in seconds.
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
    """

    def __init__(self, membership: Membership, steering: Steering):
        self.membership = membership
        self.steering = steering
        self.in_force: IndexedDocument | None = None
        self._cached: dict[tuple[str, str, int], LookupAnswer] = {}

    def answer(self, client: str, pool: str) -> LookupAnswer:
        """Return the VMs for a client, or raise `Refusal`."""
        home, bucket = self.locate_client(client)
        key = (pool, home, bucket)
        cached = self._cached.get(key)
        if cached is None:
            cached = self._cached[key] = self._compute_answer(pool, home, bucket)
        return cached

    def clear_cache(self):
        """Drop answers that were kept: something that they rest on changed."""
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
                Reason.NOT_READY, "no entry VM takes callers now", retry_after_s=1.0
            )
        return LookupAnswer(
            tuple(entries[:MAX_ENTRIES]), TTL_S, self.in_force.revision.version
        )

    def locate_client(self, client: str) -> tuple[str, int]:
        """Return the failure domain near a client, and the bucket of its block.

        A client in no block is taken to be near this VM.
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
