import collections
import random
import unittest

import trio

from plantainshed_gateway.connections import TargetConnections
from plantainshed_gateway.ports import TargetLoad
from plantainshed_gateway.selection.cold import ColdTargets
from plantainshed_gateway.selection.placement import Placement
from plantainshed_gateway.selection.queueing import QueueLimits
from plantainshed_gateway.selection.registry import (
    EXPIRY_GRACE_S,
    FAILURES_TO_EJECT,
    INITIAL_EJECTION_S,
    Registry,
)
from plantainshed_gateway.splitting import Splitter
from tests.gateway.gateway_support import (
    BOUNDS,
    make_call,
    make_configuration,
    make_entry,
    make_limits,
    make_reach,
    make_round_trips,
    make_route,
)
from tests.support import on_mock_clock

REGION_OF = {"mil-a": "lombardia", "ven-a": "veneto"}
ROUTE = make_route()
CONFIGURATION = make_configuration(ROUTE)
VMS = ["vm-0"]


def make_registry(count=10, **overrides) -> Registry:
    registry = Registry(REGION_OF)
    registry.update_configuration(CONFIGURATION)
    entries = [
        make_entry(f"i-{n}", failure_domain="mil-a" if n % 2 else "ven-a", **overrides)
        for n in range(count)
    ]
    registry.update_entries(entries, may_have_expired=False)
    return registry


def make_placement(
    registry: Registry, region="lombardia", round_trips=None
) -> Placement:
    round_trips = round_trips or make_round_trips()
    return Placement(
        region,
        registry,
        ColdTargets(BOUNDS, "vm-0"),
        make_limits(registry),
        QueueLimits(round_trips),
        TargetConnections(round_trips, make_reach(registry)),
        round_trips,
    )


def find_owners(registry: Registry, objects=200, placement=None) -> dict[str, str]:
    placement = placement or make_placement(registry)
    return {
        str(n): placement.choose(
            make_call(ROUTE, str(n)), CONFIGURATION, set(), VMS
        ).entry.instance
        for n in range(objects)
    }


def entries_of(registry: Registry):
    return [state.entry for state in registry.states.values()]


class TestObjectPlacement(unittest.TestCase):
    @on_mock_clock
    async def test_all_vms_place_an_object_on_the_same_target(self):
        self.assertEqual(find_owners(make_registry()), find_owners(make_registry()))

    @on_mock_clock
    async def test_leaving_target_moves_only_its_own_objects(self):
        registry = make_registry()
        before = find_owners(registry)
        remaining = [e for e in entries_of(registry) if e.instance != "i-3"]
        registry.update_entries(remaining, may_have_expired=False)
        after = find_owners(registry)
        moved = {name for name in before if before[name] != after[name]}
        self.assertEqual(moved, {n for n in before if before[n] == "i-3"})

    @on_mock_clock
    async def test_new_targets_get_objects_gradually(self):
        """Several targets join in one region at the same time.

        If they got their full share at once, a quarter of the requests would move to
        another region within two seconds and reach cold targets.
        """
        registry = make_registry()
        previous = {n: find_owners(registry)[n] for n in find_owners(registry)}
        new_entries = [make_entry(f"j-{n}", failure_domain="ven-a") for n in range(4)]
        registry.update_entries(
            entries_of(registry) + new_entries, may_have_expired=False
        )
        moved_by_step = []
        for _ in range(7):
            await trio.sleep(2)
            for state in registry.states.values():
                state.cold_until = 0.0
            now = find_owners(registry)
            moved = sum(now[name] != previous[name] for name in now)
            moved_by_step.append(moved / len(now))
            previous = now
        self.assertLess(max(moved_by_step), 0.15)
        on_new = sum(name.startswith("j-") for name in previous.values())
        self.assertGreater(on_new / len(previous), 0.2)

    @on_mock_clock
    async def test_home_regions_are_enforced(self):
        registry = make_registry()
        route = make_route(home_regions=frozenset({"veneto"}))
        placement = make_placement(registry)
        for n in range(50):
            state = placement.choose(
                make_call(route, str(n)), CONFIGURATION, set(), VMS
            )
            self.assertEqual(state.entry.failure_domain, "ven-a")


class TestWarmCopies(unittest.TestCase):
    """Measures the share of requests that reach a target with a warm copy.

    Compares placement by object with random choice and round robin. Each target
    caches 16 copies; a run with a warm copy takes a third of the time.
    """

    def warm_share(self, choose) -> float:
        cached = collections.defaultdict(collections.OrderedDict)
        rng = random.Random(3)
        warm = 0
        for _ in range(4000):
            name = str(rng.randrange(120))
            instance = choose(name, rng)
            copies = cached[instance]
            warm += name in copies
            copies[name] = True
            copies.move_to_end(name)
            if len(copies) > 16:
                copies.popitem(last=False)
        return warm / 4000

    @on_mock_clock
    async def test_by_object_beats_random_and_round_robin(self):
        registry = make_registry(10)
        placement = make_placement(registry)
        counter = iter(range(10**6))

        def by_object(name, rng):
            call = make_call(ROUTE, name)
            return placement.choose(call, CONFIGURATION, set(), VMS).entry.instance

        by_object_share = self.warm_share(by_object)
        random_share = self.warm_share(lambda name, rng: f"i-{rng.randrange(10)}")
        round_robin_share = self.warm_share(lambda name, rng: f"i-{next(counter) % 10}")
        self.assertGreater(by_object_share, 0.85)
        self.assertLess(random_share, 0.2)
        self.assertLess(round_robin_share, 0.2)


class TestFailuresAndOverload(unittest.TestCase):
    @on_mock_clock
    async def test_busy_first_owner_spills_to_second_owner(self):
        registry = make_registry()
        placement = make_placement(registry)
        call = make_call(ROUTE)
        first = placement.choose(call, CONFIGURATION, set(), VMS)
        second = placement.choose(call, CONFIGURATION, {first.entry.instance}, VMS)
        first.in_flight = 9
        self.assertIs(placement.choose(call, CONFIGURATION, set(), VMS), first)
        first.in_flight = 20
        self.assertIs(placement.choose(call, CONFIGURATION, set(), VMS), second)

    @on_mock_clock
    async def test_overload_never_uses_a_third_owner(self):
        """Guards against cache thrashing after a short overload of a pool.

        Requests spilled to third and fourth targets, whose limited caches then had
        to hold too many objects. Response times stayed three times as long for 30 s.
        """
        registry = make_registry()
        placement = make_placement(registry)
        call = make_call(ROUTE)
        first = placement.choose(call, CONFIGURATION, set(), VMS)
        tried = {first.entry.instance}
        second = placement.choose(call, CONFIGURATION, tried, VMS)
        tried.add(second.entry.instance)
        self.assertIsNone(placement.choose(call, CONFIGURATION, tried, VMS))
        second.note_unreachable()
        third = placement.choose(call, CONFIGURATION, tried, VMS)
        self.assertNotIn(third, (first, second, None))

    @on_mock_clock
    async def test_request_that_would_wait_too_long_is_refused_at_once(self):
        """A pool gets more requests than it can run.

        Without the limit, each request waits in a full queue and is answered late or
        not at all.
        """
        registry = make_registry(2)
        placement = make_placement(registry)
        call = make_call(ROUTE)
        some = registry.states["i-0"]
        some.note_load(TargetLoad(running=1, waiting=0, slots=9))
        placement.queues.note_answer(some, 0.15)
        for state in registry.states.values():
            state.note_load(TargetLoad(running=9, waiting=9, slots=9))
        self.assertIsNotNone(placement.choose(call, CONFIGURATION, set(), VMS))
        for state in registry.states.values():
            state.note_load(TargetLoad(running=9, waiting=27, slots=9))
        self.assertIsNone(placement.choose(call, CONFIGURATION, set(), VMS))

    @on_mock_clock
    async def test_false_alarm_does_not_empty_a_pool(self):
        registry = make_registry()
        for state in registry.states.values():
            state.note_unreachable()
        self.assertEqual(len(registry.usable("calendario", frozenset())), 10)

    @on_mock_clock
    async def test_requests_are_placed_during_a_false_alarm(self):
        """Guards against refusing every request because all targets seem to fail."""
        registry = make_registry()
        owners = find_owners(registry)
        for state in registry.states.values():
            for _ in range(FAILURES_TO_EJECT):
                state.note_failure()
        self.assertEqual(find_owners(registry), owners)

    @on_mock_clock
    async def test_ejection_moves_objects_only_while_it_lasts(self):
        """Guards against VMs that disagree on owners after an ejection.

        Rankings that were computed during the ejection lacked the ejected target until
        the set of targets changed.
        """
        registry = make_registry()
        placement = make_placement(registry)
        owners = find_owners(registry)
        state = registry.states["i-3"]
        for _ in range(FAILURES_TO_EJECT):
            state.note_failure()
        during = find_owners(registry, placement=placement)
        self.assertNotIn("i-3", during.values())
        state.note_success()
        await trio.sleep(INITIAL_EJECTION_S + 0.1)
        self.assertEqual(find_owners(registry, placement=placement), owners)

    @on_mock_clock
    async def test_requests_are_placed_if_all_ranked_targets_are_ejected(self):
        """Guards against refusals while healthy targets rank too low to be listed."""
        registry = make_registry(30)
        placement = make_placement(registry)
        ranked = placement._ranked_by_object(
            make_call(ROUTE, "1"), registry.eligible("calendario", frozenset())
        )
        for state in ranked:
            state.note_unreachable()
        chosen = placement.choose(make_call(ROUTE, "1"), CONFIGURATION, set(), VMS)
        self.assertFalse(chosen.is_ejected)

    @on_mock_clock
    async def test_targets_whose_entries_expired_together_stay_usable(self):
        """Targets' entries expire while the store is down.

        All targets then seem to disappear at once although they still run. Their
        entries return within two seconds; callers were refused until then.
        """
        registry = make_registry()
        remaining = entries_of(registry)[:2]
        registry.update_entries(remaining, may_have_expired=False)
        self.assertEqual(len(registry.usable("calendario", frozenset())), 10)
        await trio.sleep(1.9)
        registry.drop_expired()
        self.assertEqual(len(registry.usable("calendario", frozenset())), 2)

    @on_mock_clock
    async def test_expired_target_gets_no_requests_after_its_grace_period(self):
        """Guards against requests to a departed target until the next upkeep step."""
        registry = make_registry()
        placement = make_placement(registry)
        remaining = entries_of(registry)[1:]
        registry.update_entries(remaining, may_have_expired=True)
        calls = [make_call(ROUTE, str(n)) for n in range(200)]
        await trio.sleep(EXPIRY_GRACE_S)
        self.assertEqual(len(registry.usable("calendario", frozenset())), 9)
        chosen = {
            placement.choose(call, CONFIGURATION, set(), VMS).entry.instance
            for call in calls
        }
        self.assertNotIn("i-0", chosen)

    @on_mock_clock
    async def test_single_removed_entry_takes_effect_at_once(self):
        registry = make_registry()
        remaining = entries_of(registry)[1:]
        registry.update_entries(remaining, may_have_expired=False)
        self.assertEqual(len(registry.usable("calendario", frozenset())), 9)

    @on_mock_clock
    async def test_restarted_target_is_cold(self):
        registry = make_registry()
        entries = [make_entry("i-0", started_ms=2), *entries_of(registry)[1:]]
        registry.update_entries(entries, may_have_expired=False)
        self.assertTrue(registry.states["i-0"].is_cold)

    @on_mock_clock
    async def test_domain_is_cold_after_its_evacuation_ends(self):
        registry = make_registry()
        registry.update_evacuated(frozenset({"mil-a"}))
        self.assertEqual(len(registry.usable("calendario", frozenset())), 5)
        registry.update_evacuated(frozenset())
        states = registry.usable("calendario", frozenset())
        cold = {s.entry.failure_domain for s in states if s.is_cold}
        self.assertEqual(cold, {"mil-a"})


class TestSplitter(unittest.TestCase):
    @on_mock_clock
    async def test_shares_meet_the_weights_with_few_objects(self):
        """A route splits its requests between two pools by weight.

        With 40 objects, each on one pool, the shares by hash alone were off by up to
        a fifth.
        """
        for weights in ((50, 50), (90, 10), (30, 70)):
            route = make_route(pools=(("a", weights[0]), ("b", weights[1])))
            for seed in range(5):
                rng = random.Random(seed)
                splitter = Splitter()
                sent = collections.Counter(
                    splitter.choose(route, f"{seed}-{rng.randrange(40)}")
                    for _ in range(600)
                )
                self.assertAlmostEqual(sent["a"] / 600, weights[0] / 100, delta=0.1)
