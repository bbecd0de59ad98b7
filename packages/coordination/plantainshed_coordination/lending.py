"""Borrowing between VMs: what makes many parts work as one whole.

A VM that has run out asks others before it refuses. It needs neither the store
nor a rebalancer for that, so it goes on working through an outage.
"""

import itertools

import trio
from attrs import define, field, frozen

from .budgets import LOAN_TIMEOUT_S
from .count_loans import CountLoans
from .digests import rendezvous_order
from .errors import PeerError
from .holdings import Holdings
from .lenders import LEFT_FRESH_S, TRIES_OF_LATE, Lenders
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import LoanRequest, LoanReturn
from .rate_part import RatePart

ASKED_AT_ONCE = 8
TRIES_A_ROUND = 2
DRY_MIN_S = 0.02
DRY_MAX_S = 0.16
PREFETCH_S = 0.05
MAX_REFILL_WAIT_S = 0.05
MAX_ROUNDS = 2
# Rounds if a loan came later than it can be used. A busy machine answers within
# 0.1 to 0.2 s; four rounds hold a request for half a second at most.
LATE_ROUNDS = TRIES_OF_LATE


@define
class Round:
    """One round of questions, on which several requests may wait.

    Attributes
    ----------
    began_at : float
    ended : trio.Event
    is_late : bool
        Whether an answer came too late to be used, or never. The round then
        does not show that nobody has any tokens.
    has_served : bool
        Whether a request got a token.
    """

    began_at: float = field(factory=trio.current_time)
    ended: trio.Event = field(factory=trio.Event)
    is_late: bool = False
    has_served: bool = False


@define(eq=False)
class Waiter:
    """A request that waits for a token."""

    is_served: bool = False


@frozen
class DrySpell:
    """A time in which peers are not asked, as none had anything to lend."""

    length_s: float
    until: float


class Lending:
    """Takes from this VM's parts, and borrows what they lack.

    Attributes
    ----------
    counts : CountLoans
    lenders : Lenders
    rounds : int
        How often peers were asked for tokens.
    """

    def __init__(
        self, network: PeerNetwork, membership: Membership, holdings: Holdings
    ):
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.lenders = Lenders(network, membership)
        self.rounds = 0
        self._running: dict[str, Round] = {}
        self._waiting: dict[str, list[Waiter]] = {}
        self._dry: dict[str, DrySpell] = {}
        self._grant_numbers = itertools.count(1)
        self.counts = CountLoans(network, membership, self._next_grant)

    async def run(self):
        """Return borrowed counts until cancelled."""
        await self.counts.run()

    async def take(self, name: str) -> bool:
        """Take one token of a rate budget, borrowing it if need be.

        False means that neither this VM nor those it could ask in time had
        one, or that the budget is gone. The wait is one round trip or two,
        never until a deadline.
        """
        part = self.holdings.rate(name)
        if part is None:
            return False
        part.demand.add(1)
        waiting = self._waiting.setdefault(name, [])
        # What the earlier ones wait for is theirs. Taken by whoever comes next,
        # it would be borrowed in vain, and a round would seem to find nothing.
        if part.try_take(leaving=len(waiting)):
            return True
        waiter = Waiter()
        waiting.append(waiter)
        try:
            for number in range(1, LATE_ROUNDS + 1):
                if self._is_dry(name):
                    break
                last = await self._one_round(name, part)
                if not self.holdings.is_in_force(part):
                    return False
                if waiter.is_served:
                    return True
                # Refusing on a late loan would turn away a workspace that is
                # far below its rate, whenever a peer is busy for a moment.
                if number >= MAX_ROUNDS and not last.is_late:
                    break
            return await self._take_after_refill(part, waiter)
        finally:
            if not waiter.is_served:
                waiting.remove(waiter)

    async def _take_after_refill(self, part: RatePart, waiter: Waiter) -> bool:
        wait_s = part.seconds_until()
        if wait_s > MAX_REFILL_WAIT_S:
            return False
        await trio.sleep(wait_s)
        if not self.holdings.is_in_force(part):
            return False
        return waiter.is_served or part.try_take()

    def _hand_out(self, name: str, part: RatePart, own: Round):
        """Give tokens at hand to those who wait, in the order they came."""
        if not self.holdings.is_in_force(part):
            return
        waiting = self._waiting[name]
        while waiting and part.try_take():
            waiting.pop(0).is_served = True
            own.has_served = True

    def _is_dry(self, name: str) -> bool:
        spell = self._dry.get(name)
        return spell is not None and spell.until > trio.current_time()

    async def _one_round(self, name: str, part: RatePart) -> Round:
        running = self._running.get(name)
        if running is not None:
            await running.ended.wait()
            return running
        own = self._running[name] = Round()
        try:
            await self._ask_peers(name, part, own)
        finally:
            del self._running[name]
            own.ended.set()
        return own

    async def _ask_peers(self, name: str, part: RatePart, own: Round):
        self.rounds += 1
        ahead = part.demand.read() * PREFETCH_S
        for _ in range(TRIES_A_ROUND):
            self._hand_out(name, part, own)
            if not self._waiting[name] or not self.holdings.is_in_force(part):
                break
            missing = len(self._waiting[name]) - part.available()
            await self._learn_what_is_left(name, missing, own)
            plan = self.lenders.plan_loans(name, missing, ahead)
            if not plan:
                break
            async with trio.open_nursery() as nursery:
                for vm, amount in plan.items():
                    nursery.start_soon(self._borrow_tokens, vm, part, amount, own)
        self._hand_out(name, part, own)
        if own.has_served:
            self._dry.pop(name, None)
            return
        if own.is_late:
            return
        await self._give_back_tokens(name, part)
        # Nobody has any. Asking again for each request of a workspace far
        # above its rate would flood the peers and find nothing, so the pause
        # doubles until something was found.
        last = self._dry.get(name)
        length = min(DRY_MAX_S, last.length_s * 2) if last else DRY_MIN_S
        self._dry[name] = DrySpell(length, trio.current_time() + length)

    async def _give_back_tokens(self, name: str, part: RatePart):
        """Return loans that make no whole token, or they would be lost.

        Several VMs that lack tokens at a time each get a fraction of the last.
        """
        if part.seconds_until() <= MAX_REFILL_WAIT_S:
            return
        for loan in part.give_up_loans():
            message = LoanReturn(budget=name, grant=loan.grant)
            await self.network.send(loan.lender, "loan_return", message)

    async def _learn_what_is_left(self, name: str, missing: float, own: Round):
        """Ask some VMs what they have left, unless enough is known of.

        Nothing is lent yet: tokens collected from several that turn out not to
        make a whole one would be lost to everybody.
        """
        known = self.lenders.known_left(name)
        if max(known.values(), default=0.0) >= missing:
            return
        worth_asking = [vm for vm in self.lenders.others() if vm not in known]
        if not self.lenders.is_enough(known, missing):
            worth_asking += self.lenders.may_have_more(name, known, own.began_at)
        order = rendezvous_order(f"{name}/{self.rounds}", worth_asking)
        order.sort(key=lambda vm: (vm in known, not self.lenders.is_near(vm)))
        async with trio.open_nursery() as nursery:
            for vm in order[:ASKED_AT_ONCE]:
                nursery.start_soon(self._ask, vm, name, 0.0, own)

    async def _borrow_tokens(self, vm: str, part: RatePart, amount: float, own: Round):
        asked_at = trio.current_time()
        grant = self._next_grant()
        lent = await self._ask(vm, part.spec.name, amount, own, grant)
        if not self.holdings.is_in_force(part):
            # An error here would end the process. What was lent for a budget
            # that has gone lapses, as a loan does whose answer was lost.
            return
        if lent and not part.receive_loan(lent, asked_at, grant, vm):
            own.is_late = True
        # At once, as a loan can run out while other lenders are waited for.
        self._hand_out(part.spec.name, part, own)

    def _next_grant(self) -> str:
        return f"{self.membership.identity.holder}/{next(self._grant_numbers)}"

    async def _ask(
        self, vm: str, name: str, amount: float, own: Round, grant: str = ""
    ) -> float:
        """Ask a VM for tokens; return what it lent, 0 if it did not answer."""
        request = LoanRequest(budget=name, amount=amount, grant=grant)
        asked_at = trio.current_time()
        try:
            grant = await self.network.ask(vm, "loan_request", request, LOAN_TIMEOUT_S)
        except PeerError:
            own.is_late |= self.lenders.note_no_answer(vm, name, asked_at)
            return 0.0
        self.lenders.note_left(vm, name, grant.left)
        return grant.amount


__all__ = ["DRY_MAX_S", "LATE_ROUNDS", "LEFT_FRESH_S", "MAX_ROUNDS", "Lending"]
