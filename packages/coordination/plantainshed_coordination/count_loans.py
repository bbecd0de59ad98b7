"""Borrowing slots of count budgets from other VMs while they are in use."""

from collections.abc import Callable

import trio
from attrs import frozen

from .budgets import LOAN_TIMEOUT_S
from .errors import PeerError
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import LoanRequest, LoanReturn

RETURN_RETRY_S = 0.5


@frozen
class BorrowedCount:
    """A slot of a count budget, borrowed until it is returned.

    Parameters
    ----------
    lender : str
        VM that lent the slot.
    lender_incarnation : int
    budget : str
        Count budget of the slot.
    grant : str
        Id of the loan.
    """

    lender: str
    lender_incarnation: int
    budget: str
    grant: str


class CountLoans:
    """Borrows slots of count budgets from other VMs and returns them.

    Parameters
    ----------
    network : PeerNetwork
    membership : Membership
    next_grant_id : callable
        Returns a new, unique loan id on each call.
    """

    def __init__(
        self,
        network: PeerNetwork,
        membership: Membership,
        next_grant_id: Callable[[], str],
    ):
        self.network = network
        self.membership = membership
        self.next_grant_id = next_grant_id
        self._return_queue, self._pending_returns = trio.open_memory_channel(
            float("inf")
        )

    async def run(self):
        """Return borrowed slots to their lenders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                loan = await self._pending_returns.receive()
                nursery.start_soon(self._return, loan)

    async def borrow(
        self, group: str, lenders: list[str], exclusive: bool = False
    ) -> BorrowedCount | None:
        """Borrow a slot from a group of count budgets, trying lenders in order.

        With ``exclusive``, the request is suspected of crashing targets, and the slot's
        target must not run another such request at the same time.
        """
        for vm in lenders:
            grant_id = self.next_grant_id()
            request = LoanRequest(
                budget=group, amount=1, grant=grant_id, alone=exclusive
            )
            member = self.membership.table.members.get(vm)
            if member is None:
                continue
            incarnation = member.record.incarnation
            try:
                grant = await self.network.ask(
                    vm, "loan_request", request, LOAN_TIMEOUT_S
                )
            except PeerError:
                # The lender may have lent the slot although no answer arrived.
                # Return the loan, or the slot would be lost permanently.
                self.return_loan(BorrowedCount(vm, incarnation, "", grant_id))
                continue
            if grant.amount >= 1:
                return BorrowedCount(vm, incarnation, grant.budget, grant_id)
        return None

    def return_loan(self, loan: BorrowedCount):
        """Return a borrowed slot; retried in the background until confirmed."""
        self._return_queue.send_nowait(loan)

    async def _return(self, loan: BorrowedCount):
        message = LoanReturn(budget=loan.budget, grant=loan.grant)
        is_gone = self.membership.table.is_gone
        while not is_gone(loan.lender, loan.lender_incarnation):
            try:
                await self.network.ask(loan.lender, "loan_return", message, 1.0)
                return
            except PeerError:
                await trio.sleep(RETURN_RETRY_S)
