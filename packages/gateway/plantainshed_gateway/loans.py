"""Borrowing of quota tokens between VMs.

This is designed for small workspaces whose requests arrive in bursts at one VM while
their tokens are on other VMs. For a request without a token, the VM asks near VMs
(those of its region) one after the other and then several far VMs (of other regions) at
once. Far VMs are not asked if the workspace exceeds its rate: the token would arrive
late, and the far VM needs it for its own callers. A VM that is running out of tokens
prefetches some, so that requests rarely wait for a round trip between regions.

The lender withdraws the tokens from its bucket before it answers. A lost message
therefore loses tokens but never duplicates them. A loan that arrives after its request
was refused is kept for the next request.
"""

import itertools
from collections.abc import Callable, Iterator

import trio
from attrs import define, field, frozen

from .datagrams import TokenLoan, TokenRequest
from .members import Members
from .model import Workspace
from .quota import Quotas
from .selection.round_trips import RoundTrips

# Number of near VMs that are asked, one after the other. In a simulation without a
# network at 78 VMs, 4 % of a small workspace's requests were refused with two, 0.4 %
# with four.
NEAR_LENDERS_TRIED = 4
# Number of far VMs that are asked at once. Their known levels are a second old, so the
# VM with the highest level may have no token left.
FAR_LENDERS_ASKED = 3
# Time for which a holder that did not answer is moved to the end of the list.
UNRESPONSIVE_PAUSE_S = 1.0
# Pause after a borrow attempt in which no VM lent a token. Without it, each request of
# a workspace far over its quota would cost a round trip.
BORROW_PAUSE_S = 0.25
# Time for which a loan that missed its request is still accepted. The lender's bucket
# refills meanwhile, so a token accepted much later would exist twice.
LATE_LOAN_LIMIT_S = 1.0
# Tokens that a lender keeps for its own callers when another VM prefetches, and the
# maximum size of a loan.
LENDER_RESERVE = 1.0
MAX_LOAN = 3.0

Send = Callable[[object, str], object]


@define
class _RequestBatch:
    """Token requests that were sent at the same time.

    Attributes
    ----------
    pending_count : int
        Requests that are not answered yet.
    tokens : float
        Tokens received in the answers.
    done : trio.Event
        Set once an answer contained a token or all requests are answered.
    """

    pending_count: int = 0
    tokens: float = 0.0
    done: trio.Event = field(factory=trio.Event)

    def record_answer(self, tokens: float):
        self.pending_count -= 1
        self.tokens += tokens
        if self.tokens >= 1.0 or self.pending_count == 0:
            self.done.set()


@define
class _PendingRequest:
    """A token request that is not answered yet."""

    workspace: str
    lender: "_Lender"
    batch: _RequestBatch
    sent_at: float = field(factory=trio.current_time)


@frozen
class _Lender:
    ip: str
    failure_domain: str
    level: float


class Loans:
    """Borrows tokens from other VMs and lends them this VM's tokens.

    Parameters
    ----------
    quotas : Quotas
    members : Members
    send : callable
        Sends a message to an IP address.
    round_trips : RoundTrips
    """

    def __init__(
        self, quotas: Quotas, members: Members, send: Send, round_trips: RoundTrips
    ):
        self.quotas = quotas
        self.members = members
        self.send = send
        self.round_trips = round_trips
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._next_borrow_at: dict[str, float] = {}
        self._next_prefetch_at: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}

    # Borrowing for requests without a token.

    async def borrow(self, workspace: Workspace) -> bool:
        """Add borrowed tokens to this VM's bucket.

        Returns whether any were borrowed.
        """
        name = workspace.name
        if trio.current_time() < self._next_borrow_at.get(name, 0.0):
            return False
        self._drop_expired()
        for lenders in self._lender_batches(name):
            if await self._request_from_all(lenders, name):
                return True
            if self.quotas.has_token(name):
                # The bucket has refilled in the meantime.
                return False
        self._next_borrow_at[name] = trio.current_time() + BORROW_PAUSE_S
        return False

    def _lender_batches(self, name: str) -> Iterator[list[_Lender]]:
        """Yield groups of lenders to ask at the same time.

        The first group is usually sufficient.
        """
        for lender in self._near_lenders(name)[:NEAR_LENDERS_TRIED]:
            yield [lender]
        if not self.quotas.is_exhausted(name):
            far = self._far_lenders(name)[:FAR_LENDERS_ASKED]
            if far:
                yield far

    async def _request_from_all(self, lenders: list[_Lender], name: str) -> bool:
        """Ask several VMs at once; return whether a token arrived in time."""
        batch = _RequestBatch()
        for lender in lenders:
            await self._send_request(lender, name, 1.0, 0.0, batch)
        waits = [self.round_trips.wait_s(lender.failure_domain) for lender in lenders]
        with trio.move_on_after(max(waits)):
            await batch.done.wait()
        if not batch.done.is_set():
            self._mark_unresponsive(batch)
        return batch.tokens > 0

    def _mark_unresponsive(self, batch: _RequestBatch):
        until = trio.current_time() + UNRESPONSIVE_PAUSE_S
        for request in self._pending.values():
            if request.batch is batch:
                self._unresponsive_until[request.lender.ip] = until

    # Prefetching.

    async def prefetch(self, workspace: Workspace):
        """Request tokens if the bucket may soon run empty.

        Does not wait for the answer.
        """
        name = workspace.name
        now = trio.current_time()
        if now < self._next_prefetch_at.get(name, 0.0):
            return
        if self.quotas.is_exhausted(name):
            return
        max_tokens = self.quotas.prefetch_amount(name, self.round_trips.longest_s())
        if max_tokens < 1.0:
            return
        lenders = [*self._near_lenders(name), *self._far_lenders(name)]
        candidates = [
            lender for lender in lenders if lender.level >= 1.0 + LENDER_RESERVE
        ]
        if not candidates:
            return
        wait_s = self.round_trips.wait_s(candidates[0].failure_domain)
        self._next_prefetch_at[name] = now + wait_s
        max_tokens = min(MAX_LOAN, max_tokens)
        await self._send_request(
            candidates[0], name, max_tokens, LENDER_RESERVE, _RequestBatch()
        )

    # Selection of lenders.

    def _near_lenders(self, name: str) -> list[_Lender]:
        """Return holders in this region, the one with the most tokens first."""
        own = self.members.own
        lenders = []
        for member in self.members.in_own_domain():
            usage = member.heartbeat.usage.get(name) if member.heartbeat else None
            if usage is not None and usage.share > 0 and member.is_alive:
                lenders.append(_Lender(member.ip, own.failure_domain, usage.level))
        lenders += self._lenders_in_domains(name, in_own_region=True)
        lenders = self._by_level(lenders)
        if self.quotas.holders.is_holder(name):
            return lenders
        # This VM is not a holder. It always asks the same holder of its domain first,
        # and that holder counts its demand.
        first = [
            _Lender(ip, own.failure_domain, 1.0)
            for ip in self.quotas.holders.holder_ips_to_ask(name)
        ]
        ips = {lender.ip for lender in first}
        return self._unresponsive_last(
            [*first, *(one for one in lenders if one.ip not in ips)]
        )

    def _far_lenders(self, name: str) -> list[_Lender]:
        """Return holders in other regions, the one with the most tokens first."""
        return self._by_level(self._lenders_in_domains(name, in_own_region=False))

    def _lenders_in_domains(self, name: str, in_own_region: bool) -> list[_Lender]:
        lenders = []
        for failure_domain, domain in self.members.far.items():
            usage = domain.summary.usage.get(name)
            is_in_own_region = domain.summary.region == self.members.own.region
            if usage is None or not usage.lender or not domain.is_fresh:
                continue
            if is_in_own_region == in_own_region:
                lenders.append(_Lender(usage.lender, failure_domain, usage.level))
        return lenders

    def _by_level(self, lenders: list[_Lender]) -> list[_Lender]:
        by_level = sorted(lenders, key=lambda lender: (-lender.level, lender.ip))
        return self._unresponsive_last(by_level)

    def _unresponsive_last(self, lenders: list[_Lender]) -> list[_Lender]:
        now = trio.current_time()
        return sorted(
            lenders,
            key=lambda lender: self._unresponsive_until.get(lender.ip, 0.0) > now,
        )

    # Messages.

    async def _send_request(
        self,
        lender: _Lender,
        name: str,
        max_tokens: float,
        reserved: float,
        batch: _RequestBatch,
    ):
        number = next(self._numbers)
        self._pending[number] = _PendingRequest(name, lender, batch)
        batch.pending_count += 1
        message = TokenRequest(self.members.own.vm, number, name, max_tokens, reserved)
        await self.send(message, lender.ip)

    def _drop_expired(self):
        oldest = trio.current_time() - LATE_LOAN_LIMIT_S
        while self._pending:
            number, request = next(iter(self._pending.items()))
            if request.sent_at > oldest:
                return
            del self._pending[number]

    async def on_request(self, request: TokenRequest, ip: str):
        """Answer another VM's token request."""
        max_tokens = min(request.max_tokens, MAX_LOAN)
        tokens = self.quotas.take_for_loan(
            request.workspace, request.reserved, max_tokens
        )
        await self.send(TokenLoan(request.number, tokens), ip)

    def on_loan(self, loan: TokenLoan):
        """Add the tokens of a loan unless it arrives too late."""
        self._drop_expired()
        request = self._pending.pop(loan.number, None)
        if request is None:
            return
        took_s = trio.current_time() - request.sent_at
        self.round_trips.record(request.lender.failure_domain, took_s)
        tokens = max(0.0, min(MAX_LOAN, loan.tokens))
        self.quotas.add_borrowed(request.workspace, tokens)
        request.batch.record_answer(tokens)
