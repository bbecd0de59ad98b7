"""Assignment of callers to failure domains."""

import trio

from plantainshed_coordination.digests import unit_hash, weighted_score
from plantainshed_coordination.members import Liveness, MemberState
from plantainshed_coordination.membership import Membership
from plantainshed_model.document import DrainKind, Pool, ShiftState

from .in_force import IndexedDocument
from .loads import DomainLoad, LoadTracker
from .plan import PlannedDomain, PlannedShift, Shares, plan_pool, step_towards_plan
from .targets import TargetTable

PLAN_PERIOD_S = 1.0
DEFAULT_LINK_MEGABITS_S = 100.0
BITS_PER_REQUEST = 80_000.0


class Steering:
    """Computes a plan for each pool and assigns client blocks to failure domains.

    Attributes
    ----------
    in_force : IndexedDocument
    shares : dict of str to Shares
        Current plan, by pool.
    """

    def __init__(
        self, membership: Membership, targets: TargetTable, loads: LoadTracker
    ):
        self.membership = membership
        self.targets = targets
        self.loads = loads
        self.in_force: IndexedDocument | None = None
        self.shares: dict[str, Shares] = {}

    async def run(self):
        """Recompute the plans every `PLAN_PERIOD_S` seconds."""
        while True:
            await trio.sleep(PLAN_PERIOD_S)
            self.make_plans()

    def make_plans(self):
        """Recompute the plan of every pool from the current loads."""
        loads = self.loads.all_domains(self.own_capacity())
        before_all = self.shares
        self.shares = {}
        for pool in self.in_force.pools.values():
            before = before_all.get(pool.name, {})
            goal = plan_pool(
                self._plan_domains(pool, loads), self._shifts(pool), self._link_rates()
            )
            self.shares[pool.name] = {
                home: step_towards_plan(before.get(home, {}), shares, home)
                for home, shares in goal.items()
            }

    def own_capacity(self) -> dict[str, float]:
        """Return the requests per second that the own domain can run, by pool."""
        own = self.membership.identity.failure_domain
        return {
            pool.name: self.targets.capacity(pool, own)
            for pool in self.in_force.pools.values()
        }

    def _plan_domains(
        self, pool: Pool, loads: dict[str, DomainLoad]
    ) -> dict[str, PlannedDomain]:
        demand: dict[str, float] = {}
        for load in loads.values():
            for home, rate in load.arrivals.get(pool.name, {}).items():
                demand[home] = demand.get(home, 0.0) + rate
        domains = {}
        for name, region in self.in_force.region_by_domain.items():
            capacity = 0.0
            if name in loads and self._accepts_callers(name):
                capacity = loads[name].capacity.get(pool.name, 0.0)
            domains[name] = PlannedDomain(name, region, capacity, demand.get(name, 0.0))
        return domains

    def _accepts_callers(self, failure_domain: str) -> bool:
        if self._is_drained(DrainKind.FAILURE_DOMAIN, failure_domain):
            return False
        return bool(self.ready_vms(failure_domain))

    def _is_drained(self, kind: DrainKind, name: str) -> bool:
        drains = self.in_force.document.drains
        return any(drain.kind is kind and drain.name == name for drain in drains)

    def _shifts(self, pool: Pool) -> list[PlannedShift]:
        planned = []
        for shift in self.in_force.document.shifts:
            if shift.pool != pool.name:
                continue
            ends = (shift.from_region, shift.to_region)
            if shift.state is ShiftState.REVERSED:
                ends = ends[::-1]
            is_running = shift.state is not ShiftState.STOPPED
            planned.append(PlannedShift(*ends, shift.cap, is_running))
        return planned

    def _link_rates(self) -> dict[tuple[str, str], float]:
        regions = sorted(set(self.in_force.region_by_domain.values()))
        rates = {
            (a, b): DEFAULT_LINK_MEGABITS_S * 1e6 / BITS_PER_REQUEST
            for a in regions
            for b in regions
            if a < b
        }
        for link in self.in_force.document.links:
            pair = tuple(sorted((link.region_a, link.region_b)))
            rates[pair] = link.megabits_s * 1e6 / BITS_PER_REQUEST
        return rates

    def ready_vms(self, failure_domain: str) -> list[str]:
        """Return the VMs of a failure domain that accept new callers."""
        membership = self.membership
        ready = []
        leaving = set(membership.leaving_vms())
        for record in membership.records():
            if record.failure_domain != failure_domain:
                continue
            if record.state != MemberState.READY:
                continue
            if membership.liveness(record.vm) is not Liveness.ALIVE:
                continue
            if record.vm in leaving:
                continue
            if not self._is_drained(DrainKind.VM, record.vm):
                ready.append(record.vm)
        return ready

    def domains_for(self, pool: str, home: str, block: str) -> list[str]:
        """Return the failure domains for the callers of a block, best first.

        The first domain follows the shares of the plan. The home domain serves the
        blocks with the lowest hashes, so that a change of its share moves only the
        blocks between the old and the new share. All other blocks are distributed
        over the other domains by weighted rendezvous hashing.
        """
        shares = self.shares.get(pool, {}).get(home, {})
        others = {n: w for n, w in shares.items() if n != home and w > 0}
        region = self.in_force.region_of(home)

        def distance_key(name: str) -> tuple[bool, bool, float]:
            same_region = self.in_force.region_of(name) == region
            return name != home, not same_region, -unit_hash(block, name)

        names = [n for n in self.in_force.region_by_domain if self._accepts_callers(n)]
        order = sorted(names, key=distance_key)
        home_share = shares.get(home, 0.0 if others else 1.0)
        if others and unit_hash(pool, block) >= home_share:
            best = max(others, key=lambda n: (weighted_score(block, n, others[n]), n))
            order.sort(key=lambda name: name != best)
        return order
