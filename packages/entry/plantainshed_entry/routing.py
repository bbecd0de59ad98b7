"""Where a request runs: a target with room, near before far.

Own slots come first, then slots borrowed from VMs of the own failure domain,
of the region, and of other regions. A request that finds none waits its turn
for a moment and is then refused, truthfully as not run.
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
QUEUE_FOR_EACH_SLOT = 2
LENDERS_ASKED = 4
FULL_FOR_S = 0.1
TURN_PERIOD_S = 0.05
NO_ROOM_RETRY_AFTER_S = 1.0


@frozen
class Slot:
    """A slot of a target, to be given back.

    Parameters
    ----------
    state : TargetState
    loan : BorrowedCount or None
        Set when the slot is another VM's.
    """

    state: TargetState
    loan: BorrowedCount | None = None


class Routing:
    """Finds slots for requests.

    Attributes
    ----------
    in_force : IndexedDocument
    queues : dict of str to SlotQueue
        By pool.
    """

    def __init__(self, membership: Membership, lending: Lending, targets: TargetTable):
        self.membership = membership
        self.lending = lending
        self.targets = targets
        self.in_force: IndexedDocument | None = None
        self.queues: dict[str, SlotQueue] = {}
        self._asked = itertools.count()
        self._full_until: dict[tuple[str, str], float] = {}

    async def run(self):
        """Give waiting requests a turn now and then.

        A slot can also come free where no release is seen here: at a VM that
        lends, or by a change of the ledger.
        """
        while True:
            await trio.sleep(TURN_PERIOD_S)
            for queue in self.queues.values():
                queue.wake_next()

    @contextlib.asynccontextmanager
    async def slot(self, call: Call, excluded=frozenset(), alone: bool = False):
        """Hold a slot for a block, or raise `Refusal`."""
        found = await self._find(call, excluded, alone)
        state = found.state
        state.own_in_flight += 1
        state.marked_in_flight += alone
        try:
            yield state
        finally:
            state.own_in_flight -= 1
            state.marked_in_flight -= alone
            self._give_back(found)

    async def _find(self, call: Call, excluded, alone) -> Slot:
        queue = self.queues.setdefault(call.pool.name, SlotQueue())
        domains = self._domains_for(call)
        give_up_at = trio.current_time() + self._patience(call)
        if not queue.length:
            slot = await self._try_domains(call, domains, excluded, alone)
            if slot is not None:
                return slot
        if not any(self.targets.usable(call.pool.name, name) for name in domains):
            raise Refusal(
                Reason.NO_TARGET,
                f"no target of pool {call.pool.name} can be used from here",
                retry_after_s=NO_ROOM_RETRY_AFTER_S,
            )
        if queue.length >= self._longest_queue(call):
            raise self._no_room(call)
        while await queue.wait(call.workspace, give_up_at - trio.current_time()):
            slot = await self._try_domains(call, domains, excluded, alone)
            if slot is not None:
                return slot
            if trio.current_time() >= give_up_at:
                break
        raise self._no_room(call)

    def _patience(self, call: Call) -> float:
        share = call.pool.timeout_s * QUEUE_SHARE_OF_TIMEOUT
        return min(QUEUE_MAX_S, share, call.seconds_left / 2)

    def _longest_queue(self, call: Call) -> int:
        slots = sum(
            state.part.usable for state in self.targets.of_pool(call.pool.name)
            if state.part is not None
        )  # fmt: skip
        return QUEUE_FOR_EACH_SLOT * max(1, slots)

    def _no_room(self, call: Call) -> Refusal:
        return Refusal(
            Reason.NO_ROOM,
            f"no target of pool {call.pool.name} has room now",
            retry_after_s=NO_ROOM_RETRY_AFTER_S,
        )

    async def _try_domains(self, call, domains, excluded, alone) -> Slot | None:
        """Try the domains in order; slow targets only when nothing else has room."""
        own_domain = self.membership.identity.failure_domain
        for failure_domain in domains:
            if not await self._is_within_cap(call, failure_domain):
                continue
            if failure_domain == own_domain:
                state = self.targets.take_slot(
                    call.pool.name, own_domain, excluded, alone, slow=False
                )
                if state is not None:
                    return Slot(state)
            slot = await self._borrow(call, failure_domain, excluded, alone)
            if slot is not None:
                return slot
        if own_domain in domains and await self._is_within_cap(call, own_domain):
            state = self.targets.take_slot(call.pool.name, own_domain, excluded, alone)
            return Slot(state) if state is not None else None
        return None

    async def _borrow(
        self, call: Call, failure_domain: str, excluded, alone: bool
    ) -> Slot | None:
        key = (call.pool.name, failure_domain)
        if self._full_until.get(key, 0.0) > trio.current_time():
            return None
        own = self.membership.identity.vm
        live = [v for v in self.membership.live_in_domain(failure_domain) if v != own]
        lenders = rendezvous_order(str(next(self._asked)), live)[:LENDERS_ASKED]
        group = POOL_PREFIX + call.pool.name
        loan = await self.lending.count_loans.borrow(group, lenders, alone)
        if loan is None:
            self._full_until[key] = trio.current_time() + FULL_FOR_S
            return None
        name = loan.budget.removeprefix(SLOTS_PREFIX)
        state = self.targets.states.get(name)
        if state is None or name in excluded:
            self.lending.count_loans.return_loan(loan)
            return None
        return Slot(state, loan)

    def _give_back(self, slot: Slot):
        if slot.loan is not None:
            self.lending.count_loans.return_loan(slot.loan)
        elif slot.state.part is not None:
            slot.state.part.release()
        queue = self.queues.get(slot.state.pool.name)
        if queue is not None:
            queue.wake_next()

    def choose_to_lend(self, group: str, alone: bool = False) -> str | None:
        """Return the slots to lend from for another VM's request, if any.

        Own callers that wait in the queue come first.
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
            and not (alone and state.runs_marked)
            and not self.targets.is_slow(state)
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda state: state.expected_s)
        return SLOTS_PREFIX + best.target.name

    # Which failure domains, in which order.

    def _domains_for(self, call: Call) -> list[str]:
        own = self.membership.identity.failure_domain
        own_region = self.in_force.region_of(own)
        by_distance = self._domains_of_region(own_region, first=own)
        others = sorted(set(self.in_force.region_by_domain) - set(by_distance))
        far = rendezvous_order(own, others)
        # A caller that was sent to another region and finds no room there is
        # best served by its own.
        home_region = self.in_force.region_of(call.home_domain)
        far.sort(key=lambda name: self.in_force.region_of(name) != home_region)
        return by_distance + [name for name in far if self._is_reachable(name)]

    async def _is_within_cap(self, call: Call, failure_domain: str) -> bool:
        """Tell whether a request may run in a domain under the shifts' caps.

        As long as a shift is listed, all traffic of its pool between its two
        regions is under its cap, whatever sent it there: an operator who
        moves 20 requests a second does not want 50 arrive because the old
        region overflows meanwhile, or because callers keep old answers.
        """
        shift = self._shift_between(call, failure_domain)
        if shift is None or call.moved_by == shift.name:
            return True
        if not await self.lending.take(SHIFT_PREFIX + shift.name):
            return False
        call.moved_by = shift.name
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
