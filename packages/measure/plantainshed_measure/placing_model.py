"""A simulation of VMs that place requests on targets with an object cache.

The VMs use the gateway's own placement, queue limits and connections. Their
environment is simulated on a virtual clock: the latency between regions, the slots
and queues of targets, and the duration of requests, which is shorter for an object
that the target remembers.
"""

import io
import itertools
import random
from collections import OrderedDict

import trio
from attrs import define, field, frozen

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
)
from plantainshed_gateway.ports import CallerRequest, TargetEntry, TargetLoad
from plantainshed_gateway.selection.cold import ColdTargets
from plantainshed_gateway.selection.placement import Placement
from plantainshed_gateway.selection.queueing import QueueLimits
from plantainshed_gateway.selection.registry import Registry, TargetState
from plantainshed_gateway.selection.round_trips import RoundTrips
from plantainshed_gateway.selection.target_limits import TargetLimits
from plantainshed_gateway.settings import Bounds
from plantainshed_gateway.target_reach import TargetReach
from plantainshed_http.messages import RequestHead, ResponseHead

from .placing_policies import PlacementPolicy

POOL = "pool"
LOCAL_ROUND_TRIP_S = 0.001
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


@frozen
class World:
    """The parameters of the simulated environment.

    Parameters
    ----------
    targets_per_region : tuple of int
    vms_per_region : int
    slots : int
        Requests that a target runs concurrently.
    queue : int
        Requests that can wait at a target.
    remembers : int
        Objects that a target remembers; it forgets the least recently used one first.
    objects : int
        Distinct objects that callers request.
    first_run_s, later_run_s : float
        Duration of a request for an object that the target does not remember, and for
        one that it remembers.
    objective_s : float
        Time within which callers expect an answer.
    timeout_s : float
        Longest time that callers wait for an answer.
    """

    targets_per_region: tuple[int, ...] = (2, 4, 6)
    vms_per_region: int = 3
    slots: int = 3
    queue: int = 9
    remembers: int = 25
    objects: int = 24
    first_run_s: float = 0.48
    later_run_s: float = 0.144
    objective_s: float = 0.4
    timeout_s: float = 1.2

    @property
    def regions(self) -> list[str]:
        """Names of the regions; each has one failure domain of the same name."""
        return [f"region-{n}" for n in range(len(self.targets_per_region))]


class ModelTarget:
    """A target that runs requests in slots, queues some, and remembers objects."""

    def __init__(self, world: World, region: str):
        self.world = world
        self.region = region
        self.slots = trio.CapacityLimiter(world.slots)
        self.remembered: OrderedDict[str, None] = OrderedDict()

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

    async def run(self, name: str) -> bool:
        """Run a request for an object; return whether the object was not remembered."""
        async with self.slots:
            is_first = name not in self.remembered
            self.remembered[name] = None
            self.remembered.move_to_end(name)
            if len(self.remembered) > self.world.remembers:
                self.remembered.popitem(last=False)
            world = self.world
            await trio.sleep(world.first_run_s if is_first else world.later_run_s)
        return is_first


class ModelConnection:
    """A connection that transfers no data."""

    reusable = True
    stale = False

    def __init__(self):
        self.idle_s = 0.0

    def close(self):
        """Do nothing; there is no socket."""


@define
class Tally:
    """Counts the outcomes of the callers' requests.

    Attributes
    ----------
    sent, in_time, refused : int
        All requests, those answered within the objective, and those refused.
    crossed : int
        Requests that ran in another region.
    first_runs : int
        Requests for an object that the target did not remember.
    opened : int
        Connections that were opened.
    took_s : list of float
        Response times of answered requests.
    """

    sent: int = 0
    in_time: int = 0
    refused: int = 0
    crossed: int = 0
    first_runs: int = 0
    opened: int = 0
    took_s: list[float] = field(factory=list)

    def figures(self) -> dict[str, float]:
        """Return the counts as shares of all requests, and the mean response time."""
        sent = max(1, self.sent)
        return {
            "in_time": self.in_time / sent,
            "refused": self.refused / sent,
            "crossed": self.crossed / sent,
            "first_runs": self.first_runs / sent,
            "opened": self.opened / sent,
            "mean_ms": 1000 * sum(self.took_s) / max(1, len(self.took_s)),
        }


class ModelVm:
    """The parts of a VM that place requests."""

    def __init__(self, fleet: "ModelFleet", region: str, name: str):
        world = fleet.world
        self.fleet = fleet
        self.region = region
        self.registry = Registry({region: region for region in world.regions})
        self.registry.update_configuration(fleet.configuration)
        self.registry.update_entries(fleet.entries, may_have_expired=False)
        log = DecisionLog(name, region, io.StringIO())
        own = Heartbeat(name, region, region, 1, 1, VmState.READY, "", "")
        self.round_trips = RoundTrips(self.registry.region_of, log)
        for other in world.regions:
            self.round_trips.record(other, fleet.round_trip_s(region, other))
        self.connections = TargetConnections(
            self.round_trips,
            TargetReach(self.registry, region, region),
            self._connect,
        )
        self.queues = QueueLimits(self.round_trips)
        self.placement = Placement(
            region,
            self.registry,
            ColdTargets(BOUNDS, name),
            TargetLimits(self.registry, Members(own), log),
            self.queues,
            self.connections,
            self.round_trips,
        )

    async def _connect(self, address: str, timeout_s: float) -> ModelConnection:
        target = self.fleet.targets[address]
        self.fleet.tally.opened += 1
        await trio.sleep(self.fleet.round_trip_s(self.region, target.region))
        return ModelConnection()

    def states(self) -> list[TargetState]:
        """Return all targets as this VM sees them."""
        return list(self.registry.states.values())

    async def request(self, name: str):
        """Serve a request for an object."""
        tally, began_at = self.fleet.tally, trio.current_time()
        tally.sent += 1
        call = self.fleet.make_call(name)
        state = self.fleet.policy.choose(self, call)
        if state is None or self.fleet.targets[state.entry.address].is_full:
            tally.refused += 1
            return
        await self._attempt(state, name)
        took_s = trio.current_time() - began_at
        tally.took_s.append(took_s)
        tally.in_time += took_s <= self.fleet.world.objective_s

    async def _attempt(self, state: TargetState, name: str):
        tally, began_at = self.fleet.tally, trio.current_time()
        target = self.fleet.targets[state.entry.address]
        one_way_s = self.fleet.round_trip_s(self.region, target.region) / 2
        state.in_flight += 1
        connection = await self.connections.acquire(state, is_idempotent=False)
        await trio.sleep(one_way_s)
        is_first = await target.run(name)
        load = target.load
        await trio.sleep(one_way_s)
        state.note_load(load)
        state.in_flight -= 1
        self.connections.release(state, connection, KEEP_ALIVE_RESPONSE)
        self.queues.note_answer(state, trio.current_time() - began_at)
        tally.first_runs += is_first
        tally.crossed += target.region != self.region


class ModelFleet:
    """The VMs and targets of all regions.

    Parameters
    ----------
    world : World
    policy : PlacementPolicy
    region_round_trip_s : float
        Round-trip time between any two regions.
    """

    def __init__(
        self, world: World, policy: PlacementPolicy, region_round_trip_s: float
    ):
        self.world = world
        self.policy = policy
        self.region_round_trip_s = region_round_trip_s
        self.tally = Tally()
        self.route = Route(
            name="route",
            host="host",
            prefix="/",
            kind=RequestKind.NON_IDEMPOTENT,
            pools=(WeightedPool(POOL, 1.0),),
            timeout_s=world.timeout_s,
            objective_s=world.objective_s,
            attempts=2,
            is_sticky=True,
        )
        self.configuration = Configuration(
            1,
            {"host": {"/": self.route}},
            {POOL: Pool(POOL)},
            {},
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
            entry.address: ModelTarget(world, entry.failure_domain)
            for entry in self.entries
        }
        self.vms = [
            ModelVm(self, region, f"{region}-vm-{number}")
            for region in world.regions
            for number in range(world.vms_per_region)
        ]
        self._request_numbers = itertools.count()

    def round_trip_s(self, region: str, other: str) -> float:
        """Return the round-trip time between two regions."""
        return LOCAL_ROUND_TRIP_S if region == other else self.region_round_trip_s

    def make_call(self, name: str) -> Call:
        """Return a request for an object, in the form that the gateway uses."""
        now = trio.current_time()
        request_id = str(next(self._request_numbers))
        return Call(
            head=RequestHead("POST", "/", []),
            request=CallerRequest(request_id, "host", "/", None, name, None),
            route=self.route,
            workspace=None,
            body=b"",
            deadline=now + self.world.timeout_s,
            cancel_at=now + self.world.timeout_s,
            pool=POOL,
            began_at=now,
        )

    async def run(self, load: float, seconds: float, seed: int):
        """Send `load` requests per second, distributed evenly over all VMs."""
        rng = random.Random(seed)
        for vm in self.vms:
            vm.placement.random.seed(seed)
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                name = str(rng.randrange(self.world.objects))
                nursery.start_soon(rng.choice(self.vms).request, name)
                await trio.sleep(rng.expovariate(load))


def _entry(region: str, number: int, world: World) -> TargetEntry:
    instance = f"{region}-target-{number}"
    return TargetEntry(
        instance=instance,
        pool=POOL,
        address=f"{instance}:80",
        failure_domain=region,
        slots=world.slots,
        is_draining=False,
        cold_for_s=0.0,
    )
