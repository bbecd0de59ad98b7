"""The client blocks as sorted packed arrays.

As Python objects 210,000 blocks do not fit a daemon's memory. Here a block
costs 12 bytes for IPv4 (start, index of its domain, parent) and 24 for IPv6,
and a look-up is one bisection. Blocks may nest; the longest match wins.
"""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from attrs import frozen

NO_PARENT = -1


@frozen
class BlockMatch:
    """The block that an address falls into.

    Parameters
    ----------
    index : int
        Position of the block in its table; stable within one document.
    family : int
        4 or 6.
    failure_domain : str
        Domain that the block is near.
    """

    index: int
    family: int
    failure_domain: str


class BlockTable:
    """Finds the client block of an address."""

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
        """Return the longest block that holds the address, if any.

        Raises
        ------
        ValueError
            If the text is not an IP address.
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
    """The blocks of one address family, ordered by start, outer before inner."""

    def __init__(self, rows, bits):
        rows.sort()
        self.bits = bits
        # Only the upper 64 bits of an IPv6 address route; longer prefixes than
        # /64 are cut to it, as their hosts share one link.
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
        """Return the index of the longest block with the address, or NO_PARENT."""
        value = address >> self.dropped_bits
        index = bisect_right(self.starts, value) - 1
        while index != NO_PARENT and not self._contains(index, value):
            index = self.parents[index]
        return index

    def _contains(self, index, value):
        shift = self.bits - self.dropped_bits - self.lengths[index]
        return self.starts[index] >> shift == value >> shift
