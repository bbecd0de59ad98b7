"""The document in force on this VM, with lookup tables."""

from attrs import field, frozen

from plantainshed_coordination.budgets import BudgetKind, BudgetSpec
from plantainshed_coordination.errors import DocumentError
from plantainshed_coordination.versioned import EMPTY_REVISION, Revision
from plantainshed_model.blocks import BlockTable
from plantainshed_model.checks import require_valid
from plantainshed_model.codec import BLOCKS_PREFIX, from_segments, read_blocks
from plantainshed_model.document import Document, Pool, Workspace
from plantainshed_model.errors import ModelError
from plantainshed_model.keys import KeyRing
from plantainshed_model.queries import pool_for_path, region_of

WORKSPACE_PREFIX = "workspace/"
SLOTS_PREFIX = "slots/"
SHIFT_PREFIX = "shift/"
SHIFT_BURST_S = 0.2


@frozen
class IndexedDocument:
    """A revision of the document, with lookup tables.

    Parameters
    ----------
    revision : Revision
    document : Document
        The document without its client blocks, which are in `blocks`.
    blocks : BlockTable
    keys : KeyRing
    workspaces : dict of str to Workspace
        Workspaces by name.
    pools : dict of str to Pool
        Pools by name.
    region_by_domain : dict of str to str
        Region of each failure domain.
    withdrawn_keys : frozenset of str
        Ids of the keys that the document marks as withdrawn.
    """

    revision: Revision
    document: Document
    blocks: BlockTable
    keys: KeyRing
    workspaces: dict[str, Workspace] = field(factory=dict)
    pools: dict[str, Pool] = field(factory=dict)
    region_by_domain: dict[str, str] = field(factory=dict)
    withdrawn_keys: frozenset[str] = frozenset()

    def pool_for(self, path: str) -> Pool | None:
        """Return the pool that serves a path, or None."""
        return pool_for_path(self.document, path)

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or an empty string if unknown."""
        return self.region_by_domain.get(failure_domain, "")


def empty_indexed_document() -> IndexedDocument:
    """Return an empty document, used until the first one arrives."""
    document = Document()
    return IndexedDocument(EMPTY_REVISION, document, BlockTable(()), KeyRing(document))


def index_document(
    revision: Revision, segments: dict[str, bytes], previous: IndexedDocument
) -> IndexedDocument:
    """Parse, check and index a revision; raise `DocumentError` if it is invalid.

    The block table of the previous revision is reused if none of its segments
    changed, because building it takes a second or more with 210,000 blocks.
    """
    try:
        document = require_valid(from_segments(segments, with_blocks=False))
    except (ModelError, ValueError) as error:
        raise DocumentError(f"version {revision.version}: {error}") from error
    blocks = previous.blocks
    if _block_digests(revision) != _block_digests(previous.revision):
        blocks = BlockTable(read_blocks(segments))
    return IndexedDocument(
        revision,
        document,
        blocks,
        KeyRing(document),
        {item.name: item for item in document.workspaces},
        {item.name: item for item in document.pools},
        {
            item.name: region_of(document, item.name)
            for item in document.failure_domains
        },
        frozenset(key.key_id for key in document.keys if key.withdrawn),
    )


def _block_digests(revision: Revision) -> dict[str, str]:
    return {
        name: digest
        for name, digest in revision.segments.items()
        if name.startswith(BLOCKS_PREFIX)
    }


def budget_specs(document: Document, failure_domain: str) -> list[BudgetSpec]:
    """Return the budgets of which a VM in a failure domain holds a part.

    The slots of a target are divided among the VMs of the target's own failure
    domain. VMs of other domains borrow slots one at a time.
    """
    specs = [
        BudgetSpec(
            WORKSPACE_PREFIX + item.name,
            BudgetKind.RATE,
            rate=item.rate,
            burst=item.burst,
        )
        for item in document.workspaces
    ]
    specs += [
        BudgetSpec(
            SHIFT_PREFIX + shift.name,
            BudgetKind.RATE,
            rate=shift.cap,
            burst=max(1.0, shift.cap * SHIFT_BURST_S),
        )
        for shift in document.shifts
    ]
    pools = {pool.name: pool for pool in document.pools}
    specs += [
        BudgetSpec(
            SLOTS_PREFIX + target.name,
            BudgetKind.COUNT,
            count=pools[target.pool].slots,
            failure_domain=target.failure_domain,
        )
        for target in document.targets
        if target.failure_domain == failure_domain
    ]
    return specs
