"""A simulation of VMs that place requests on targets with an object cache.

The VMs use the gateway's own placement, queue limits and connections. Their
environment is simulated on a virtual clock: the latency between regions, the slots
and queues of targets, and the duration of requests, which is shorter for an object
that the target remembers.
"""

import heapq
import io
import itertools
import math
import random
from collections import OrderedDict

import trio

from plantainshed_gateway.call import Call
from plantainshed_gateway.connections import TargetConnections
from plantainshed_gateway.heartbeats import Heartbeat, VmState
from plantainshed_gateway.logs import DecisionLog
from plantainshed_gateway.members import Members
from plantainshed_gateway.model import (
    CallerLimits,
    Configuration,
    Pool,
    RequestKind,
    Route,
    WeightedPool,
    Workspace,
)
from plantainshed_gateway.ports import CallerRequest, TargetEntry, TargetLoad
from plantainshed_gateway.selection.choice import LoadAwareChoice
from plantainshed_gateway.selection.cold import ColdTargets
from plantainshed_gateway.selection.load_reports import FleetLoad, LoadTracker
from plantainshed_gateway.selection.placement import Placement
from plantainshed_gateway.selection.queueing import QueueLimits
from plantainshed_gateway.selection.registry import Registry, TargetState
from plantainshed_gateway.selection.round_trips import RoundTrips
from plantainshed_gateway.selection.target_limits import TargetLimits
from plantainshed_gateway.settings import Bounds
from plantainshed_gateway.target_reach import TargetReach
from plantainshed_http.messages import RequestHead, ResponseHead

from .placing_demand import Arrival, Demand, arrivals
from .placing_policies import PlacementPolicy, Refusal
from .placing_reports import exchange_reports
from .placing_tally import Outcome, Tally
from .placing_world import World

POOL = "pool"
LOCAL_ROUND_TRIP_S = 0.001
# Round trip between two failure domains of a region.
NEAR_ROUND_TRIP_S = 0.0028
# Time after which a refused caller comes back if it was told none.
DEFAULT_RETRY_AFTER_S = 0.4
# Callers honour `Retry-After` up to this fraction of their remaining time.
MAX_RETRY_FRACTION = 1 / 3
KEEP_ALIVE_RESPONSE = ResponseHead(200, [(b"keep-alive", b"timeout=10")])
BOUNDS = Bounds(
    stop_within_s=6.0,
    longest_ttl_s=5.0,
    in_force_within_s=2.0,
    retry_ratio=0.2,
    retry_slack=60.0,
    retry_window_s=10.0,
    quota_window_s=5.0,
    quota_over=0.1,
    quota_slack=20.0,
    cold_over=1.5,
    cold_slack=5.0,
)


class ModelTarget:
    """A target that runs requests in slots, queues some, and remembers objects.

    Attributes
    ----------
    slots : trio.CapacityLimiter
    remembered : OrderedDict
        Names of objects, the least recently used one first.
    pending : dict of int to str
        Objects of the requests that are on their way or wait, in the order of their
        choice, by the number of the request.
    ends_at : dict of int to float
        When the running requests will end, by the number of the request.
    """

    def __init__(self, world: World, entry: TargetEntry):
        self.world = world
        self.instance = entry.instance
        self.failure_domain = entry.failure_domain
        self.region = world.region_of[entry.failure_domain]
        self.slots = trio.CapacityLimiter(world.slots)
        self.remembered: OrderedDict[str, None] = OrderedDict()
        self.pending: dict[int, str] = {}
        self.ends_at: dict[int, float] = {}
        self.began_at = trio.current_time()
        self.seed(0)

    def seed(self, seed: int):
        """Seed the durations of runs and the changes of speed."""
        # The sequences are independent, so that speeds don't depend on the requests.
        self._runs = random.Random(f"{seed} runs {self.instance}")
        self._speeds = random.Random(f"{seed} speeds {self.instance}")
        self._is_slow: list[bool] = []

    @property
    def load(self) -> TargetLoad:
        """The load that the target would report now."""
        counts = self.slots.statistics()
        return TargetLoad(
            counts.borrowed_tokens, counts.tasks_waiting, self.world.slots
        )

    @property
    def is_full(self) -> bool:
        """Whether the queue is full, so that the target rejects requests."""
        return self.load.waiting >= self.world.queue

    @property
    def outstanding(self) -> int:
        """Requests that run, wait, or are on their way."""
        return len(self.pending) + len(self.ends_at)

    def will_remember(self, name: str) -> bool:
        """Return whether the next run for an object won't be a first one."""
        return name in self.remembered or name in self.pending.values()

    def expected_wait_s(self) -> float:
        """Return how long a request that arrives now would wait for a slot."""
        if self.outstanding < self.world.slots:
            return 0.0
        now, known = trio.current_time(), set()
        free_at = [now] * (self.world.slots - len(self.ends_at))
        free_at += self.ends_at.values()
        heapq.heapify(free_at)
        for name in self.pending.values():
            is_first = name not in self.remembered and name not in known
            known.add(name)
            run_s = self.world.first_run_s if is_first else self.world.later_run_s
            heapq.heapreplace(free_at, free_at[0] + run_s * self.slowdown_at(now))
        return max(0.0, free_at[0] - now)

    def slowdown_at(self, at: float) -> float:
        """Return how long work takes at a time, as a multiple of the usual."""
        noise = self.world.noise
        if not noise.share:
            return 1.0
        index = int((at - self.began_at) / noise.every_s)
        while len(self._is_slow) <= index:
            self._is_slow.append(self._speeds.random() < noise.share)
        return noise.factor if self._is_slow[index] else 1.0

    async def run(self, number: int, name: str) -> bool:
        """Run a request for an object; return whether the object was not remembered."""
        async with self.slots:
            self.pending.pop(number, None)
            is_first = name not in self.remembered
            self.remembered[name] = None
            self.remembered.move_to_end(name)
            if len(self.remembered) > self.world.remembers:
                self.remembered.popitem(last=False)
            world = self.world
            work_s = world.first_run_s if is_first else world.later_run_s
            ends_at = self._end_of(work_s * self._spread())
            self.ends_at[number] = ends_at
            await trio.sleep_until(ends_at)
            del self.ends_at[number]
        return is_first

    def _spread(self) -> float:
        spread = self.world.spread
        if not spread:
            return 1.0
        variance = math.log(1 + spread**2)
        return self._runs.lognormvariate(-variance / 2, math.sqrt(variance))

    def _end_of(self, work_s: float) -> float:
        """Return when work that begins now ends, at the speeds until then."""
        now, every_s = trio.current_time(), self.world.noise.every_s
        if not self.world.noise.share:
            return now + work_s
        while True:
            slowdown = self.slowdown_at(now)
            intervals = int((now - self.began_at) / every_s) + 1
            # A tiny step past the boundary, which rounding could otherwise repeat.
            changes_at = self.began_at + intervals * every_s + 1e-9
            if now + work_s * slowdown <= changes_at:
                return now + work_s * slowdown
            work_s -= (changes_at - now) / slowdown
            now = changes_at


class ModelConnection:
    """A connection that transfers no data."""

    reusable = True
    stale = False

    def __init__(self):
        self.idle_s = 0.0

    def close(self):
        """Do nothing; there is no socket."""


class ModelVm:
    """The parts of a VM that place requests.

    Attributes
    ----------
    tracker : LoadTracker
    load : FleetLoad
    """

    def __init__(self, fleet: "ModelFleet", failure_domain: str, name: str):
        world = fleet.world
        self.fleet = fleet
        self.name = name
        self.failure_domain = failure_domain
        self.region = world.region_of[failure_domain]
        self.registry = Registry(world.region_of)
        self.registry.update_configuration(fleet.configuration)
        self.registry.update_entries(fleet.entries, may_have_expired=False)
        log = DecisionLog(name, failure_domain, io.StringIO())
        own = Heartbeat(name, failure_domain, self.region, 1, 1, VmState.READY, "", "")
        self.tracker = LoadTracker()
        self.load = FleetLoad(self.tracker)
        self.round_trips = RoundTrips(self.registry.region_of, log)
        for other in world.region_of:
            self.round_trips.record(other, fleet.round_trip_s(failure_domain, other))
        self.connections = TargetConnections(
            self.round_trips,
            TargetReach(self.registry, self.region, failure_domain),
            self._connect,
        )
        self.queues = QueueLimits(self.round_trips)
        placement_parts = (
            self.region,
            self.registry,
            ColdTargets(BOUNDS, name),
            TargetLimits(self.registry, Members(own), log),
            self.queues,
            self.connections,
            self.round_trips,
        )
        self.placement = Placement(
            *placement_parts,
            LoadAwareChoice(self.load, self.round_trips),
        )
        self.placement_by_answers = Placement(*placement_parts)

    def seed(self, seed: int):
        """Make the VM's random choices repeatable."""
        choice = self.placement.load_choice
        for part in (
            self.placement,
            self.placement_by_answers,
            choice,
            choice.shedding,
        ):
            part.random.seed(f"{seed} {self.name}")

    async def _connect(self, address: str, timeout_s: float) -> ModelConnection:
        target = self.fleet.targets[address]
        self.fleet.tally.opened += 1
        await trio.sleep(self._round_trip_s(target))
        return ModelConnection()

    def _round_trip_s(self, target: ModelTarget) -> float:
        return self.fleet.round_trip_s(self.failure_domain, target.failure_domain)

    def states(self) -> list[TargetState]:
        """Return all targets as this VM sees them."""
        return list(self.registry.states.values())

    async def request(self, call: Call, outcome: Outcome) -> Refusal | None:
        """Serve a request; return a refusal if it does not run."""
        if not self.fleet.policy.counts_requests:
            self.tracker.note_offered(call.pool, call.priority, call.object_key)
        chosen = self.fleet.policy.choose(self, call) or Refusal()
        if isinstance(chosen, Refusal):
            return chosen
        if self.fleet.targets[chosen.entry.address].is_full:
            return Refusal()
        await self._attempt(chosen, call, outcome)
        return None

    async def _attempt(self, state: TargetState, call: Call, outcome: Outcome):
        began_at = trio.current_time()
        target = self.fleet.targets[state.entry.address]
        one_way_s = self._round_trip_s(target) / 2
        number, name = int(call.request.request_id), call.request.affinity
        target.pending[number] = name
        self._change_in_flight(state, 1)
        connection = await self.connections.acquire(state, is_idempotent=False)
        await trio.sleep(one_way_s)
        outcome.is_first_run = await target.run(number, name)
        outcome.is_crossed = target.region != self.region
        load = target.load
        await trio.sleep(one_way_s)
        state.note_load(load)
        self._change_in_flight(state, -1)
        self.connections.release(state, connection, KEEP_ALIVE_RESPONSE)
        self.placement.note_answer(call, state, trio.current_time() - began_at)

    def _change_in_flight(self, state: TargetState, change: int):
        state.in_flight += change
        self.tracker.note_in_flight(state.entry.instance, state.in_flight)


class ModelFleet:
    """The VMs and targets of all regions.

    Parameters
    ----------
    world : World
    policy : PlacementPolicy
    region_round_trip_s : float
        Round-trip time between any two regions.
    demand : Demand
    """

    def __init__(
        self,
        world: World,
        policy: PlacementPolicy,
        region_round_trip_s: float,
        demand: Demand,
    ):
        self.world = world
        self.policy = policy
        self.region_round_trip_s = region_round_trip_s
        self.demand = demand
        self.region_of = world.region_of
        self.tally = Tally(world.objective_s, world.timeout_s)
        # The routes have the same name, so that requests of all priorities for an
        # object have the same object key.
        self.routes = {
            priority: _route(world, priority) for priority in demand.priorities
        }
        self.workspaces = {
            name: Workspace(name)
            for name in (f"workspace-{n}" for n in range(demand.workspaces))
        }
        self.configuration = Configuration(
            1,
            {"host": {route.prefix: route for route in self.routes.values()}},
            {POOL: Pool(POOL)},
            self.workspaces,
            False,
            CallerLimits(),
        )
        self.entries = [
            _entry(region, number, world)
            for region, count in zip(
                world.regions, world.targets_per_region, strict=True
            )
            for number in range(count)
        ]
        self.targets = {
            entry.address: ModelTarget(world, entry) for entry in self.entries
        }
        self.vms = [
            ModelVm(self, world.domain(region, number), f"{region}-vm-{number}")
            for index, region in enumerate(world.regions)
            for number in range(_even_part(world.vms, len(world.regions), index))
        ]
        self._vms_by_region = {
            index: [vm for vm in self.vms if vm.region == region]
            for index, region in enumerate(world.regions)
        }
        self._request_numbers = itertools.count()

    def round_trip_s(self, domain: str, other: str) -> float:
        """Return the round-trip time between two failure domains."""
        if domain == other:
            return LOCAL_ROUND_TRIP_S
        if self.region_of[domain] == self.region_of[other]:
            return NEAR_ROUND_TRIP_S
        return self.region_round_trip_s

    def make_call(
        self,
        name: str,
        priority: int = 0,
        workspace: str | None = None,
        deadline: float | None = None,
    ) -> Call:
        """Return a request for an object, in the form that the gateway uses."""
        now = trio.current_time()
        if deadline is None:
            deadline = now + self.world.timeout_s
        request_id = str(next(self._request_numbers))
        return Call(
            head=RequestHead("POST", "/", []),
            request=CallerRequest(request_id, "host", "/", None, name, deadline - now),
            route=self.routes[priority],
            workspace=self.workspaces.get(workspace),
            body=b"",
            deadline=deadline,
            cancel_at=deadline,
            pool=POOL,
            began_at=now,
        )

    async def run(self, seconds: float, seed: int, count_from_s: float = 0.0):
        """Send the callers' requests to the VMs and wait for all outcomes."""
        self.tally.count_from_s = count_from_s
        for vm in self.vms:
            vm.seed(seed)
        for target in self.targets.values():
            target.seed(seed)
        async with trio.open_nursery() as nursery:
            if self.world.has_reports:
                rng = random.Random(f"{seed} reports")
                nursery.start_soon(exchange_reports, self.vms, self.round_trip_s, rng)
            await self._send_requests(seconds, seed)
            nursery.cancel_scope.cancel()

    async def _send_requests(self, seconds: float, seed: int):
        rng = random.Random(f"{seed} vms")
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for arrival in arrivals(self.demand, seconds, seed):
                await trio.sleep_until(began_at + arrival.at_s)
                nursery.start_soon(self._request, arrival, rng)

    async def _request(self, arrival: Arrival, rng: random.Random):
        outcome = Outcome(
            arrival.at_s, arrival.region, arrival.priority, arrival.workspace
        )
        self.tally.outcomes.append(outcome)
        began_at = trio.current_time()
        deadline = began_at + self.world.timeout_s
        # A region without VMs sends its requests to those of all regions.
        vms = self._vms_by_region.get(arrival.region) or self.vms
        while True:
            call = self.make_call(
                arrival.object_name, arrival.priority, arrival.workspace, deadline
            )
            refusal = await rng.choice(vms).request(call, outcome)
            if refusal is None:
                outcome.took_s = trio.current_time() - began_at
                return
            outcome.refusals += 1
            if outcome.refusals > self.demand.retries:
                return
            wait_s = refusal.retry_after_s
            if wait_s is None:
                wait_s = DEFAULT_RETRY_AFTER_S
            await trio.sleep(min(wait_s, call.seconds_left * MAX_RETRY_FRACTION))


def _even_part(total: int, parts: int, index: int) -> int:
    """Return the size of one of several parts that are as even as possible."""
    return total // parts + (index < total % parts)


def _route(world: World, priority: int) -> Route:
    return Route(
        name="route",
        host="host",
        prefix=f"/priority-{priority}",
        kind=RequestKind.NON_IDEMPOTENT,
        pools=(WeightedPool(POOL, 1.0),),
        timeout_s=world.timeout_s,
        objective_s=world.objective_s,
        attempts=2,
        priority=priority,
        is_sticky=True,
    )


def _entry(region: str, number: int, world: World) -> TargetEntry:
    instance = f"{region}-target-{number}"
    return TargetEntry(
        instance=instance,
        pool=POOL,
        address=f"{instance}:80",
        failure_domain=world.domain(region, number),
        slots=world.slots,
        is_draining=False,
        cold_for_s=0.0,
    )
