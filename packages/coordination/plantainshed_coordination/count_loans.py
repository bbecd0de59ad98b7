"""One of a count, borrowed from another VM for as long as it is used."""

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


class CountLoans:
    """Borrows from counts of other VMs, and returns what it borrowed.

    Parameters
    ----------
    network : PeerNetwork
    membership : Membership
    next_grant : callable
        Returns a name for a loan, another one each time.
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
        """Return borrowed counts until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                loan = await self._pending_returns.receive()
                nursery.start_soon(self._return, loan)

    async def borrow(
        self, group: str, lenders: list[str], alone: bool = False
    ) -> BorrowedCount | None:
        """Borrow one of a group of counts from the first lender that has one.

        With ``alone``, one that no other loan of this kind is using.
        """
        for vm in lenders:
            grant_id = self.next_grant_id()
            request = LoanRequest(budget=group, amount=1, grant=grant_id, alone=alone)
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
                self.return_loan(BorrowedCount(vm, incarnation, "", grant_id))
                continue
            if grant.amount >= 1:
                return BorrowedCount(vm, incarnation, grant.budget, grant_id)
        return None

    def return_loan(self, loan: BorrowedCount):
        """Return a borrowed count; goes on in the background until confirmed."""
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
