"""The ledger records each VM's parts of all budgets in the platform's store.

The ledger is split into shards, each stored as one object. Budgets of a failure
domain's targets are in that domain's shard, so that a domain that can reach the store
but no other domain can still rebalance its own budgets.
"""

import json

import xxhash
from attrs import asdict, evolve, field, frozen

from .budgets import BudgetSpec
from .errors import (
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
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
        Maximum sum of the parts, in units.
    parts : dict of str to int
        Units by holder. A holder is a run of a VM (`identity.holder_name`).
    """

    total: int
    parts: dict[str, int]

    @property
    def held_units(self) -> int:
        """Sum of the parts, in units."""
        return sum(self.parts.values())


@frozen
class Ledger:
    """One shard of the ledger.

    Parameters
    ----------
    shard : str
    version : int
        Incremented by each write.
    writer : str
        Identifier of the write attempt, unique to each attempt.
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
        """Return the shard as JSON for the store."""
        fields = asdict(self)
        del fields["object_version"]
        return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def shard_of(spec: BudgetSpec) -> str:
    """Return the shard that contains a budget."""
    if spec.failure_domain:
        return domain_shard(spec.failure_domain)
    return fleet_shards()[xxhash.xxh64_intdigest(spec.name.encode()) % FLEET_SHARDS]


def domain_shard(failure_domain: str) -> str:
    """Return the shard of a failure domain's own budgets."""
    return DOMAIN_SHARD_PREFIX + failure_domain


def fleet_shards() -> list[str]:
    """Return the shards of the budgets that are shared by all VMs."""
    return [f"{FLEET_SHARD_PREFIX}{number}" for number in range(FLEET_SHARDS)]


async def read_ledger(platform: Platform, shard: str) -> Ledger:
    """Read a shard; return an empty one if it was never written."""
    try:
        stored = await platform.get(LEDGER_KIND, shard)
    except ObjectMissing:
        return Ledger(shard)
    fields = json.loads(stored.value)
    entries = {name: LedgerEntry(**e) for name, e in fields.pop("entries").items()}
    return Ledger(**fields, entries=entries, object_version=stored.version)


async def write_ledger(platform: Platform, ledger: Ledger) -> Ledger:
    """Write the next version of a shard, unless another writer has changed it.

    Raises
    ------
    VersionConflict
        If the shard was changed since it was read.
    PlatformUnavailable
        If the store cannot be reached. The write has not taken effect.
    OutcomeUnknown
        If the answer was lost and the shard cannot be read again. The write may have
        taken effect, or may still do so.
    """
    try:
        version = await platform.put(
            LEDGER_KIND, ledger.shard, ledger.to_bytes(), ledger.object_version
        )
    except OutcomeUnknown as lost:
        # The write may have succeeded although the answer was lost. If it were treated
        # as failed, this writer would continue with parts that the write reassigned.
        try:
            stored = await read_ledger(platform, ledger.shard)
        except PlatformUnavailable as error:
            raise OutcomeUnknown(f"{lost}; not read again: {error}") from error
        if stored.writer != ledger.writer:
            raise VersionConflict(
                f"{ledger.shard} was changed by another writer"
            ) from None
        return stored
    return evolve(ledger, object_version=version)
