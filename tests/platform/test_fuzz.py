"""Tests every decoder of external input with random and mutated input.

The profile is derandomized, so each run tries the same inputs. A decoder must
return a value or raise the error that names the problem. Any other exception would
end a task that other callers depend on.
"""

import copy
import json
import math
import tempfile
import unittest
from pathlib import Path

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.errors import BadItem, BadRequest, SettingsError
from plantainshed_gateway.ports import Item
from plantainshed_gateway.settings import load_settings
from plantainshed_http.messages import RequestHead, ResponseHead
from plantainshed_platform.check import check
from plantainshed_platform.decoding import PlatformDecoder
from plantainshed_platform.wire import PlatformWire
from tests.gateway.gateway_support import make_heartbeat
from tests.platform.platform_support import configuration, entry
from tests.platform.target_standin import TargetStandin
from tests.platform.test_daemon import filled_template

PROFILE = settings(max_examples=300, derandomize=True, deadline=None, database=None)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
HEADER_NAMES = st.sampled_from(
    [
        b"host",
        b"request-id",
        b"deadline-ms",
        b"affinity-key",
        b"authorization",
        b"server-load",
        b"warmup-ms",
        b"not-executed",
        b"connection",
    ]
)
HEADER_VALUES = st.binary(max_size=20) | st.sampled_from(
    [b"nan", b"inf", b"-inf", b"-1", b"0", b"1e400", b"250", b"9" * 400, b"1,2,3"]
)
HEADERS = st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=8)


def places(value, path=()):
    """Yield the path of a JSON value and of every value nested in it."""
    yield path
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from places(child, (*path, key))


def replaced(value, path, new):
    """Return a copy with the value at `path` replaced, or removed if `new` is `...`."""
    if not path:
        return new
    value = copy.deepcopy(value)
    holder = value
    for key in path[:-1]:
        holder = holder[key]
    if new is ...:
        del holder[path[-1]]
    else:
        holder[path[-1]] = new
    return value


def mutated(value):
    """Return a strategy for copies of `value` that differ from it in one place."""
    return st.tuples(st.sampled_from(list(places(value))[1:]), JSON | st.just(...)).map(
        lambda change: replaced(value, *change)
    )


class TestStoredObjects(unittest.TestCase):
    @PROFILE
    @given(mutated(configuration()) | JSON)
    def test_configuration_is_taken_whole_or_refused(self, value):
        try:
            taken = PlatformDecoder().configuration(Item("main", 1, value))
        except BadItem as error:
            self.assertTrue(error.field)
        else:
            self.assertEqual(len(taken.routes), len(value["hosts"] or []))
            for host in value["hosts"] or []:
                prefixes = {path["prefix"] for path in host["paths"] or []}
                self.assertEqual(set(taken.routes[host["host"].lower()]), prefixes)
            self.assertNotIn("", taken.workspace_by_key)

    @PROFILE
    @given(mutated(configuration()) | JSON)
    def test_check_of_a_configuration_agrees_with_the_decoder(self, value):
        """Guards against a check that fails on what the decoder accepts."""
        text = json.dumps(value).encode()
        try:
            value = orjson.loads(text)
        except ValueError:
            # The store's JSON has neither NaN nor integers of more than 64 bits.
            return
        try:
            decoded = PlatformDecoder().configuration(Item("main", 1, value))
            problems = {problem.field for problem in decoded.problems}
        except BadItem as error:
            problems = {error.field}
        result = check(text)
        self.assertLessEqual(problems, {f["field"] for f in result["findings"]})
        self.assertTrue(result["has_errors"] or not problems)

    @PROFILE
    @given(mutated(entry(TargetStandin("i", address="10.0.0.1:80"))) | JSON)
    def test_target_is_taken_whole_or_refused(self, value):
        try:
            taken = PlatformDecoder().target(Item("i-1", 1, value))
        except BadItem as error:
            self.assertTrue(error.field)
        else:
            self.assertTrue(taken.pool and taken.failure_domain)
            self.assertGreaterEqual(taken.cold_for_s, 0)


class TestMessages(unittest.TestCase):
    @PROFILE
    @given(HEADERS, st.text(max_size=20))
    def test_request_is_read_or_refused(self, headers, target):
        head = RequestHead("GET", "/" + target, headers)
        wire = PlatformWire()
        try:
            request = wire.read_request(head)
        except BadRequest as error:
            self.assertIn("Deadline-Ms", str(error))
        else:
            if request.deadline_s is not None:
                self.assertTrue(0 < request.deadline_s < math.inf)
        wire.read_lookup(head)

    @PROFILE
    @given(HEADERS, st.integers(200, 599))
    def test_answer_is_always_read(self, headers, status):
        said = PlatformWire().read_answer(ResponseHead(status, headers))
        self.assertEqual(said.is_other_instance, status == 421)
        self.assertTrue(said.cold_for_s is None or said.cold_for_s < math.inf)

    @PROFILE
    @given(
        st.binary(max_size=60)
        | st.tuples(st.integers(0, 200), st.binary(max_size=3)).map(
            lambda change: (
                encode(make_heartbeat("vm-1"))[: change[0]]
                + change[1]
                + encode(make_heartbeat("vm-1"))[change[0] + 1 :]
            )
        )
    )
    def test_datagram_is_read_or_refused(self, data):
        try:
            decode(data)
        except ValueError as error:
            self.assertTrue(str(error))


class TestSettingsFile(unittest.TestCase):
    @PROFILE
    @given(st.integers(0, 900), st.text(max_size=6))
    def test_file_is_taken_whole_or_refused(self, place, text):
        whole = filled_template("127.0.0.1:1", [1, 2, 3, 4, 5, 6])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            changed = whole[:place] + text + whole[place + 1 :]
            path.write_text(changed, encoding="utf-8", errors="ignore")
            try:
                taken = load_settings(str(path))
            except SettingsError as error:
                self.assertIn(str(path), str(error))
            else:
                self.assertTrue(taken.vm)
