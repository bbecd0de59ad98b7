"""The ledger: who holds which part of which budget, in the platform's store.

The ledger is cut into shards, each one object. Parts that belong to one
failure domain's targets are in that domain's shard, so that a domain that can
reach the store but no other domain still rebalances its own.
"""

import json

import xxhash
from attrs import asdict, evolve, field, frozen

from .budgets import BudgetSpec
from .errors import ObjectMissing, OutcomeUnknown, VersionConflict
from .platform import ABSENT, Platform

LEDGER_KIND = "ledger"
FLEET_SHARDS = 4
FLEET_SHARD_PREFIX = "fleet-"
DOMAIN_SHARD_PREFIX = "domain-"


@frozen
class LedgerEntry:
    """The parts of one budget.

    Parameters
    ----------
    total : int
        Units that the parts may sum to.
    parts : dict of str to int
        Units by holder, a run of a VM (`identity.holder_name`).
    """

    total: int
    parts: dict[str, int]

    @property
    def held_units(self) -> int:
        """Units that are held."""
        return sum(self.parts.values())


@frozen
class Ledger:
    """One shard of the ledger.

    Parameters
    ----------
    shard : str
    version : int
        Grows by one with each write.
    writer : str
        Mark of whoever wrote it, unique to the write.
    entries : dict of str to LedgerEntry
        By budget.
    object_version : int
        Version of the object in the store.
    """

    shard: str
    version: int = 0
    writer: str = ""
    entries: dict[str, LedgerEntry] = field(factory=dict)
    object_version: int = ABSENT

    def parts_of(self, holder: str) -> dict[str, int]:
        """Return the units of one holder by budget."""
        return {
            name: entry.parts[holder]
            for name, entry in self.entries.items()
            if holder in entry.parts
        }

    def to_bytes(self) -> bytes:
        """Return what is stored."""
        fields = asdict(self)
        del fields["object_version"]
        return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def shard_of(spec: BudgetSpec) -> str:
    """Return the shard that a budget stands in."""
    if spec.failure_domain:
        return domain_shard(spec.failure_domain)
    return fleet_shards()[xxhash.xxh64_intdigest(spec.name.encode()) % FLEET_SHARDS]


def domain_shard(failure_domain: str) -> str:
    """Return the shard of a failure domain's own budgets."""
    return DOMAIN_SHARD_PREFIX + failure_domain


def fleet_shards() -> list[str]:
    """Return the shards of the budgets that all VMs share."""
    return [f"{FLEET_SHARD_PREFIX}{number}" for number in range(FLEET_SHARDS)]


async def read_ledger(platform: Platform, shard: str) -> Ledger:
    """Read a shard; an empty one if it was never written."""
    try:
        stored = await platform.get(LEDGER_KIND, shard)
    except ObjectMissing:
        return Ledger(shard)
    fields = json.loads(stored.value)
    entries = {name: LedgerEntry(**e) for name, e in fields.pop("entries").items()}
    return Ledger(**fields, entries=entries, object_version=stored.version)


async def write_ledger(platform: Platform, ledger: Ledger) -> Ledger:
    """Write the next version of a shard, if nobody else has.

    Raises
    ------
    VersionConflict
        If the shard was written since it was read.
    OutcomeUnknown
        If the answer was lost and the store cannot be asked now.
    """
    try:
        version = await platform.put(
            LEDGER_KIND, ledger.shard, ledger.to_bytes(), ledger.object_version
        )
    except OutcomeUnknown:
        # The write may stand although nobody said so. Taking it for failed,
        # this writer would go on from parts that have been given away.
        stored = await read_ledger(platform, ledger.shard)
        if stored.writer != ledger.writer:
            raise VersionConflict(f"{ledger.shard} was written by another") from None
        return stored
    return evolve(ledger, object_version=version)
