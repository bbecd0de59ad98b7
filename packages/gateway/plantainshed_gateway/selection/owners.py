"""How many targets own an object.

A target that handled an object recently runs the next request for it faster, so all VMs
send an object's requests to the same few targets. This answers two loads that pull in
opposite directions: many rarely requested objects, of which each further owner forgets
others, and a few popular ones that are more than one target can run.

An object has as many owners as the requests of the whole fleet for it keep busy at a
moderate occupancy, and one more in reserve. The reserve takes requests while the others
are busy; what it costs is known from the share of first runs there, see
`expected_time`. All VMs add up nearly the same reports, and further owners follow the
same ranking, so VMs that disagree differ by the last owner only.
"""

import math

import trio
from attrs import define

from .load_reports import FleetLoad
from .run_times import RunTimes

# Occupancy of one owner by one object up to which no further owner is added.
OWNER_OCCUPANCY = 0.5
# An owner is removed once this fraction of the load that added it is left.
REMOVAL_FRACTION = 0.6
# Number of owners in reserve.
RESERVE = 1
# Largest number of owners, and time after which an unused count is forgotten.
MAX_OWNERS = 16
FORGET_AFTER_S = 10.0
MAX_KEPT = 1_000


@define
class _Count:
    busy: int
    used_at: float


class OwnerCounts:
    """Decides how many owners each object has.

    Parameters
    ----------
    fleet_load : FleetLoad
    run_times : RunTimes
    """

    def __init__(self, fleet_load: FleetLoad, run_times: RunTimes):
        self.fleet_load = fleet_load
        self.run_times = run_times
        self._popular: dict[str, _Count] = {}

    def busy_owners(self, object_key: str, pool: str, slots: int) -> int:
        """Return how many owners the requests for an object keep busy.

        Parameters
        ----------
        object_key, pool : str
        slots : int
            Slots of one target of the pool.
        """
        run_time = self.run_times.of(pool)
        if run_time is None:
            return 1
        rate = self.fleet_load.object_rate(object_key)
        needed = rate * run_time.later_s / (max(1, slots) * OWNER_OCCUPANCY)
        known = self._popular.get(object_key)
        if known is None and needed <= 1.0:
            return 1
        busy = known.busy if known else 1
        if needed > busy:
            busy = min(MAX_OWNERS, math.ceil(needed))
        elif busy > 1 and needed < (busy - 1) * REMOVAL_FRACTION:
            busy = max(1, math.ceil(needed / REMOVAL_FRACTION))
        self._keep(object_key, busy)
        return busy

    def _keep(self, object_key: str, busy: int):
        now = trio.current_time()
        if busy == 1:
            self._popular.pop(object_key, None)
            return
        if len(self._popular) >= MAX_KEPT:
            self._popular = {
                key: count
                for key, count in self._popular.items()
                if now - count.used_at < FORGET_AFTER_S
            }
        self._popular[object_key] = _Count(busy, now)
