"""Tests of the traffic document: blocks, codec, checks, keys and queries."""

import ipaddress
import unittest
from pathlib import Path

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainshed_model import codec, commands
from plantainshed_model.blocks import BlockTable
from plantainshed_model.checks import check
from plantainshed_model.document import ClientBlock, Document, Pool, Target
from plantainshed_model.errors import InvalidDocument
from plantainshed_model.keys import KeyRing, issue_key
from plantainshed_model.queries import differences, pool_for_path

EXAMPLES = Path(__file__).parents[2] / "examples"


def example(name) -> Document:
    return codec.from_text((EXAMPLES / name / "document.json").read_text())


class TestBlockTable(unittest.TestCase):
    def test_longest_match_wins(self):
        table = BlockTable(
            [
                ClientBlock("10.0.0.0/8", "a"),
                ClientBlock("10.1.0.0/16", "b"),
                ClientBlock("10.1.2.0/24", "c"),
                ClientBlock("2001:db8::/32", "d"),
            ]
        )
        expected = {
            "10.1.2.3": "c",
            "10.1.3.3": "b",
            "10.2.0.1": "a",
            "10.1.1.255": "b",
            "2001:db8::1": "d",
        }
        for address, domain in expected.items():
            self.assertEqual(table.find(address).failure_domain, domain)
        self.assertIsNone(table.find("11.0.0.1"))
        with self.assertRaises(ValueError):
            table.find("nowhere")

    @given(
        st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(8, 32)), max_size=30),
        st.lists(st.integers(0, 2**32 - 1), max_size=20),
    )
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_agrees_with_linear_search(self, nets, addresses):
        networks = {
            ipaddress.ip_network((number, length), strict=False)
            for number, length in nets
        }
        table = BlockTable([ClientBlock(str(n), str(n)) for n in networks])
        starts = [int(network.network_address) for network in networks]
        for number in addresses + starts:
            address = ipaddress.ip_address(number)
            containing = [n for n in networks if address in n]
            best = max(containing, key=lambda n: n.prefixlen, default=None)
            match = table.find(str(address))
            found = match.failure_domain if match else None
            self.assertEqual(found, str(best) if best else None)


class TestCodec(unittest.TestCase):
    def test_segments_round_trip(self):
        for name in ("cerimonia", "maracas-bay"):
            document = example(name)
            decoded = codec.from_segments(codec.to_segments(document))
            self.assertEqual(differences(document, decoded), [])

    def test_one_key_changes_one_segment(self):
        document = example("cerimonia")
        key = issue_key("milano").entry
        before = codec.to_segments(document)
        after = codec.to_segments(commands.add_key(document, key))
        changed = [name for name in after if after[name] != before.get(name)]
        self.assertEqual(len(changed), 1)

    def test_faults_name_the_field(self):
        with self.assertRaises(InvalidDocument) as caught:
            codec.from_text('{"workspaces": [{"name": "a", "rate": "x", "burst": 1}]}')
        self.assertIn("rate", str(caught.exception))
        with self.assertRaises(InvalidDocument):
            codec.from_text("{")
        with self.assertRaises(InvalidDocument):
            codec.from_text('{"surprise": []}')


class TestCheck(unittest.TestCase):
    def test_examples_are_valid(self):
        for name in ("cerimonia", "maracas-bay"):
            self.assertEqual(check(example(name)), [])

    def test_finds_unknown_names_and_invalid_addresses(self):
        document = example("cerimonia")
        target = Target("t", "nowhere", "nobody", "localhost")
        faults = check(commands.put_target(document, target))
        invalid = {fault.field.removeprefix("targets[t].") for fault in faults}
        self.assertEqual(invalid, {"pool", "failure_domain", "address"})


class TestKeyRing(unittest.TestCase):
    def test_finds_only_the_complete_key(self):
        key = issue_key("milano")
        ring = KeyRing(Document(keys=(key.entry,)))
        self.assertEqual(ring.find(key.text).workspace, "milano")
        for wrong in ("", "psk", key.text[:-1], key.text + "0", "psk__", "ä_b_c"):
            self.assertIsNone(ring.find(wrong))

    def test_repr_does_not_contain_the_key(self):
        key = issue_key("milano")
        self.assertNotIn(key.text, repr(key))
        self.assertNotIn(key.text, repr(Document(keys=(key.entry,))))


class TestPoolForPath(unittest.TestCase):
    def test_prefix_matches_whole_path_segments(self):
        pools = (Pool("a", "/book", 1, 1), Pool("b", "/book/oath", 1, 1))
        document = evolve(Document(), pools=pools)
        names = {
            path: getattr(pool_for_path(document, path), "name", None)
            for path in ("/book", "/book/1", "/bookings", "/book/oath?x=1", "/book?x")
        }
        self.assertEqual(
            names,
            {
                "/book": "a",
                "/book/1": "a",
                "/bookings": None,
                "/book/oath?x=1": "b",
                "/book?x": "a",
            },
        )
