"""Tests which VM forwards requests of a VM that reaches no target."""

import unittest
from collections import Counter

import trio

from plantainshed_gateway.heartbeats import VmState
from plantainshed_gateway.members import HEARTBEAT_TIMEOUT_S, Members
from plantainshed_gateway.relay_choice import AVOID_S, RelayChoice
from tests.gateway.gateway_support import make_heartbeat
from tests.support import on_mock_clock

ANY = frozenset()


def make_choice(**states) -> RelayChoice:
    """Return the choice of a VM in Lombardia, given other VMs' heartbeat fields."""
    members = Members(make_heartbeat("own"))
    for name, fields in states.items():
        members.record_heartbeat(make_heartbeat(name, **fields), f"ip-{name}")
    return RelayChoice(members)


def choose_many(choice: RelayChoice, count: int) -> Counter:
    """Choose VMs for requests that stay in flight; return how often each was chosen."""
    for _ in range(count):
        choice.in_flight[choice.choose(ANY, set()).vm] += 1
    return choice.in_flight


class TestEligibleVms(unittest.TestCase):
    @on_mock_clock
    async def test_only_vms_that_accept_requests_and_reach_targets(self):
        """Guards against cut-off VMs that ask each other."""
        choice = make_choice(
            cut={"is_cut_off": True},
            starting={"state": VmState.STARTING},
        )
        self.assertIsNone(choice.choose(ANY, set()))

    @on_mock_clock
    async def test_leaving_vm_is_chosen_if_there_is_no_other(self):
        """Guards against refusals while the only VM that reaches targets leaves."""
        choice = make_choice(leaving={"state": VmState.LEAVING}, ready={})
        choice.in_flight["ready"] = 100
        self.assertEqual(choice.choose(ANY, set()).vm, "ready")
        self.assertEqual(choice.choose(ANY, {"ready"}).vm, "leaving")

    @on_mock_clock
    async def test_silent_vm_is_not_chosen(self):
        choice = make_choice(other={})
        await trio.sleep(HEARTBEAT_TIMEOUT_S)
        self.assertIsNone(choice.choose(ANY, set()))

    @on_mock_clock
    async def test_request_stays_in_its_home_regions(self):
        """Guards against bodies sent to regions where they must not be."""
        choice = make_choice(near={}, far={"region": "veneto"})
        self.assertEqual(choice.choose(frozenset({"veneto"}), set()).vm, "far")
        self.assertIsNone(choice.choose(frozenset({"piemonte"}), set()))

    @on_mock_clock
    async def test_vm_that_failed_is_avoided_for_a_while(self):
        choice = make_choice(other={})
        choice.avoid("other")
        self.assertIsNone(choice.choose(ANY, set()))
        await trio.sleep(AVOID_S)
        self.assertEqual(choice.choose(ANY, set()).vm, "other")
        self.assertIsNone(choice.choose(ANY, {"other"}))


class TestSpreading(unittest.TestCase):
    @on_mock_clock
    async def test_by_bandwidth(self):
        choice = make_choice(wide={"weight": 90.0}, narrow={"weight": 10.0})
        self.assertAlmostEqual(choose_many(choice, 100)["narrow"], 10, delta=2)

    @on_mock_clock
    async def test_far_vms_help_once_near_ones_have_several_times_as_many(self):
        """Guards against the rest of a region that is overloaded while others idle."""
        far = {f"far-{n}": {"region": "veneto"} for n in range(6)}
        choice = make_choice(near={}, **far)
        in_flight = choose_many(choice, 90)
        self.assertAlmostEqual(in_flight["near"], 30, delta=3)
        self.assertAlmostEqual(in_flight["far-0"], 10, delta=2)

    @on_mock_clock
    async def test_vm_that_does_not_answer_gets_no_more(self):
        """Guards against a paused VM that swallows requests until it counts as gone."""
        choice = make_choice(paused={}, other={})
        choice.in_flight["paused"] = 5
        self.assertEqual(choice.choose(ANY, set()).vm, "other")
