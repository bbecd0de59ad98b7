"""The choice of one target by the load that all VMs report.

The entry function is `LoadAwareChoice.choose`: which targets own the object, how long
each is expected to take, whether the pool has room for the request, and which target
gets it.

The choice is drawn at random, the shorter the expected time the more likely. All VMs
work with the same reports, which are up to a second old; if each took the best target,
all of them would fill the same gap.
"""

import math
import random
from collections.abc import Sequence

from attrs import frozen

from ..call import Call
from .expected_time import (
    ExpectedTime,
    ExpectedTimes,
    first_run_share_of,
    runs_key,
)
from .load_reports import FleetLoad
from .owners import RESERVE, OwnerCounts
from .queueing import MAX_WAIT_RATIO
from .registry import TargetState
from .returning import Returning
from .round_trips import RoundTrips
from .run_times import RunTimes
from .shedding import PoolRoom, Shedding, rank_of

# Difference of expected times, in run times, at which a target is chosen e times less
# often.
SPREAD_RUNS = 0.25
# Part of the time that a later run leaves of the objective. While the busy owners' wait
# is shorter, the reserve gets nothing: a first run there costs more than the wait.
MAX_OWNER_WAIT_FRACTION = 0.1
# While it is longer, the reserve gets at least this fraction of what the busy owners
# get, so that it learns the object.
WARMING_FRACTION = 0.5
# Largest share of first runs at busy owners at which reserves learn objects. While most
# runs are first ones, as after a start, further ones would make everybody wait.
MAX_FIRST_RUN_SHARE = 0.5
# Rank of a target that does not own the object.
NOT_OWNER = 2
# Number of targets that do not own an object whose loads are compared. Comparing two
# keeps VMs with the same reports from choosing the same target.
OTHERS_COMPARED = 2
# Wait that is accepted although the pool is short, in run times. Without it, first runs
# and requests that come back would never be admitted, as they are late anyway.
MIN_ACCEPTED_WAIT_RUNS = 0.5


@frozen
class RankedTarget:
    """A target with its rank among an object's owners and the expected time.

    Parameters
    ----------
    state : TargetState
    rank : int
        0 for an owner that the object's requests keep busy, 1 for the reserve, and
        `NOT_OWNER`.
    expected : ExpectedTime
    first_run_share : float
        Share of first runs at targets of this rank.
    """

    state: TargetState
    rank: int
    expected: ExpectedTime
    first_run_share: float = 1.0


class LoadAwareChoice:
    """Chooses targets by the load that all VMs report.

    Parameters
    ----------
    fleet_load : FleetLoad
    round_trips : RoundTrips
    """

    def __init__(self, fleet_load: FleetLoad, round_trips: RoundTrips):
        self.fleet_load = fleet_load
        self.run_times = RunTimes(round_trips)
        self.expected_times = ExpectedTimes(fleet_load, self.run_times, round_trips)
        self.owners = OwnerCounts(fleet_load, self.run_times)
        self.shedding = Shedding(fleet_load, self.expected_times, self.run_times)
        self.returning = Returning()
        self.random = random.Random()

    def note_offered(self, call: Call):
        """Count a request as offered, whatever happens to it, and set its rank."""
        elapsed_s = self.returning.elapsed_s(call)
        is_late = elapsed_s + self._run_s(call.pool) > call.route.objective_s
        call.rank = rank_of(call.priority, is_late and elapsed_s > 0)
        self.fleet_load.own.note_offered(call.pool, call.rank, call.object_key)

    def admits(self, call: Call, room: PoolRoom) -> bool:
        """Return whether a request may use its pool now.

        A retry is always admitted: it was before, and a target may have worked on it.
        """
        if call.attempts:
            return True
        return self.shedding.admits(room, call.pool, call.rank, call.workspace_name)

    def room_of(self, call: Call, usable: Sequence[TargetState]) -> PoolRoom:
        """Return the state of the pool that a request goes to."""
        way_s = self.expected_times.round_trips.longest_s()
        slack_s = call.route.objective_s - way_s - self._run_s(call.pool)
        return self.shedding.room_of(
            call.pool, call.route.name, call.home_regions, slack_s, usable
        )

    def owner_count(self, call: Call, object_key: str, slots: int) -> int:
        """Return the number of an object's owners, including the reserve."""
        busy = self.owners.busy_owners(object_key, call.pool, slots)
        return busy + RESERVE

    def choose(
        self,
        call: Call,
        owners: Sequence[TargetState],
        untried: Sequence[TargetState],
        room: PoolRoom,
    ) -> RankedTarget | None:
        """Return the target that gets a request, or None if it would wait too long.

        Parameters
        ----------
        call : Call
        owners : sequence of TargetState
            Owners of the object by rank; the last one is the reserve. Empty if the
            request concerns no object.
        untried : sequence of TargetState
            All targets that may get the request.
        room : PoolRoom
        """
        owned = self._rank(call.pool, owners)
        in_time = [one for one in owned if self._is_in_time(call, one, room)]
        if in_time:
            return self._draw(call, in_time)
        if owners and room.is_busy:
            # A first run elsewhere takes as long as several later ones. While most
            # slots are busy, that would make all requests wait longer.
            return None
        others = [s for s in untried if s not in owners and not s.is_restricted]
        compared = self.random.sample(others, min(OTHERS_COMPARED, len(others)))
        unowned = [
            RankedTarget(state, NOT_OWNER, self.expected_times.at(state, 1.0))
            for state in compared
        ]
        in_time = [one for one in unowned if self._is_in_time(call, one, room)]
        return min(in_time, key=lambda one: one.expected.total_s, default=None)

    def note_answer(self, call: Call, state: TargetState, seconds: float):
        """Record the duration of an attempt that a target answered."""
        is_first = self.run_times.note_answer(state, seconds)
        if is_first is not None and call.owner_rank in (0, 1):
            key = runs_key(state.entry.pool, call.owner_rank)
            self.fleet_load.own.note_run(key, is_first)

    def _rank(self, pool: str, owners: Sequence[TargetState]) -> list[RankedTarget]:
        shares = [first_run_share_of(self.fleet_load, pool, rank) for rank in (0, 1)]
        busy = max(1, len(owners) - RESERVE)
        ranked = []
        for position, state in enumerate(owners):
            rank = int(position >= busy)
            expected = self.expected_times.at(state, shares[rank])
            ranked.append(RankedTarget(state, rank, expected, shares[rank]))
        return ranked

    def _run_s(self, pool: str) -> float:
        run_time = self.run_times.of(pool)
        return run_time.later_s if run_time else 0.0

    def _draw(self, call: Call, ranked: list[RankedTarget]) -> RankedTarget:
        """Draw among the busy owners, and the reserve if they are loaded."""
        run_s = max(0.001, self._run_s(call.pool))
        busy = [one for one in ranked if not one.rank]
        if busy and not self._needs_reserve(call, busy, run_s):
            ranked = busy
        soonest_s = min(one.expected.total_s for one in ranked)
        weights = [
            math.exp((soonest_s - one.expected.total_s) / (SPREAD_RUNS * run_s))
            for one in ranked
        ]
        if len(ranked) > len(busy) > 0:
            weights[-1] *= 1.0 - ranked[-1].first_run_share
            weights[-1] = max(weights[-1], WARMING_FRACTION * sum(weights[:-1]))
        if not any(weights):
            return ranked[0]
        return self.random.choices(ranked, weights)[0]

    def _needs_reserve(
        self, call: Call, busy: list[RankedTarget], run_s: float
    ) -> bool:
        if busy[0].first_run_share > MAX_FIRST_RUN_SHARE:
            return False
        soonest = min((one.expected for one in busy), key=lambda e: e.wait_s)
        slack_s = max(0.0, call.route.objective_s - soonest.way_s - run_s)
        return soonest.wait_s > MAX_OWNER_WAIT_FRACTION * slack_s

    def _is_in_time(self, call: Call, ranked: RankedTarget, room: PoolRoom) -> bool:
        expected, route = ranked.expected, call.route
        if expected.wait_s <= 0:
            return True
        # A first run may take longer than the time left, but only the run shows it.
        soonest_s = expected.way_s + expected.wait_s + self._run_s(call.pool)
        if soonest_s > call.seconds_left:
            return False
        longest_s = route.objective_s * MAX_WAIT_RATIO
        if room.is_short:
            run_s = self._run_s(call.pool)
            in_time_s = route.objective_s - expected.way_s - run_s
            longest_s = max(MIN_ACCEPTED_WAIT_RUNS * run_s, in_time_s)
        return expected.wait_s <= longest_s
