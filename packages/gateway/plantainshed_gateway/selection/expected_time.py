"""The time in which a target is expected to answer a request.

It is the sum of the way to the target, the wait in its queue and the run. It is
designed for fleets whose VMs report their requests to each other. Loads are then
averages and up to a second old, so the wait grows smoothly with the load, long before
all slots are busy.
"""

import trio
from attrs import frozen

from .load_reports import FleetLoad
from .registry import TargetState
from .round_trips import RoundTrips
from .run_times import RunTimes

# Age up to which the load that an answer names is used as it is. Later, the reports of
# all VMs are better.
FRESH_ANSWER_S = 0.25
# First runs per second that are imagined beside the reported ones. They make the share
# of first runs 1 while there are hardly any runs.
PRIOR_RUNS_PER_S = 0.2
# Run time that is assumed for waits before any answer has shown one.
DEFAULT_RUN_S = 0.1
# Steepness of the wait below one request per slot. Requests arrive unevenly, so some
# wait although slots are free on average.
WAIT_EXPONENT = 2


@frozen
class ExpectedTime:
    """Parts of the expected time, in seconds."""

    way_s: float
    wait_s: float
    run_s: float

    @property
    def total_s(self) -> float:
        """Time until the answer arrives at this VM."""
        return self.way_s + self.wait_s + self.run_s


class ExpectedTimes:
    """Computes expected times from what this VM and the others know.

    Parameters
    ----------
    fleet_load : FleetLoad
    run_times : RunTimes
    round_trips : RoundTrips
    """

    def __init__(
        self, fleet_load: FleetLoad, run_times: RunTimes, round_trips: RoundTrips
    ):
        self.fleet_load = fleet_load
        self.run_times = run_times
        self.round_trips = round_trips

    def load_of(self, state: TargetState) -> float:
        """Return the expected number of requests running and waiting at a target."""
        if (
            state.load is not None
            and trio.current_time() - state.load_at < FRESH_ANSWER_S
        ):
            return state.expected_load
        others = self.fleet_load.in_flight_of_others(state.entry.instance)
        return others + state.in_flight

    def at(self, state: TargetState, first_run_share: float) -> ExpectedTime:
        """Return the expected time of a request at a target.

        Parameters
        ----------
        state : TargetState
        first_run_share : float
            Probability that the target does not know the request's object.
        """
        way_s = self.round_trips.estimate_s(state.entry.failure_domain)
        run_time = self.run_times.of(state.entry.pool)
        runs_ahead = waiting_runs(self.load_of(state), state.entry.slots)
        if run_time is None:
            return ExpectedTime(way_s, runs_ahead * DEFAULT_RUN_S, 0.0)
        pool_share = first_run_share_of(self.fleet_load, state.entry.pool, 0)
        mean_run_s = run_time.expected_s(pool_share)
        wait_s = runs_ahead * mean_run_s
        return ExpectedTime(way_s, wait_s, run_time.expected_s(first_run_share))


def waiting_runs(load: float, slots: int) -> float:
    """Return how long a request waits at a load, in mean runs.

    Parameters
    ----------
    load : float
        Mean number of requests running and waiting.
    slots : int
    """
    slots = max(1, slots)
    per_slot = load / slots
    if per_slot <= 1.0:
        return per_slot**WAIT_EXPONENT / slots
    return (load - slots + 1) / slots


def runs_key(pool: str, rank: int) -> str:
    """Return the key of runs at first owners (rank 0), or at any other target."""
    return pool if rank == 0 else f"{pool}+"


def first_run_share_of(fleet_load: FleetLoad, pool: str, rank: int) -> float:
    """Return which share of the fleet's runs were first runs; 1 without any runs."""
    key = runs_key(pool, rank)
    others = fleet_load.of_others().runs.get(key, (0.0, 0.0))
    own = fleet_load.own.run_rates(key)
    all_runs, first_runs = others[0] + own[0], others[1] + own[1]
    return (first_runs + PRIOR_RUNS_PER_S) / (all_runs + PRIOR_RUNS_PER_S)
