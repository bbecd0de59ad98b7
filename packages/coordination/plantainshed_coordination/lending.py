"""Borrowing of budget tokens between VMs.

A VM that has no tokens left asks other VMs for a loan before it refuses a request,
so that the parts of all VMs act as one budget. Borrowing needs neither the store nor
a rebalancer and therefore keeps working while either is down.
"""

import itertools

import trio
from attrs import define, field, frozen

from .budgets import LOAN_TIMEOUT_S
from .count_loans import CountLoans
from .digests import rendezvous_order
from .errors import PeerError
from .holdings import Holdings
from .lenders import AVAILABILITY_TTL_S, MAX_TRIES_IF_LATE, Lenders
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import LoanRequest, LoanReturn
from .rate_part import RatePart

MAX_PARALLEL_QUERIES = 8
LOAN_ATTEMPTS_PER_ROUND = 2
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 0.16
PREFETCH_S = 0.05
MAX_REFILL_WAIT_S = 0.05
MAX_ROUNDS = 2
# Maximum number of rounds if a loan arrived after it had expired. A busy machine
# answers within 0.1 to 0.2 s; four rounds delay a request by at most half a second.
MAX_ROUNDS_IF_LATE = MAX_TRIES_IF_LATE


@define
class BorrowRound:
    """One round of loan requests to peers, shared by all requests that wait for it.

    Attributes
    ----------
    started_at : float
    finished : trio.Event
    is_inconclusive : bool
        Whether an answer was missing or arrived too late to be used. Such a round
        does not prove that no peer has tokens.
    served_any : bool
        Whether a request got a token.
    """

    started_at: float = field(factory=trio.current_time)
    finished: trio.Event = field(factory=trio.Event)
    is_inconclusive: bool = False
    served_any: bool = False


@define(eq=False)
class Waiter:
    """A request that is waiting for a token."""

    is_served: bool = False


@frozen
class Backoff:
    """A period without loan requests, because no peer had tokens to lend."""

    duration_s: float
    ends_at: float


class Lending:
    """Takes tokens from this VM's parts and borrows missing ones from peers.

    Attributes
    ----------
    count_loans : CountLoans
    lenders : Lenders
    rounds : int
        Number of rounds of loan requests so far.
    """

    def __init__(
        self, network: PeerNetwork, membership: Membership, holdings: Holdings
    ):
        self.network = network
        self.membership = membership
        self.holdings = holdings
        self.lenders = Lenders(network, membership)
        self.rounds = 0
        self._running_rounds: dict[str, BorrowRound] = {}
        self._waiters: dict[str, list[Waiter]] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._grant_numbers = itertools.count(1)
        self.count_loans = CountLoans(network, membership, self._next_grant_id)

    async def run(self):
        """Return borrowed slots of count budgets until cancelled."""
        await self.count_loans.run()

    async def take(self, name: str) -> bool:
        """Take one token of a rate budget, borrowing it if necessary.

        Returns False if neither this VM nor the peers that answered in time had a
        token, or if the budget no longer exists. The call waits for one or two round
        trips, never until a deadline.
        """
        part = self.holdings.rate_part(name)
        if part is None:
            return False
        part.demand.add(1)
        waiters = self._waiters.setdefault(name, [])
        # Reserve tokens for requests that are already waiting. If a later request
        # took a token that was borrowed for a waiter, the round would look as if it
        # had found none.
        if part.try_take(reserve=len(waiters)):
            return True
        waiter = Waiter()
        waiters.append(waiter)
        try:
            for round_number in range(1, MAX_ROUNDS_IF_LATE + 1):
                if self._is_backing_off(name):
                    break
                latest = await self._join_or_run_round(name, part)
                if not self.holdings.is_current(part):
                    return False
                if waiter.is_served:
                    return True
                # Retry after a late loan. Otherwise a briefly busy peer would be
                # enough to refuse a workspace that is far below its rate.
                if round_number >= MAX_ROUNDS and not latest.is_inconclusive:
                    break
            return await self._wait_for_refill(part, waiter)
        finally:
            if not waiter.is_served:
                waiters.remove(waiter)

    async def _wait_for_refill(self, part: RatePart, waiter: Waiter) -> bool:
        wait_s = part.seconds_until_available()
        if wait_s > MAX_REFILL_WAIT_S:
            return False
        await trio.sleep(wait_s)
        if not self.holdings.is_current(part):
            return False
        return waiter.is_served or part.try_take()

    def _serve_waiters(self, name: str, part: RatePart, borrow_round: BorrowRound):
        """Give available tokens to waiting requests, first come, first served."""
        if not self.holdings.is_current(part):
            return
        waiters = self._waiters[name]
        while waiters and part.try_take():
            waiters.pop(0).is_served = True
            borrow_round.served_any = True

    def _is_backing_off(self, name: str) -> bool:
        backoff = self._backoffs.get(name)
        return backoff is not None and backoff.ends_at > trio.current_time()

    async def _join_or_run_round(self, name: str, part: RatePart) -> BorrowRound:
        running = self._running_rounds.get(name)
        if running is not None:
            await running.finished.wait()
            return running
        borrow_round = self._running_rounds[name] = BorrowRound()
        try:
            await self._run_round(name, part, borrow_round)
        finally:
            del self._running_rounds[name]
            borrow_round.finished.set()
        return borrow_round

    async def _run_round(self, name: str, part: RatePart, borrow_round: BorrowRound):
        self.rounds += 1
        prefetch = part.demand.read() * PREFETCH_S
        for _ in range(LOAN_ATTEMPTS_PER_ROUND):
            self._serve_waiters(name, part, borrow_round)
            if not self._waiters[name] or not self.holdings.is_current(part):
                break
            missing = len(self._waiters[name]) - part.available()
            await self._query_availability(name, missing, borrow_round)
            plan = self.lenders.plan_loans(name, missing, prefetch)
            if not plan:
                break
            async with trio.open_nursery() as nursery:
                for vm, amount in plan.items():
                    nursery.start_soon(
                        self._borrow_tokens, vm, part, amount, borrow_round
                    )
        self._serve_waiters(name, part, borrow_round)
        if borrow_round.served_any:
            self._backoffs.pop(name, None)
            return
        if borrow_round.is_inconclusive:
            return
        await self._return_unused_loans(name, part)
        # No peer has tokens. Asking again for each request of a workspace far above
        # its rate would flood the peers without result, so the backoff doubles until
        # a round finds a token.
        previous = self._backoffs.get(name)
        duration = (
            min(BACKOFF_MAX_S, previous.duration_s * 2) if previous else BACKOFF_MIN_S
        )
        self._backoffs[name] = Backoff(duration, trio.current_time() + duration)

    async def _return_unused_loans(self, name: str, part: RatePart):
        """Return unused loans that do not add up to a whole token.

        When several VMs run out at the same time, each can borrow a fraction of the
        last token. Without being returned, these fractions would be lost.
        """
        if part.seconds_until_available() <= MAX_REFILL_WAIT_S:
            return
        for loan in part.drop_unused_loans():
            message = LoanReturn(budget=name, grant=loan.grant)
            await self.network.send(loan.lender, "loan_return", message)

    async def _query_availability(
        self, name: str, missing: float, borrow_round: BorrowRound
    ):
        """Ask some VMs how many tokens they have, unless one is known to have enough.

        The queries borrow nothing: fractions collected from several VMs that turn out
        not to add up to a whole token would be lost to every VM.
        """
        available = self.lenders.available_by_vm(name)
        if max(available.values(), default=0.0) >= missing:
            return
        candidates = [vm for vm in self.lenders.peer_vms() if vm not in available]
        if not self.lenders.is_enough(available, missing):
            candidates += self.lenders.possibly_outdated(
                name, available, borrow_round.started_at
            )
        order = rendezvous_order(f"{name}/{self.rounds}", candidates)
        order.sort(
            key=lambda vm: (vm in available, not self.lenders.is_in_own_domain(vm))
        )
        async with trio.open_nursery() as nursery:
            for vm in order[:MAX_PARALLEL_QUERIES]:
                nursery.start_soon(self._request_loan, vm, name, 0.0, borrow_round)

    async def _borrow_tokens(
        self, vm: str, part: RatePart, amount: float, borrow_round: BorrowRound
    ):
        asked_at = trio.current_time()
        grant = self._next_grant_id()
        lent = await self._request_loan(vm, part.spec.name, amount, borrow_round, grant)
        if not self.holdings.is_current(part):
            # The budget was removed meanwhile; an error here would end the process.
            # The loan expires unused, as it does when its answer is lost.
            return
        if lent and not part.receive_loan(lent, asked_at, grant, vm):
            borrow_round.is_inconclusive = True
        # Use the loan immediately: it can expire while other lenders are pending.
        self._serve_waiters(part.spec.name, part, borrow_round)

    def _next_grant_id(self) -> str:
        return f"{self.membership.identity.holder}/{next(self._grant_numbers)}"

    async def _request_loan(
        self,
        vm: str,
        name: str,
        amount: float,
        borrow_round: BorrowRound,
        grant: str = "",
    ) -> float:
        """Ask a VM for tokens; return the amount lent, 0 if it did not answer."""
        request = LoanRequest(budget=name, amount=amount, grant=grant)
        asked_at = trio.current_time()
        try:
            answer = await self.network.ask(vm, "loan_request", request, LOAN_TIMEOUT_S)
        except PeerError:
            borrow_round.is_inconclusive |= self.lenders.record_timeout(
                vm, name, asked_at
            )
            return 0.0
        self.lenders.record_availability(vm, name, answer.left)
        return answer.amount


__all__ = [
    "AVAILABILITY_TTL_S",
    "BACKOFF_MAX_S",
    "MAX_ROUNDS",
    "MAX_ROUNDS_IF_LATE",
    "Lending",
]
