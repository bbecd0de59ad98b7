"""Statistics that a VM collects for reports.

They cover request counts, headroom, the duration of drains, and incidents. The
command ``facts`` returns them.
"""

from collections import Counter

import trio

from plantainshed_coordination.members import Liveness
from plantainshed_coordination.membership import Membership

from .incidents import IncidentLog
from .targets import TargetTable

STORE_SILENCE_S = 75.0
DEFAULT_HEADROOM = 1.0


class RunStatistics:
    """Statistics of this process since it started.

    Attributes
    ----------
    answered : collections.Counter
        Number of answered requests, by workspace.
    refused : collections.Counter
        Number of refused requests, by (reason, outcome, workspace).
    headroom_min : dict of str to float
        Lowest observed fraction of free slots, by pool. Only this VM's parts
        of slots in its own failure domain count.
    drain_s : dict of str to float
        Seconds from the start of a target's drain until this VM had no more
        requests running on it, by target.
    incidents : IncidentLog
    """

    def __init__(self, membership: Membership, targets: TargetTable):
        self.membership = membership
        self.targets = targets
        self.began_at = trio.current_time()
        self.answered: Counter[str] = Counter()
        self.refused: Counter[tuple[str, str, str]] = Counter()
        self.headroom_min: dict[str, float] = {}
        self.drain_s: dict[str, float] = {}
        self.incidents = IncidentLog()
        self._draining: dict[str, float] = {}

    def observe(self, store_heard_at: float, is_watching: bool):
        """Sample the current state; called about once a second.

        Parameters
        ----------
        store_heard_at : float
            When the object store last answered.
        is_watching : bool
            Whether this VM watches the object store for its failure domain.
        """
        self._observe_headroom()
        self._observe_drains()
        now = trio.current_time()
        silence_s = now - store_heard_at
        self.incidents.observe("store", is_watching and silence_s > STORE_SILENCE_S)
        reachable = self.membership.reachable_domains()
        for name in self.membership.table.domain_heard_at:
            what = f"failure domain {name} unreachable"
            self.incidents.observe(what, name not in reachable)
        for vm in self.membership.table.members:
            silent = self.membership.liveness(vm) in (Liveness.SILENT, Liveness.GONE)
            self.incidents.observe(f"vm {vm} silent", silent)
        for name, state in self.targets.states.items():
            self.incidents.observe(f"target {name} ejected", state.is_ejected)

    def _observe_headroom(self):
        used: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        for state in self.targets.states.values():
            if state.part is not None and state.part.units:
                slots[state.pool.name] += state.part.usable
                used[state.pool.name] += state.part.in_use + len(state.part.lent)
        for pool, count in slots.items():
            free = 1.0 - used[pool] / count if count else 0.0
            lowest = self.headroom_min.get(pool, DEFAULT_HEADROOM)
            self.headroom_min[pool] = round(min(lowest, free), 3)

    def _observe_drains(self):
        now = trio.current_time()
        for name in self.targets.drained:
            self._draining.setdefault(name, now)
        for name in list(self._draining):
            state = self.targets.states.get(name)
            if name not in self.targets.drained or state is None:
                del self._draining[name]
            elif not state.own_in_flight and name not in self.drain_s:
                self.drain_s[name] = round(now - self._draining[name], 1)

    def as_fields(self) -> dict:
        """Return all statistics as plain values."""
        refused = [
            {"reason": r, "outcome": o, "workspace": w, "count": count}
            for (r, o, w), count in self.refused.items()
        ]
        return {
            "vm": self.membership.identity.vm,
            "failure_domain": self.membership.identity.failure_domain,
            "running_s": round(trio.current_time() - self.began_at, 1),
            "answered": dict(self.answered),
            "refused": refused,
            "headroom_min": self.headroom_min,
            "drain_s": self.drain_s,
            "incidents": [item.as_fields() for item in self.incidents.entries],
        }
