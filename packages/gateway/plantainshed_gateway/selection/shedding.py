"""Which requests are refused while a pool has too few slots.

This answers the load of callers who ask for more than all targets of a pool can run. If
every request waited, all would be answered late, although the targets run no more than
before. So each VM refuses, at once, the part of the requests that the pool can't run:

- The room goes to the most urgent requests first. Less urgent ones share what is left.
- Among equally urgent ones, requests that can still be answered within their objective
  go before those that have come back too late for it.
- Every request keeps a small part of the chances of all, so nobody starves.
- Within a priority, a workspace that asks for more than its fair share of the room is
  refused first, so one large workspace can't take the room of all.

All VMs compute with the sums of all reports, so each refuses about the same part, and
nothing is negotiated. A VM that hears no others knows only its own requests and refuses
too few; the wait that is expected at each target then bounds what it sends. What
workspaces ask for is only counted on each VM: callers use VMs at random, so a workspace
that asks for a large part of the room does so on every VM.
"""

import random
from collections.abc import Sequence

import trio
from attrs import define, field

from .expected_time import ExpectedTimes
from .load_reports import FleetLoad, Rate
from .registry import TargetState
from .run_times import RunTimes

# Part of the time that a run leaves of the objective in which requests may wait while a
# pool is short, and the smallest number of requests in flight per slot to aim at.
WAITING_FRACTION = 0.1
MIN_AIMED_OCCUPANCY = 1.05
# A pool may be short of room from this many requests per slot below those aimed at.
SHORT_MARGIN = 0.2
# Requests in flight per slot above which a first run more would make others wait.
BUSY_OCCUPANCY = 0.85
# Part of the slots that can be kept busy without long waits.
USABLE_FRACTION = 0.9
# Exponent of the part admitted by queues. At 1, twice the room offered would settle at
# twice the requests per slot that are aimed at.
QUEUE_GAIN = 2
# Number of pools, routes and regions whose state is kept.
MAX_ROOMS = 1_000
# Smallest chance of a request, as a part of that of all requests of its pool: of one
# that can be answered within its objective, and of one that can't.
MIN_CHANCE = 0.3
MIN_CHANCE_LATE = 0.1
# Number of workspaces of a pool above which those that ask for nothing are forgotten,
# and the requests per second below which that is the case.
MAX_WORKSPACES = 500
MIN_RATE = 0.01
# Time for which the state of a pool is reused.
CACHE_S = 0.2
# Range of retry-after. The first is when a queue has advanced. Callers that come back
# spread over the range meet slots that become free one after the other.
MIN_RETRY_AFTER_S = 0.4
MAX_RETRY_AFTER_S = 1.5
# Part of the time left that callers are prepared to wait.
MAX_RETRY_AFTER_FRACTION = 1 / 3


@define
class PoolRoom:
    """State of a pool.

    Attributes
    ----------
    occupancy : float
        Requests in flight per slot.
    chance : float
        Part of all offered requests that the pool can run.
    by_rank : dict of int to float
        Chance of a request to be admitted, by rank; see `rank_of`.
    computed_at : float
    """

    occupancy: float = 0.0
    chance: float = 1.0
    by_rank: dict[int, float] = field(factory=dict)
    computed_at: float = float("-inf")

    @property
    def is_busy(self) -> bool:
        """Whether most slots are busy."""
        return self.occupancy >= BUSY_OCCUPANCY

    @property
    def is_short(self) -> bool:
        """Whether more was offered than the pool can run."""
        return self.chance < 1.0


class Shedding:
    """Decides whether a request may use a pool.

    Parameters
    ----------
    fleet_load : FleetLoad
    expected_times : ExpectedTimes
    run_times : RunTimes
    """

    def __init__(
        self,
        fleet_load: FleetLoad,
        expected_times: ExpectedTimes,
        run_times: RunTimes,
    ):
        self.fleet_load = fleet_load
        self.expected_times = expected_times
        self.run_times = run_times
        self.random = random.Random()
        self._rooms: dict[tuple, PoolRoom] = {}
        self._by_workspace: dict[tuple[str, int], dict[str | None, Rate]] = {}

    def room_of(
        self,
        pool: str,
        route: str,
        home_regions: frozenset[str],
        slack_s: float,
        usable: Sequence[TargetState],
    ) -> PoolRoom:
        """Return the state of a pool for a route, or of its part in some regions.

        Parameters
        ----------
        pool, route : str
        home_regions : frozenset of str
        slack_s : float
            Time that a run leaves of the route's objective.
        usable : sequence of TargetState
            Targets of the pool in these regions.
        """
        key = pool, route, home_regions
        room = self._rooms.get(key)
        if room is None or trio.current_time() - room.computed_at >= CACHE_S:
            if len(self._rooms) >= MAX_ROOMS:
                self._rooms.clear()
            room = self._rooms[key] = self._compute(pool, home_regions, slack_s, usable)
        return room

    def _compute(
        self,
        pool: str,
        home_regions: frozenset[str],
        slack_s: float,
        usable: Sequence[TargetState],
    ) -> PoolRoom:
        room = PoolRoom(computed_at=trio.current_time())
        run_time = self.run_times.of(pool)
        # Cold targets and those that name a limit take few requests, so their free
        # slots are no room.
        usable = [state for state in usable if not state.is_restricted]
        slots = sum(state.entry.slots for state in usable)
        if not slots or run_time is None:
            return room
        in_flight = sum(self.expected_times.load_of(state) for state in usable)
        room.occupancy = in_flight / slots
        waiting = WAITING_FRACTION * slack_s / max(run_time.later_s, 0.001)
        aimed = max(MIN_AIMED_OCCUPANCY, 1.0 + waiting)
        if room.occupancy < aimed - SHORT_MARGIN or home_regions:
            # What is offered is not known by region; the wait expected at each target
            # bounds what goes to a part of a pool.
            return room
        # Run times are learned from targets without queues. While some targets are
        # slow, queues show that there is less room than by run times.
        offered = self.fleet_load.offered(pool)
        total = sum(offered.values())
        by_queues = min(1.0, aimed / room.occupancy) ** QUEUE_GAIN
        by_runs = USABLE_FRACTION * slots / max(run_time.later_s, 0.001)
        capacity = min(total * by_queues, by_runs)
        if total > capacity:
            room.chance = capacity / total
            room.by_rank = chances(offered, capacity)
        return room

    def admits(
        self, room: PoolRoom, pool: str, rank: int, workspace: str | None
    ) -> bool:
        """Return whether a request may use a pool now, and count the request.

        Parameters
        ----------
        room : PoolRoom
        pool : str
        rank : int
            See `rank_of`.
        workspace : str or None
        """
        rates = self._by_workspace.setdefault((pool, rank), {})
        rates.setdefault(workspace, Rate()).add()
        if len(rates) > MAX_WORKSPACES:
            self._by_workspace[pool, rank] = {
                name: rate for name, rate in rates.items() if rate.current() > MIN_RATE
            }
        if not room.is_short:
            return True
        of_rank = room.by_rank.get(rank, room.chance)
        demand = {name: rate.current() for name, rate in rates.items()}
        chance = fair_chance(demand, of_rank, workspace)
        return self.random.random() < max(chance, min_chance(rank) * room.chance)

    def retry_after_s(self, seconds_left: float) -> float:
        """Return when a refused caller should come back.

        Parameters
        ----------
        seconds_left : float
            Time until the caller's deadline.
        """
        latest_s = min(MAX_RETRY_AFTER_S, seconds_left * MAX_RETRY_AFTER_FRACTION)
        return self.random.uniform(MIN_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, latest_s))


def rank_of(priority: int, is_late: bool) -> int:
    """Return the rank of a request; lower ranks are admitted first.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    is_late : bool
        Whether it can't be answered within its objective any more.
    """
    return 2 * priority + is_late


def chances(offered: dict[int, float], capacity: float) -> dict[int, float]:
    """Return which part of each rank's requests a capacity can run.

    Parameters
    ----------
    offered : dict of int to float
        Requests per second by rank.
    capacity : float
        Requests per second.
    """
    of_all = min(1.0, capacity / max(sum(offered.values()), 1e-9))
    least = {rank: of_all * min_chance(rank) for rank in offered}
    left = capacity - sum(rate * least[rank] for rank, rate in offered.items())
    result = {}
    for rank in sorted(offered):
        wanted = offered[rank] * (1.0 - least[rank])
        given = max(0.0, min(left, wanted))
        left -= given
        result[rank] = least[rank] + given / max(offered[rank], 1e-9)
    return result


def min_chance(rank: int) -> float:
    """Return the smallest chance of a rank, as a part of that of all requests."""
    return MIN_CHANCE_LATE if rank % 2 else MIN_CHANCE


def fair_chance(
    demand: dict[str | None, float], chance: float, workspace: str | None
) -> float:
    """Return a workspace's chance if all get at most the same, as far as they ask.

    Parameters
    ----------
    demand : dict of str or None to float
        Requests per second by workspace.
    chance : float
        Part of the requests of all workspaces together that can be admitted.
    workspace : str or None
    """
    left = chance * sum(demand.values())
    waiting = len(demand)
    for wanted in sorted(demand.values()):
        if wanted * waiting >= left:
            return min(1.0, left / waiting / max(demand[workspace], 1e-9))
        left -= wanted
        waiting -= 1
    return 1.0
