"""Tests when a VM finds that it reaches no target, with connections that can fail."""

import unittest

import trio

from plantainshed_gateway.connections import TargetConnections
from plantainshed_gateway.reach_prober import ReachProber
from plantainshed_gateway.selection.registry import Registry
from plantainshed_gateway.target_reach import SILENCE_S, TargetReach
from plantainshed_http.errors import ConnectFailed
from tests.gateway.gateway_support import RecordingLog, make_entry, make_round_trips
from tests.support import on_mock_clock

REGION_OF = {"mil-a": "lombardia", "mil-b": "lombardia", "ven-a": "veneto"}
POOLS = ("calendario", "prenota", "giuramento")
# Shorter than the shortest bound after which callers of cut-off VMs count.
DETECTED_WITHIN_S = 3.0


class FakeConnection:
    reusable = True
    stale = False
    idle_s = 0.0
    send_started = False

    def close(self):
        pass


class Links:
    """One VM and its links to targets in all failure domains.

    Attributes
    ----------
    unreachable : set of str
        Instances to which connections fail.
    hangs : bool
        Whether these connections time out rather than being refused.
    silent : set of str
        Instances whose connections are accepted, but carry nothing.
    """

    def __init__(self, count=18):
        self.unreachable: set[str] = set()
        self.silent: set[str] = set()
        self.hangs = False
        self.opened = 0
        self.changes = 0
        self.log = RecordingLog()
        self.registry = Registry(REGION_OF)
        domains = list(REGION_OF)
        entries = [
            make_entry(
                f"i-{n}",
                address=f"i-{n}",
                failure_domain=domains[n % 3],
                pool=POOLS[n // 3 % 3],
            )
            for n in range(count)
        ]
        self.registry.update_entries(entries, may_have_expired=False)
        self.reach = TargetReach(self.registry, "lombardia", "mil-a")
        self.connections = TargetConnections(
            make_round_trips(), self.reach, self.connect
        )
        self.prober = ReachProber(
            self.reach,
            self.registry,
            self.connections,
            self,
            self.on_change,
            self.log,
        )

    @property
    def states(self):
        return list(self.registry.states.values())

    async def connect(self, address, timeout_s):
        self.opened += 1
        if address not in self.unreachable:
            await trio.sleep(0.001)
            return FakeConnection()
        await trio.sleep(timeout_s if self.hangs else 0.001)
        raise ConnectFailed(f"{address}: unreachable")

    async def is_answered(self, connection, state) -> bool:
        """Stand in for health checks."""
        await trio.sleep(0.5 if state.entry.instance in self.silent else 0.01)
        return state.entry.instance not in self.silent

    async def on_change(self):
        self.changes += 1

    async def fail_one(self):
        """Try to connect to an unreachable target, as a request does."""
        state = next(s for s in self.states if s.entry.instance in self.unreachable)
        try:
            await self.connections.open(state)
        except ConnectFailed:
            state.note_unreachable()

    def cut(self, share=1.0):
        count = round(share * len(self.states))
        self.unreachable = {s.entry.instance for s in self.states[:count]}


def with_links(test):
    @on_mock_clock
    async def run(self):
        links = Links()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(links.prober.run)
            await test(self, links)
            nursery.cancel_scope.cancel()

    return run


class TestDetection(unittest.TestCase):
    @with_links
    async def test_connections_that_hang(self, links):
        links.cut()
        links.hangs = True
        await links.fail_one()
        await trio.sleep(DETECTED_WITHIN_S - SILENCE_S)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_connections_that_are_refused(self, links):
        links.cut()
        await links.fail_one()
        await trio.sleep(0.1)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_failure_just_after_a_check(self, links):
        """Guards against a failure that is forgotten if no other request follows."""
        await links.prober.confirm_cut(trio.current_time())
        links.cut()
        await trio.sleep(0.1)
        await links.fail_one()
        for _ in range(4):
            await trio.sleep(0.25)
            links.reach.check_silence()
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_kept_connections_that_go_silent(self, links):
        """Guards against a cut that is not noticed while no connection is opened."""
        links.cut()
        links.hangs = True
        with links.reach.waiting_for_answer(False):
            for _ in range(int(DETECTED_WITHIN_S / 0.25)):
                await trio.sleep(0.25)
                links.reach.check_silence()
            self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_kept_connections_that_go_silent_under_short_deadlines(self, links):
        """Guards against few requests that all end before silence is noticed."""
        links.cut()
        links.hangs = True
        with trio.move_on_after(SILENCE_S / 4), links.reach.waiting_for_answer(False):
            await trio.sleep_forever()
        await trio.sleep(DETECTED_WITHIN_S - SILENCE_S)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_kept_connections_that_live_on(self, links):
        """Guards against answers on old connections hiding that new ones fail."""
        links.cut()
        await links.fail_one()
        links.reach.note_answer()
        await trio.sleep(0.1)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_connections_that_are_accepted_on_the_way(self, links):
        """Guards against something on the way that hides that no target answers."""
        links.silent = {s.entry.instance for s in links.states}
        with links.reach.waiting_for_answer(False):
            for _ in range(int(DETECTED_WITHIN_S / 0.25)):
                await trio.sleep(0.25)
                await links.connections.open(links.states[0])
                links.reach.check_silence()
            self.assertTrue(links.reach.is_cut_off)
        await trio.sleep(5)
        self.assertTrue(links.reach.is_cut_off)
        links.silent.clear()
        await trio.sleep(1)
        self.assertFalse(links.reach.is_cut_off)

    @with_links
    async def test_accepted_connections_that_break(self, links):
        links.silent = {s.entry.instance for s in links.states}
        links.reach.note_failed()
        await trio.sleep(DETECTED_WITHIN_S - SILENCE_S)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_ejections_during_a_cut_end_with_it(self, links):
        """Guards against targets that stay ejected although only the links failed."""
        links.cut()
        for state in links.states:
            state.note_unreachable()
        await links.fail_one()
        await trio.sleep(0.1)
        self.assertEqual([s for s in links.states if s.is_ejected], [])


class TestRequestsInFlight(unittest.TestCase):
    async def wait_in_flight(self, links, is_idempotent: bool) -> bool:
        """Return whether a request in flight is cancelled when a cut is found."""
        links.cut()
        with trio.move_on_after(DETECTED_WITHIN_S):
            with links.reach.waiting_for_answer(is_idempotent) as scope:
                await trio.sleep(0.6)
                await links.fail_one()
                await trio.sleep_forever()
        return scope.cancelled_caught

    @with_links
    async def test_idempotent_request_is_cancelled(self, links):
        self.assertTrue(await self.wait_in_flight(links, is_idempotent=True))

    @with_links
    async def test_other_request_is_not_cancelled(self, links):
        """Guards against giving up a request whose answer may still arrive."""
        self.assertFalse(await self.wait_in_flight(links, is_idempotent=False))

    @with_links
    async def test_request_on_a_connection_that_lives_on_is_not_cancelled(self, links):
        """Guards against running requests again that are about to be answered."""
        links.cut()
        with trio.move_on_after(1.0):
            with links.reach.waiting_for_answer(True) as scope:
                await trio.sleep(0.6)
                links.reach.note_answer()
                await links.fail_one()
                await trio.sleep_forever()
        self.assertTrue(links.reach.is_cut_off)
        self.assertFalse(scope.cancelled_caught)


class TestFalseAlarms(unittest.TestCase):
    @with_links
    async def test_one_target_down(self, links):
        links.cut(1 / 18)
        await links.fail_one()
        await trio.sleep(0.1)
        self.assertFalse(links.reach.is_cut_off)

    @with_links
    async def test_own_failure_domain_still_reachable(self, links):
        links.unreachable = {
            s.entry.instance for s in links.states if s.entry.failure_domain != "mil-a"
        }
        await links.fail_one()
        await trio.sleep(0.1)
        self.assertFalse(links.reach.is_cut_off)

    @with_links
    async def test_whole_pool_down(self, links):
        links.unreachable = {
            s.entry.instance for s in links.states if s.entry.pool == POOLS[0]
        }
        await links.fail_one()
        await trio.sleep(0.1)
        self.assertFalse(links.reach.is_cut_off)

    @with_links
    async def test_slow_answers_cost_few_connections(self, links):
        """Guards against a connection for each slow request."""
        with links.reach.waiting_for_answer(False):
            for _ in range(40):
                await trio.sleep(0.25)
                links.reach.check_silence()
        self.assertFalse(links.reach.is_cut_off)
        self.assertLessEqual(links.opened, 10)


class TestEnd(unittest.TestCase):
    @with_links
    async def test_end_of_a_cut_is_noticed_at_once(self, links):
        links.cut()
        await links.fail_one()
        await trio.sleep(5)
        self.assertTrue(links.reach.is_cut_off)
        links.cut(0)
        await trio.sleep(0.3)
        self.assertFalse(links.reach.is_cut_off)
        self.assertEqual(links.changes, 2)

    @with_links
    async def test_one_reachable_target_does_not_end_it(self, links):
        """Guards against a VM that changes its mind with each target it tries."""
        links.cut()
        await links.fail_one()
        await trio.sleep(0.1)
        links.unreachable.discard("i-3")
        await trio.sleep(5)
        self.assertTrue(links.reach.is_cut_off)

    @with_links
    async def test_end_of_a_cut_that_a_request_found_is_noticed(self, links):
        """Guards against a prober that waits for an event that was replaced."""
        await trio.sleep(1)
        self.assertFalse(await links.prober.confirm_cut(trio.current_time()))
        await trio.sleep(0.1)
        links.cut()
        self.assertTrue(await links.prober.confirm_cut(trio.current_time()))
        links.cut(0)
        await trio.sleep(1)
        self.assertFalse(links.reach.is_cut_off)
