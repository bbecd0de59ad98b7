"""Longest-prefix lookup of client addresses, with blocks in sorted packed arrays.

210,000 blocks as Python objects do not fit in an entry daemon's memory. In these
arrays a block takes 12 bytes for IPv4 (start, index of its domain, parent) and 24 bytes
for IPv6, and a lookup is one binary search. Blocks may be nested; the longest matching
prefix wins.
"""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from attrs import frozen

NO_PARENT = -1


@frozen
class BlockMatch:
    """The block that contains a looked-up address.

    Parameters
    ----------
    index : int
        Position of the block in the table of its address family; stable within
        one document.
    family : int
        IP version, 4 or 6.
    failure_domain : str
        The failure domain closest to the block's addresses.
    """

    index: int
    family: int
    failure_domain: str


class BlockTable:
    """Finds the client block that contains an address."""

    def __init__(self, blocks: Iterable):
        self.domains: list[str] = []
        domain_indexes: dict[str, int] = {}
        rows = {4: [], 6: []}
        for block in blocks:
            network = ipaddress.ip_network(block.cidr)
            domain_index = domain_indexes.setdefault(
                block.failure_domain, len(domain_indexes)
            )
            if domain_index == len(self.domains):
                self.domains.append(block.failure_domain)
            rows[network.version].append(
                (int(network.network_address), network.prefixlen, domain_index)
            )
        self._families = {
            4: _FamilyTable(rows[4], 32),
            6: _FamilyTable(rows[6], 128),
        }

    def __len__(self):
        return sum(len(family) for family in self._families.values())

    def find(self, address: str) -> BlockMatch | None:
        """Return the block with the longest prefix that contains the address, if any.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        parsed = ipaddress.ip_address(address)
        family = self._families[parsed.version]
        index = family.find(int(parsed))
        if index == NO_PARENT:
            return None
        return BlockMatch(
            index, parsed.version, self.domains[family.domain_indexes[index]]
        )


class _FamilyTable:
    """The blocks of one address family.

    They are sorted by start address, enclosing blocks before the blocks that they
    contain. Each block has the index of its innermost enclosing block as parent.
    """

    def __init__(self, rows, bits):
        rows.sort()
        self.bits = bits
        # Only the upper 64 bits of an IPv6 address are used for routing. Prefixes
        # longer than /64 are truncated to /64, as their hosts share one link.
        self.dropped_bits = 64 if bits == 128 else 0
        self.starts = array("Q" if bits == 128 else "L")
        if bits == 32:
            self.starts = array("I")
        self.lengths = array("B")
        self.domain_indexes = array("H")
        self.parents = array("i")
        enclosing = []
        for start, length, domain_index in rows:
            index = len(self.starts)
            self.starts.append(start >> self.dropped_bits)
            self.lengths.append(min(length, bits - self.dropped_bits))
            self.domain_indexes.append(domain_index)
            while enclosing and not self._contains(
                enclosing[-1], start >> self.dropped_bits
            ):
                enclosing.pop()
            self.parents.append(enclosing[-1] if enclosing else NO_PARENT)
            enclosing.append(index)

    def __len__(self):
        return len(self.starts)

    def find(self, address: int) -> int:
        """Return the index of the longest matching block, or NO_PARENT if none."""
        value = address >> self.dropped_bits
        index = bisect_right(self.starts, value) - 1
        while index != NO_PARENT and not self._contains(index, value):
            index = self.parents[index]
        return index

    def _contains(self, index, value):
        shift = self.bits - self.dropped_bits - self.lengths[index]
        return self.starts[index] >> shift == value >> shift
