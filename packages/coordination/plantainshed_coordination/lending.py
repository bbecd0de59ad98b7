"""Borrowing between VMs: what makes many parts work as one whole.

A VM that has run out asks others before it refuses. It needs neither the store
nor a rebalancer for that, so it goes on working through an outage.
"""

import itertools
import math

import trio
from attrs import define, field, frozen

from .budgets import (
    ROUNDING,
    WHOLE_TOKEN,
)
from .digests import rendezvous_order
from .errors import PeerError
from .holdings import Holdings
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import LoanRequest, LoanReturn
from .rate_part import RatePart

LOAN_TIMEOUT_S = 0.12
ASKED_AT_ONCE = 8
TRIES_A_ROUND = 2
DRY_MIN_S = 0.02
DRY_MAX_S = 0.16
PREFETCH_S = 0.05
MAX_REFILL_WAIT_S = 0.05
MAX_ROUNDS = 2
# Rounds if a loan came later than it can be used. A busy machine answers within
# 0.1 to 0.2 s; four rounds hold a request for half a second at most.
LATE_ROUNDS = 4
RETURN_RETRY_S = 0.5
MIN_LOAN = 1e-3
LEFT_FRESH_S = 0.5
# A VM that did not answer in time is asked again unless it failed before within
# this time and has not answered since; one that is gone is then left out by
# membership.
SECOND_CHANCE_S = 2.0
# Questions in a row without an answer after which a VM counts as having nothing for
# a while. One whose answers come late is alive, and may soon be in time again.
TRIES_OF_SILENT = 2
TRIES_OF_LATE = LATE_ROUNDS


@frozen
class BorrowedCount:
    """One of a count, borrowed from a lender until it is returned.

    Parameters
    ----------
    lender : str
        VM that lent it.
    lender_incarnation : int
    budget : str
        Count budget that it is one of.
    grant : str
        Name of the loan.
    """

    lender: str
    lender_incarnation: int
    budget: str
    grant: str


@frozen
class HeardLeft:
    """What a lender said that it had left, and when.

    Parameters
    ----------
    amount : float
    at : float
    is_silence : bool
        Whether it said nothing, so that it is not worth asking for a while.
    """

    amount: float
    at: float
    is_silence: bool = False


@define
class Failures:
    """Questions in a row that a VM did not answer in time.

    Attributes
    ----------
    count : int
    last_at : float
        When the last of them was given up.
    has_answered : bool
        Whether an answer came, though too late to be used.
    """

    count: int = 0
    last_at: float = -math.inf
    has_answered: bool = False

    def note(self, asked_at: float):
        """Count a question that is given up now.

        Several that were under way at once, for different budgets, show only once
        that the VM does not answer.
        """
        if asked_at >= self.last_at:
            self.count += 1
            self.last_at = trio.current_time()

    def is_last_try(self) -> bool:
        """Tell whether the VM is not to be asked again for a while."""
        return self.count >= (TRIES_OF_LATE if self.has_answered else TRIES_OF_SILENT)


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
    rounds : int
        How often peers were asked for tokens.
    """

    def __init__(
        self, network: PeerNetwork, membership: Membership, holdings: Holdings
    ):
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.rounds = 0
        self._running: dict[str, Round] = {}
        self._waiting: dict[str, list[Waiter]] = {}
        self._dry: dict[str, DrySpell] = {}
        self._last_left: dict[tuple[str, str], HeardLeft] = {}
        self._failures: dict[str, Failures] = {}
        self._grant_numbers = itertools.count(1)
        self._to_return, self._returning = trio.open_memory_channel(float("inf"))
        network.late_answer_handlers["loan_grant"] = self._on_late_answer

    async def run(self):
        """Return borrowed counts until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                loan = await self._returning.receive()
                nursery.start_soon(self._return, loan)

    # Tokens of rate budgets.

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
            plan = self._plan_loans(name, missing, ahead)
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
        known = self._known_left(name)
        if max(known.values(), default=0.0) >= missing:
            return
        worth_asking = [vm for vm in self._others() if vm not in known]
        if not self._is_enough(known, missing):
            worth_asking += self._may_have_more(name, known, own)
        order = rendezvous_order(f"{name}/{self.rounds}", worth_asking)
        order.sort(key=lambda vm: (vm in known, not self._is_near(vm)))
        async with trio.open_nursery() as nursery:
            for vm in order[:ASKED_AT_ONCE]:
                nursery.start_soon(self._ask, vm, name, 0.0, own)

    def _may_have_more(
        self, name: str, known: dict[str, float], own: Round
    ) -> list[str]:
        """Return VMs whose word is older than the round.

        It tells whom to borrow from, but not that nobody has any: what a VM
        lacked then, refills or a moved part may have brought it since.
        """
        heard = {vm: self._last_left[name, vm] for vm in known}
        return [
            vm
            for vm, left in heard.items()
            if left.at < own.began_at and not left.is_silence
        ]

    def _is_enough(self, known: dict[str, float], missing: float) -> bool:
        """Tell whether known tokens would serve a request."""
        return sum(known.values()) + ROUNDING >= min(missing, WHOLE_TOKEN)

    def _plan_loans(self, name: str, missing: float, ahead: float) -> dict[str, float]:
        """Return how much to borrow from whom; nothing if it would not do."""
        known = self._known_left(name)
        if not self._is_enough(known, missing):
            return {}
        wanted = missing + ahead
        plan = {}
        for vm in sorted(known, key=known.get, reverse=True):
            amount = min(known[vm], wanted)
            if amount <= MIN_LOAN:
                break
            plan[vm] = amount
            wanted -= amount
        return plan

    def _others(self) -> list[str]:
        own = self.membership.identity.vm
        return [vm for vm in self.membership.usable_vms() if vm != own]

    def _known_left(self, name: str) -> dict[str, float]:
        """Return what VMs said lately that they have left."""
        known = {}
        for vm in self._others():
            left = self._left_at(name, vm)
            if left is not None:
                known[vm] = left
        return known

    def _left_at(self, name: str, vm: str) -> float | None:
        """Return what a VM said lately that it has left; None if it is not known."""
        heard = self._last_left.get((name, vm))
        if heard is None or trio.current_time() - heard.at > LEFT_FRESH_S:
            return None
        return heard.amount

    def _is_near(self, vm: str) -> bool:
        own = self.membership.identity.failure_domain
        return self.membership.failure_domain_of(vm) == own

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
            self._note_no_answer(vm, name, own, asked_at)
            return 0.0
        self._failures.pop(vm, None)
        self._last_left[name, vm] = HeardLeft(grant.left, trio.current_time())
        return grant.amount

    def _note_no_answer(self, vm: str, name: str, own: Round, asked_at: float):
        now = trio.current_time()
        failures = self._failures.get(vm)
        if failures is None or now - failures.last_at > SECOND_CHANCE_S:
            failures = self._failures[vm] = Failures()
        failures.note(asked_at)
        if failures.is_last_try():
            self._last_left[name, vm] = HeardLeft(0.0, now, is_silence=True)
        else:
            self._last_left.pop((name, vm), None)
            own.is_late = True

    def _on_late_answer(self, vm: str):
        """Have a VM asked again that was taken for silent, as it is not."""
        failures = self._failures.get(vm)
        if failures is None:
            return
        failures.has_answered = True
        if failures.is_last_try():
            return
        for key, left in list(self._last_left.items()):
            if key[1] == vm and left.is_silence:
                del self._last_left[key]

    # One of a count.

    async def borrow_count(
        self, group: str, lenders: list[str], alone: bool = False
    ) -> BorrowedCount | None:
        """Borrow one of a group of counts from the first lender that has one.

        With ``alone``, one that no other loan of this kind is using.
        """
        for vm in lenders:
            grant_name = self._next_grant()
            request = LoanRequest(budget=group, amount=1, grant=grant_name, alone=alone)
            member = self.membership.table.members.get(vm)
            if member is None:
                continue
            incarnation = member.record.incarnation
            try:
                grant = await self.network.ask(
                    vm, "loan_request", request, LOAN_TIMEOUT_S
                )
            except PeerError:
                # The lender may have lent it all the same. It is told that
                # nobody uses the loan, or it would miss that one for good.
                self.give_back(BorrowedCount(vm, incarnation, "", grant_name))
                continue
            if grant.amount >= 1:
                return BorrowedCount(vm, incarnation, grant.budget, grant_name)
        return None

    def give_back(self, loan: BorrowedCount):
        """Return a borrowed count; goes on in the background until confirmed."""
        self._to_return.send_nowait(loan)

    async def _return(self, loan: BorrowedCount):
        message = LoanReturn(budget=loan.budget, grant=loan.grant)
        is_gone = self.membership.table.is_gone
        while not is_gone(loan.lender, loan.lender_incarnation):
            try:
                await self.network.ask(loan.lender, "loan_return", message, 1.0)
                return
            except PeerError:
                await trio.sleep(RETURN_RETRY_S)
