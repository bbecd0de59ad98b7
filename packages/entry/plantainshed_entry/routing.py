"""Routing of requests to targets with a free slot, nearest first.

The VM first tries its own slots, then borrows slots from VMs of its failure domain,
of its region and of other regions. A request that gets no slot waits briefly in
a queue. If it still gets none, it is refused with the outcome "not run".
"""

import contextlib
import itertools

import trio
from attrs import frozen

from plantainshed_coordination.count_loans import BorrowedCount
from plantainshed_coordination.digests import rendezvous_order
from plantainshed_coordination.lending import Lending
from plantainshed_coordination.membership import Membership
from plantainshed_model.document import Shift

from .call import Call
from .errors import Refusal
from .in_force import SHIFT_PREFIX, SLOTS_PREFIX, IndexedDocument
from .reasons import Reason
from .slot_queue import SlotQueue
from .targets import TargetState, TargetTable

POOL_PREFIX = "pool/"
QUEUE_SHARE_OF_TIMEOUT = 0.1
QUEUE_MAX_S = 1.0
QUEUED_PER_SLOT = 2
MAX_LENDERS = 4
FULL_DOMAIN_TTL_S = 0.1
WAKE_PERIOD_S = 0.05
NO_ROOM_RETRY_AFTER_S = 1.0


@frozen
class Slot:
    """A slot of a target that has to be released after use.

    Parameters
    ----------
    state : TargetState
    loan : BorrowedCount or None
        The loan, if the slot was borrowed from another VM.
    """

    state: TargetState
    loan: BorrowedCount | None = None


class Routing:
    """Acquires slots for requests and lends slots to other VMs.

    Attributes
    ----------
    in_force : IndexedDocument
    queues : dict of str to SlotQueue
        Queues of requests that wait for a slot, by pool.
    """

    def __init__(self, membership: Membership, lending: Lending, targets: TargetTable):
        self.membership = membership
        self.lending = lending
        self.targets = targets
        self.in_force: IndexedDocument | None = None
        self.queues: dict[str, SlotQueue] = {}
        self._borrow_count = itertools.count()
        self._full_until: dict[tuple[str, str], float] = {}

    async def run(self):
        """Wake one waiting request of each queue periodically.

        A slot can become free without a release on this VM: at a VM that lends
        slots, or through a change of the ledger.
        """
        while True:
            await trio.sleep(WAKE_PERIOD_S)
            for queue in self.queues.values():
                queue.wake_next()

    @contextlib.asynccontextmanager
    async def slot(self, call: Call, excluded=frozenset(), exclusive: bool = False):
        """Hold a slot for the duration of a block, or raise `Refusal`.

        Parameters
        ----------
        call : Call
        excluded : set of str
            Names of targets that must not be used.
        exclusive : bool
            Whether the request is suspected of crashing targets. Its target must
            not run another suspected request at the same time.
        """
        slot = await self._acquire(call, excluded, exclusive)
        state = slot.state
        state.own_in_flight += 1
        state.suspects_in_flight += exclusive
        try:
            yield state
        finally:
            state.own_in_flight -= 1
            state.suspects_in_flight -= exclusive
            self._release(slot)

    async def _acquire(self, call: Call, excluded, exclusive) -> Slot:
        queue = self.queues.setdefault(call.pool.name, SlotQueue())
        domains = self._domains_for(call)
        give_up_at = trio.current_time() + self._max_wait_s(call)
        if not queue.length:
            slot = await self._try_domains(call, domains, excluded, exclusive)
            if slot is not None:
                return slot
        if not any(self.targets.usable(call.pool.name, name) for name in domains):
            raise Refusal(
                Reason.NO_TARGET,
                f"no target of pool {call.pool.name} can be used from here",
                retry_after_s=NO_ROOM_RETRY_AFTER_S,
            )
        if queue.length >= self._max_queue_length(call):
            raise self._no_room_refusal(call)
        while await queue.wait(call.workspace, give_up_at - trio.current_time()):
            slot = await self._try_domains(call, domains, excluded, exclusive)
            if slot is not None:
                return slot
            if trio.current_time() >= give_up_at:
                break
        raise self._no_room_refusal(call)

    def _max_wait_s(self, call: Call) -> float:
        share = call.pool.timeout_s * QUEUE_SHARE_OF_TIMEOUT
        return min(QUEUE_MAX_S, share, call.seconds_left / 2)

    def _max_queue_length(self, call: Call) -> int:
        slots = sum(
            state.part.usable for state in self.targets.of_pool(call.pool.name)
            if state.part is not None
        )  # fmt: skip
        return QUEUED_PER_SLOT * max(1, slots)

    def _no_room_refusal(self, call: Call) -> Refusal:
        return Refusal(
            Reason.NO_ROOM,
            f"no target of pool {call.pool.name} has room now",
            retry_after_s=NO_ROOM_RETRY_AFTER_S,
        )

    async def _try_domains(self, call, domains, excluded, exclusive) -> Slot | None:
        """Try the domains in order; use slow targets only as a last resort."""
        own_domain = self.membership.identity.failure_domain
        for failure_domain in domains:
            if not await self._try_spend_shift_cap(call, failure_domain):
                continue
            if failure_domain == own_domain:
                state = self.targets.take_slot(
                    call.pool.name, own_domain, excluded, exclusive, allow_slow=False
                )
                if state is not None:
                    return Slot(state)
            slot = await self._borrow(call, failure_domain, excluded, exclusive)
            if slot is not None:
                return slot
        if own_domain in domains and await self._try_spend_shift_cap(call, own_domain):
            state = self.targets.take_slot(
                call.pool.name, own_domain, excluded, exclusive
            )
            return Slot(state) if state is not None else None
        return None

    async def _borrow(
        self, call: Call, failure_domain: str, excluded, exclusive: bool
    ) -> Slot | None:
        key = (call.pool.name, failure_domain)
        if self._full_until.get(key, 0.0) > trio.current_time():
            return None
        own = self.membership.identity.vm
        live = [v for v in self.membership.live_in_domain(failure_domain) if v != own]
        lenders = rendezvous_order(str(next(self._borrow_count)), live)[:MAX_LENDERS]
        group = POOL_PREFIX + call.pool.name
        loan = await self.lending.count_loans.borrow(group, lenders, exclusive)
        if loan is None:
            self._full_until[key] = trio.current_time() + FULL_DOMAIN_TTL_S
            return None
        name = loan.budget.removeprefix(SLOTS_PREFIX)
        state = self.targets.states.get(name)
        if state is None or name in excluded or not state.wants_requests:
            self.lending.count_loans.return_loan(loan)
            return None
        return Slot(state, loan)

    def _release(self, slot: Slot):
        if slot.loan is not None:
            self.lending.count_loans.return_loan(slot.loan)
        elif slot.state.part is not None:
            slot.state.part.release()
        queue = self.queues.get(slot.state.pool.name)
        if queue is not None:
            queue.wake_next()

    def choose_slots_to_lend(self, group: str, exclusive: bool = False) -> str | None:
        """Return the name of the budget to lend a slot from, or None.

        Nothing is lent while requests of this VM's callers wait in the queue.
        """
        pool = group.removeprefix(POOL_PREFIX)
        queue = self.queues.get(pool)
        if queue is not None and queue.length:
            return None
        own_domain = self.membership.identity.failure_domain
        candidates = [
            state
            for state in self.targets.usable(pool, own_domain)
            if state.part is not None
            and state.part.free > 0
            and not (exclusive and state.runs_suspect)
            and not self.targets.is_slow(state)
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda state: state.expected_s)
        return SLOTS_PREFIX + best.target.name

    # Order of the failure domains.

    def _domains_for(self, call: Call) -> list[str]:
        own = self.membership.identity.failure_domain
        own_region = self.in_force.region_of(own)
        by_distance = self._domains_of_region(own_region, first=own)
        others = sorted(set(self.in_force.region_by_domain) - set(by_distance))
        far = rendezvous_order(own, others)
        # If a caller was steered to another region that has no free slot, its
        # home region is tried before all other regions.
        home_region = self.in_force.region_of(call.home_domain)
        far.sort(key=lambda name: self.in_force.region_of(name) != home_region)
        return by_distance + [name for name in far if self._is_reachable(name)]

    async def _try_spend_shift_cap(self, call: Call, failure_domain: str) -> bool:
        """Count a request against the cap of a shift, if one applies.

        While a shift is listed, its cap limits all traffic of its pool between its
        two regions, whatever the reason for the traffic. An operator who moves 20
        requests per second does not want 50 to arrive because the old region
        overflows or because callers use outdated lookup answers.

        Returns
        -------
        bool
            False if the cap of the shift is used up.
        """
        shift = self._shift_between(call, failure_domain)
        if shift is None or call.counted_shift == shift.name:
            return True
        if not await self.lending.take(SHIFT_PREFIX + shift.name):
            return False
        call.counted_shift = shift.name
        return True

    def _shift_between(self, call: Call, failure_domain: str) -> Shift | None:
        home = self.in_force.region_of(call.home_domain)
        there = self.in_force.region_of(failure_domain)
        for shift in self.in_force.document.shifts:
            ends = {shift.from_region, shift.to_region}
            if shift.pool == call.pool.name and home != there and ends == {home, there}:
                return shift
        return None

    def _domains_of_region(self, region: str, first: str = "") -> list[str]:
        names = [
            name
            for name, its_region in self.in_force.region_by_domain.items()
            if its_region == region and self._is_reachable(name)
        ]
        return sorted(names, key=lambda name: (name != first, name))

    def _is_reachable(self, failure_domain: str) -> bool:
        return failure_domain in self.membership.reachable_domains()
