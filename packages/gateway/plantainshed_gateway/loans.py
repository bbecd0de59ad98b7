"""Borrowing tokens of a workspace's quota from another VM.

Load that it answers: a small workspace whose requests clump on one VM while the
tokens of its quota lie at others. A request that finds none asks near VMs one
after the other, then far ones at once, unless the workspace is over its rate: a
far token would come late and be missed there. A VM that has few left asks ahead,
so that a request seldom waits for a round trip between regions.

The lender takes tokens from its bucket before it answers, so a lost message loses
tokens and never makes any. A loan that comes after its request was refused is
kept for the next one.
"""

import itertools
from collections.abc import Callable, Iterator

import trio
from attrs import define, field, frozen

from .datagrams import TokenLoan, TokenRequest
from .members import Members
from .model import Workspace
from .quota import Quotas
from .round_trips import RoundTrips

# VMs that are asked one after the other: with two, 4 % of a small workspace's
# requests were refused at 78 VMs, with four 0.4 % (played without a network).
NEAR_LENDERS_TRIED = 4
# Far VMs that are asked at once. What they knew is a second old; the one with
# most tokens may have none by now.
FAR_LENDERS_ASKED = 3
# Pause in which a holder that gave no answer is asked last.
UNRESPONSIVE_PAUSE_S = 1.0
# Pause after nobody lent. A workspace far over its quota would otherwise cost
# a round trip for each of its requests.
BORROW_PAUSE_S = 0.25
# Time for which a loan that was waited for in vain is still taken. The lender's
# bucket has been filled again; taken much later it would be there twice.
LATE_LOAN_LIMIT_S = 1.0
# Tokens that a lender keeps for its own callers from one that asks ahead, and
# the most it gives.
LENDER_RESERVE = 1.0
MAX_LOAN = 3.0

Send = Callable[[object, str], object]


@define
class _RequestBatch:
    """Questions that were sent at once.

    Attributes
    ----------
    pending_count : int
        Questions that are not answered yet.
    tokens : float
        What the answers brought.
    done : trio.Event
        Set once one of them brought a token, or all are answered.
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
    """A question that was sent and not answered yet."""

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
    """Asks other VMs for tokens, and lends own ones.

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

    # Of requests that found no token.

    async def borrow(self, workspace: Workspace) -> bool:
        """Add borrowed tokens to this VM's bucket; tell whether there are any."""
        name = workspace.name
        if trio.current_time() < self._next_borrow_at.get(name, 0.0):
            return False
        self._drop_expired()
        for lenders in self._lender_batches(name):
            if await self._request_from_all(lenders, name):
                return True
            if self.quotas.has_token(name):
                # The bucket has been filled meanwhile.
                return False
        self._next_borrow_at[name] = trio.current_time() + BORROW_PAUSE_S
        return False

    def _lender_batches(self, name: str) -> Iterator[list[_Lender]]:
        """Yield whom to ask at once; mostly the first round is the only one."""
        for lender in self._near_lenders(name)[:NEAR_LENDERS_TRIED]:
            yield [lender]
        if not self.quotas.is_exhausted(name):
            far = self._far_lenders(name)[:FAR_LENDERS_ASKED]
            if far:
                yield far

    async def _request_from_all(self, lenders: list[_Lender], name: str) -> bool:
        """Ask some VMs at once; tell whether a token came in time."""
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

    # Ahead of requests.

    async def prefetch(self, workspace: Workspace):
        """Ask for tokens if requests to come may find none; waits for nothing."""
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

    # Whom to ask.

    def _near_lenders(self, name: str) -> list[_Lender]:
        """Return holders in the own region, those with most tokens first."""
        own = self.members.own
        lenders = []
        for member in self.members.near():
            usage = member.heartbeat.usage.get(name) if member.heartbeat else None
            if usage is not None and usage.share > 0 and member.is_alive:
                lenders.append(_Lender(member.ip, own.failure_domain, usage.level))
        lenders += self._lenders_in_domains(name, in_own_region=True)
        lenders = self._by_level(lenders)
        if self.quotas.holders.is_holder(name):
            return lenders
        # This VM holds no part: the same holder of its domain counts its requests.
        first = [
            _Lender(ip, own.failure_domain, 1.0)
            for ip in self.quotas.holders.holder_ips_to_ask(name)
        ]
        ips = {lender.ip for lender in first}
        return self._unresponsive_last(
            [*first, *(one for one in lenders if one.ip not in ips)]
        )

    def _far_lenders(self, name: str) -> list[_Lender]:
        """Return holders in other regions, those with most tokens first."""
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
        """Answer another VM's question."""
        max_tokens = min(request.max_tokens, MAX_LOAN)
        tokens = self.quotas.take_for_loan(
            request.workspace, request.reserved, max_tokens
        )
        await self.send(TokenLoan(request.number, tokens), ip)

    def on_loan(self, loan: TokenLoan):
        """Take in an answer, unless it comes far too late."""
        self._drop_expired()
        request = self._pending.pop(loan.number, None)
        if request is None:
            return
        took_s = trio.current_time() - request.sent_at
        self.round_trips.record(request.lender.failure_domain, took_s)
        tokens = max(0.0, min(MAX_LOAN, loan.tokens))
        self.quotas.add(request.workspace, tokens)
        request.batch.record_answer(tokens)
