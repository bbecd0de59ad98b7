"""Tests the exchange of load reports between VMs, without sockets."""

import contextlib
import unittest

import attrs
import orjson
import trio
from attrs import evolve

from plantainshed_gateway.datagrams import decode, encode
from plantainshed_gateway.heartbeats import DomainSummary, QuotaUsage
from plantainshed_gateway.load_sharing import target_digest
from plantainshed_gateway.model import Workspace
from plantainshed_gateway.selection.load_reports import LoadReport, LoadTracker, sum_of
from plantainshed_gateway.selection.report_need import IDLE_S, ReportNeed
from plantainshed_gateway.settings import ShareLoad
from plantainshed_gateway.speakers import Speakers
from tests.gateway.gateway_support import make_entry, make_heartbeat
from tests.gateway.linked_fleet import LinkedFleet
from tests.support import on_mock_clock

BUILD_FARM = {"a-1": 14, "a-2": 14, "b-1": 13, "b-2": 13, "c-1": 13, "c-2": 13}
SMALL = {"a-1": 4, "b-1": 4, "c-1": 4}
TARGETS = tuple(make_entry(f"i-{number:010x}") for number in range(152))
WORKSPACES = {f"w-{n}": Workspace(f"w-{n}", None, 20.0, 20.0) for n in range(8)}
# Bytes per second that a VM may spend on all control messages.
CONTROL_BYTES_PER_S = 26_000


class FixedTracker(LoadTracker):
    """A tracker that always reports the same load."""

    def __init__(self, number: int):
        super().__init__()
        self.fixed = LoadReport(
            {
                TARGETS[(5 * number + k) % len(TARGETS)].instance: 0.05 * (1 + k)
                for k in range(30)
            },
            {f"pool-{k}": {0: 1.25, 2: 0.5} for k in range(3)},
            {f"r-89gx4a9/pkg-{number * 3 + k}": 0.35 for k in range(9)},
            {f"pool-{k}": (1.5, 0.25) for k in range(3)},
        )

    def report(self) -> LoadReport:
        return self.fixed


class ReportingFleet(LinkedFleet):
    """A fleet whose VMs have fixed loads."""

    def start(self, vm):
        vm.load_sharing.tracker = FixedTracker(list(self.domain_of).index(vm.ip))
        super().start(vm)

    def reported(self, vms) -> LoadReport:
        return sum_of(vm.load_sharing.tracker.fixed for vm in vms)


def rounded(values: dict) -> dict:
    return {key: round(value, 4) for key, value in values.items()}


@contextlib.asynccontextmanager
async def running_fleet(domains=SMALL, share_load=ShareLoad.ALWAYS):
    workspace = Workspace("comune", None, 20.0, 20.0)
    async with trio.open_nursery() as nursery:
        yield ReportingFleet(
            domains, workspace, nursery, 0.012, targets=TARGETS, share_load=share_load
        )
        nursery.cancel_scope.cancel()


class TestExchange(unittest.TestCase):
    def check_known(self, fleet, hears=lambda a, b: True):
        """Check that each VM knows exactly the load of the VMs that it hears."""
        for vm in fleet.all():
            known = vm.load_sharing.fleet_load.of_others()
            others = [o for o in fleet.all() if o is not vm and hears(vm, o)]
            expected = fleet.reported(others)
            self.assertEqual(rounded(known.targets), rounded(expected.targets))
            self.assertEqual(known.offered.keys(), expected.offered.keys())
            for pool, rates in expected.offered.items():
                self.assertEqual(rounded(known.offered[pool]), rounded(rates))

    async def watch(self, fleet, seconds: float, hears=lambda a, b: True):
        """Check that no VM ever counts more than all VMs report."""
        for _ in range(round(seconds / 0.1)):
            await trio.sleep(0.1)
            for vm in fleet.all():
                known = vm.load_sharing.fleet_load.of_others().targets
                for instance, load in known.items():
                    self.assertLess(load, fleet.total.targets[instance] + 0.001)
        self.check_known(fleet, hears)

    @on_mock_clock
    async def test_load_of_80_vms_is_known_within_2_s(self):
        """Guards against VMs that choose targets without knowing their load."""
        async with running_fleet(BUILD_FARM) as fleet:
            # The last VM starts after half a second.
            await trio.sleep(2.5)
            self.check_known(fleet)
            # A change is known everywhere within 2 s, too.
            await trio.sleep(1.0)
            for number, vm in enumerate(fleet.all()):
                vm.load_sharing.tracker = FixedTracker(number + 3)
            await trio.sleep(2.0)
            self.check_known(fleet)

    @on_mock_clock
    async def test_lost_load_expires_and_none_is_counted_twice(self):
        """Guards against load that no longer exists, and load that counts twice.

        Each VM gets the same summaries from two speakers, directly or relayed.
        """
        async with running_fleet() as fleet:
            await trio.sleep(4.0)
            fleet.total = fleet.reported(fleet.all())
            fleet.restart("10.1.0.2")
            await self.watch(fleet, 3.1)
            # Both sides of a partition count what they know.
            inside = lambda ip: fleet.domain_of[ip] == "a-1"  # noqa: E731
            fleet.is_cut = lambda a, b: inside(a) != inside(b)
            await self.watch(fleet, 3.1, lambda a, b: inside(a.ip) == inside(b.ip))
            fleet.is_cut = lambda a, b: False
            await self.watch(fleet, 3.1)
            fleet.kill("10.0.0.1")
            await self.watch(fleet, 3.1)
            # New speakers are elected 2.6 s after the old ones die.
            for name in fleet.vms["10.2.0.1"].speakers.names():
                fleet.kill(name.removeprefix("vm-"))
            await self.watch(fleet, 6.2)

    @on_mock_clock
    async def test_delayed_summary_does_not_replace_a_newer_one(self):
        """Guards against an old report that looks new because it was relayed late."""
        async with running_fleet() as fleet:
            await trio.sleep(4.0)
            receiver = fleet.vms["10.1.0.2"]
            relay = Speakers(fleet.vms["10.1.0.1"].members)
            relay.queue_for_relay(fleet.vms["10.0.0.1"].speakers.make_summary())
            await trio.sleep(2.5)
            (bundle,) = relay.take_bundles()
            (packed,) = decode(encode(bundle)).summaries
            self.assertGreaterEqual(packed.unpack().load_age_s, 2.5)
            receiver.load_sharing.record_summary(
                evolve(packed.unpack(), load=LoadReport())
            )
            self.check_known(fleet)

    @on_mock_clock
    async def test_all_vms_report_while_one_needs_it(self):
        """Guards against bytes for reports that nobody needs, and missing ones."""

        def reporting():
            return sum(vm.load_sharing.make_report() is not None for vm in fleet.all())

        async with running_fleet(share_load=ShareLoad.AUTO) as fleet:
            await trio.sleep(4.0)
            self.assertEqual(reporting(), 0)
            fleet.vms["10.0.0.1"].load_sharing.share_load = ShareLoad.ALWAYS
            fleet.vms["10.2.0.1"].load_sharing.share_load = ShareLoad.NEVER
            await trio.sleep(3.0)
            self.assertEqual(reporting(), fleet.count - 1)
            fleet.kill("10.0.0.1")
            await trio.sleep(8.0)
            self.assertEqual(reporting(), 0)


class TestSizes(unittest.TestCase):
    @on_mock_clock
    async def test_control_messages_of_80_vms_stay_within_the_bound(self):
        """Guards against reports that take more bytes than a VM may spend."""
        async with running_fleet(BUILD_FARM) as fleet:
            for number, vm in enumerate(fleet.all()):
                vm.quotas.workspaces = WORKSPACES
                for workspace in WORKSPACES.values():
                    vm.quotas.admit(workspace)
                tracker = vm.load_sharing.tracker
                busy = {
                    entry.instance: 0.05 * ((n + 11 * number) % len(TARGETS))
                    for n, entry in enumerate(TARGETS)
                }
                tracker.fixed = evolve(tracker.fixed, targets=busy)
            await trio.sleep(4.0)
            fleet.sent_bytes.clear()
            await trio.sleep(4.0)
            self.assertLess(max(fleet.sent_bytes.values()) / 4, CONTROL_BYTES_PER_S)
            heartbeat = fleet.vms["10.0.0.1"].make_full_heartbeat()
            summary = fleet.vms["10.0.0.1"].speakers.make_summary()
            self.assertGreater(len(summary.load.targets), 140)
            # It relays one summary a second to the 13 others, and sends 2 heartbeats.
            size = 2 * 13 * len(encode(heartbeat)) + 13 * len(encode(summary))
            self.assertLess(size, CONTROL_BYTES_PER_S)

    def test_other_builds_are_understood(self):
        """Guards against VMs that do not hear each other during an upgrade."""
        load = LoadReport(
            {target_digest("i-1"): 1.25}, {"p": {0: 2.5}}, {"r/1": 0.35}, {"p": (3, 1)}
        )
        summary = DomainSummary("b", "r", "vm-1", 1, 1, "c:1", 0.1)
        usage = {"w": QuotaUsage(1.0, 0.5)}
        for message in (make_heartbeat("vm-1", usage=usage), summary):
            with self.subTest(kind=type(message).__name__):
                message = evolve(message, needs_load=True, load=load)
                self.assertEqual(decode(encode(message)), message)
                tag, fields = orjson.loads(encode(message))
                longer = orjson.dumps([tag, [*fields, "new"]])
                self.assertEqual(decode(longer), message)
                position = [a.name for a in attrs.fields(type(message))].index("load")
                older = orjson.dumps([tag, fields[: position - 1]])
                self.assertIsNone(decode(older).load)
                fields[position][1].append(1)
                self.assertRaises(ValueError, decode, orjson.dumps([tag, fields]))


class TestReportNeed(unittest.TestCase):
    @on_mock_clock
    async def test_needed_where_answers_are_rare(self):
        """Guards against flapping, and against reports where answers are frequent."""
        need = ReportNeed()
        for ages, interval_s, is_needed in (
            # Nothing is known during the first moments after a start.
            ([None] * 60 + [0.1] * 600, 0.01, False),
            ([15.0, None] * 20, 0.2, True),
            ([0.8] * 200, 0.2, True),
            ([0.3] * 200, 0.2, False),
            ([0.8] * 200, 0.2, False),
            ([None] * 40, 1.0, True),
        ):
            for age_s in ages:
                need.note_choice(age_s)
                await trio.sleep(interval_s)
            self.assertIs(need.is_needed, is_needed)
        await trio.sleep(IDLE_S)
        self.assertFalse(need.is_needed)


class TestLoadTracker(unittest.TestCase):
    @on_mock_clock
    async def test_forgets_what_has_no_requests(self):
        """Guards against memory that callers' keys and old targets would use up."""
        tracker = LoadTracker()
        tracker.note_offered("pool", 0, "r/" + 1000 * "x")
        tracker.note_offered("pool", 0, "r/17")
        tracker.note_in_flight("i-1", 1)
        await trio.sleep(1.0)
        tracker.note_in_flight("i-1", 0)
        self.assertEqual(list(tracker.report().objects), ["r/17"])
        self.assertEqual(list(tracker.report().targets), ["i-1"])
        await trio.sleep(15.0)
        tracker.forget_idle()
        self.assertEqual((tracker._objects, tracker._in_flight), ({}, {}))
