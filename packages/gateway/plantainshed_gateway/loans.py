"""Borrowing tokens of a workspace's quota from another VM.

Load that it answers: a small workspace's requests clump on one VM while the
tokens of its quota lie at others. A VM that holds no part of a quota borrows
each token from a holder of its failure domain; one that does borrows a few when
it has run out. The lender takes tokens from its bucket
before it answers, so a lost message loses tokens and never makes any.
"""

import itertools
from collections.abc import Callable

import trio

from .datagrams import TokenAsk, TokenLoan
from .members import Members
from .model import Workspace
from .quota import Quotas

# Longest wait for a loan: a round trip between regions takes 24 ms.
LOAN_TIMEOUT_S = 0.06
# VMs that are asked one after the other: with two, 4 % of a small workspace's
# requests were refused at 78 VMs, with four 0.4 % (played without a network).
LENDERS_ASKED = 4
# Pause in which a holder that gave no answer is asked last.
SILENT_PAUSE_S = 1.0
# Pause after nobody lent. A workspace far over its quota would otherwise cost
# a round trip for each of its requests.
REFUSED_PAUSE_S = 0.25
# Tokens that a lender keeps for its own callers, and the most it gives.
KEPT_TOKENS = 1.0
MOST_LENT = 3.0

Send = Callable[[object, str], object]


class Loans:
    """Asks other VMs for tokens, and lends own ones.

    Parameters
    ----------
    quotas : Quotas
    members : Members
    send : callable
        Sends a message to an IP address.
    """

    def __init__(self, quotas: Quotas, members: Members, send: Send):
        self.quotas = quotas
        self.members = members
        self.send = send
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[trio.Event, list[float]]] = {}
        self._not_before: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}

    async def borrow(self, workspace: Workspace) -> bool:
        """Add borrowed tokens to this VM's bucket; tell whether there are any."""
        name = workspace.name
        if trio.current_time() < self._not_before.get(name, 0.0):
            return False
        is_holder = self.quotas.holders.is_own(name)
        most = MOST_LENT if is_holder else 1.0
        for ip in self._lenders(name):
            tokens = await self._ask(ip, name, most)
            if tokens > 0:
                self.quotas.add(name, tokens)
                return True
        self._not_before[name] = trio.current_time() + REFUSED_PAUSE_S
        return False

    def _lenders(self, name: str) -> list[str]:
        """Return where to ask: near VMs first, then those with most tokens."""
        own_region = self.members.own.region
        holders = []
        for member in self.members.near():
            use = member.heartbeat.use.get(name) if member.heartbeat else None
            if use is not None and member.is_alive:
                holders.append((False, -use.level, member.ip))
        for domain in self.members.far.values():
            use = domain.news.use.get(name)
            if use is not None and domain.is_fresh:
                is_far = domain.news.region != own_region
                holders.append((is_far, -use.level, use.lender))
        is_holder = self.quotas.holders.is_own(name)
        least = 1.0 + (KEPT_TOKENS if is_holder else 0.0)
        able = [ip for _, level, ip in sorted(holders) if -level >= least]
        if not is_holder:
            first = self.quotas.holders.to_ask(name)
            able = [*first, *(ip for ip in able if ip not in first)]
        now = trio.current_time()
        able.sort(key=lambda ip: self._silent_until.get(ip, 0.0) > now)
        return able[:LENDERS_ASKED]

    async def _ask(self, ip: str, name: str, most: float) -> float:
        number = next(self._numbers)
        answered, tokens = trio.Event(), []
        self._waiting[number] = answered, tokens
        try:
            ask = TokenAsk(self.members.own.vm, number, name, most)
            await self.send(ask, ip)
            with trio.move_on_after(LOAN_TIMEOUT_S) as scope:
                await answered.wait()
            if scope.cancelled_caught:
                self._silent_until[ip] = trio.current_time() + SILENT_PAUSE_S
        finally:
            del self._waiting[number]
        return sum(tokens)

    async def on_ask(self, ask: TokenAsk, ip: str):
        """Answer another VM's question."""
        # A VM that asks for one holds no part itself: its callers are served
        # like this VM's own.
        kept = KEPT_TOKENS if ask.most > 1.0 else 0.0
        most = min(ask.most, MOST_LENT)
        tokens = self.quotas.take_for_loan(ask.workspace, kept, most)
        await self.send(TokenLoan(ask.number, tokens), ip)

    def on_loan(self, loan: TokenLoan):
        """Take in an answer; one that comes too late is worth nothing."""
        if loan.number in self._waiting:
            answered, tokens = self._waiting[loan.number]
            tokens.append(max(0.0, min(MOST_LENT, loan.tokens)))
            answered.set()
