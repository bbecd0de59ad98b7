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

from .datagrams import TokenAsk, TokenLoan
from .members import Members
from .model import Workspace
from .quota import Quotas
from .round_trips import RoundTrips

# VMs that are asked one after the other: with two, 4 % of a small workspace's
# requests were refused at 78 VMs, with four 0.4 % (played without a network).
NEAR_ASKED = 4
# Far VMs that are asked at once. What they knew is a second old; the one with
# most tokens may have none by now.
FAR_ASKED = 3
# Pause in which a holder that gave no answer is asked last.
SILENT_PAUSE_S = 1.0
# Pause after nobody lent. A workspace far over its quota would otherwise cost
# a round trip for each of its requests.
REFUSED_PAUSE_S = 0.25
# Time for which a loan that was waited for in vain is still taken. The lender's
# bucket has been filled again; taken much later it would be there twice.
LATE_LOAN_S = 1.0
# Tokens that a lender keeps for its own callers from one that asks ahead, and
# the most it gives.
KEPT_TOKENS = 1.0
MOST_LENT = 3.0

Send = Callable[[object, str], object]


@define
class _Round:
    """Questions that were sent at once.

    Attributes
    ----------
    open_count : int
        Questions that are not answered yet.
    tokens : float
        What the answers brought.
    is_over : trio.Event
        Set once one of them brought a token, or all are answered.
    """

    open_count: int = 0
    tokens: float = 0.0
    is_over: trio.Event = field(factory=trio.Event)

    def note_answer(self, tokens: float):
        self.open_count -= 1
        self.tokens += tokens
        if self.tokens >= 1.0 or self.open_count == 0:
            self.is_over.set()


@define
class _Ask:
    """A question that was sent and not answered yet."""

    workspace: str
    lender: "_Lender"
    round: _Round
    asked_at: float = field(factory=trio.current_time)


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
        self._open: dict[int, _Ask] = {}
        self._not_before: dict[str, float] = {}
        self._ahead_not_before: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}

    # Of requests that found no token.

    async def borrow(self, workspace: Workspace) -> bool:
        """Add borrowed tokens to this VM's bucket; tell whether there are any."""
        name = workspace.name
        if trio.current_time() < self._not_before.get(name, 0.0):
            return False
        self._forget_old()
        for lenders in self._rounds(name):
            if await self._ask_all(lenders, name):
                return True
            if self.quotas.has_token(name):
                # The bucket has been filled meanwhile.
                return False
        self._not_before[name] = trio.current_time() + REFUSED_PAUSE_S
        return False

    def _rounds(self, name: str) -> Iterator[list[_Lender]]:
        """Yield whom to ask at once; mostly the first round is the only one."""
        for lender in self._near(name)[:NEAR_ASKED]:
            yield [lender]
        if not self.quotas.is_exhausted(name):
            far = self._far(name)[:FAR_ASKED]
            if far:
                yield far

    async def _ask_all(self, lenders: list[_Lender], name: str) -> bool:
        """Ask some VMs at once; tell whether a token came in time."""
        asked = _Round()
        for lender in lenders:
            await self._ask(lender, name, 1.0, 0.0, asked)
        waits = [self.round_trips.wait_s(lender.failure_domain) for lender in lenders]
        with trio.move_on_after(max(waits)):
            await asked.is_over.wait()
        if not asked.is_over.is_set():
            self._note_silent(asked)
        return asked.tokens > 0

    def _note_silent(self, asked: _Round):
        until = trio.current_time() + SILENT_PAUSE_S
        for ask in self._open.values():
            if ask.round is asked:
                self._silent_until[ask.lender.ip] = until

    # Ahead of requests.

    async def prefetch(self, workspace: Workspace):
        """Ask for tokens if requests to come may find none; waits for nothing."""
        name = workspace.name
        now = trio.current_time()
        if now < self._ahead_not_before.get(name, 0.0):
            return
        if self.quotas.is_exhausted(name):
            return
        most = self.quotas.missing_ahead(name, self.round_trips.longest_s())
        if most < 1.0:
            return
        lenders = [*self._near(name), *self._far(name)]
        able = [lender for lender in lenders if lender.level >= 1.0 + KEPT_TOKENS]
        if not able:
            return
        wait_s = self.round_trips.wait_s(able[0].failure_domain)
        self._ahead_not_before[name] = now + wait_s
        most = min(MOST_LENT, most)
        await self._ask(able[0], name, most, KEPT_TOKENS, _Round())

    # Whom to ask.

    def _near(self, name: str) -> list[_Lender]:
        """Return holders in the own region, those with most tokens first."""
        own = self.members.own
        lenders = []
        for member in self.members.near():
            usage = member.heartbeat.usage.get(name) if member.heartbeat else None
            if usage is not None and usage.share > 0 and member.is_alive:
                lenders.append(_Lender(member.ip, own.failure_domain, usage.level))
        lenders += self._in_domains(name, in_own_region=True)
        lenders = self._ordered(lenders)
        if self.quotas.holders.is_own(name):
            return lenders
        # This VM holds no part: the same holder of its domain counts its requests.
        first = [
            _Lender(ip, own.failure_domain, 1.0)
            for ip in self.quotas.holders.to_ask(name)
        ]
        ips = {lender.ip for lender in first}
        return self._last_if_silent(
            [*first, *(one for one in lenders if one.ip not in ips)]
        )

    def _far(self, name: str) -> list[_Lender]:
        """Return holders in other regions, those with most tokens first."""
        return self._ordered(self._in_domains(name, in_own_region=False))

    def _in_domains(self, name: str, in_own_region: bool) -> list[_Lender]:
        lenders = []
        for failure_domain, domain in self.members.far.items():
            usage = domain.summary.usage.get(name)
            is_in_own_region = domain.summary.region == self.members.own.region
            if usage is None or not usage.lender or not domain.is_fresh:
                continue
            if is_in_own_region == in_own_region:
                lenders.append(_Lender(usage.lender, failure_domain, usage.level))
        return lenders

    def _ordered(self, lenders: list[_Lender]) -> list[_Lender]:
        by_level = sorted(lenders, key=lambda lender: (-lender.level, lender.ip))
        return self._last_if_silent(by_level)

    def _last_if_silent(self, lenders: list[_Lender]) -> list[_Lender]:
        now = trio.current_time()
        return sorted(
            lenders, key=lambda lender: self._silent_until.get(lender.ip, 0.0) > now
        )

    # Messages.

    async def _ask(
        self, lender: _Lender, name: str, most: float, kept: float, asked: _Round
    ):
        number = next(self._numbers)
        self._open[number] = _Ask(name, lender, asked)
        asked.open_count += 1
        message = TokenAsk(self.members.own.vm, number, name, most, kept)
        await self.send(message, lender.ip)

    def _forget_old(self):
        oldest = trio.current_time() - LATE_LOAN_S
        while self._open:
            number, ask = next(iter(self._open.items()))
            if ask.asked_at > oldest:
                return
            del self._open[number]

    async def on_ask(self, ask: TokenAsk, ip: str):
        """Answer another VM's question."""
        most = min(ask.most, MOST_LENT)
        tokens = self.quotas.take_for_loan(ask.workspace, ask.kept, most)
        await self.send(TokenLoan(ask.number, tokens), ip)

    def on_loan(self, loan: TokenLoan):
        """Take in an answer, unless it comes far too late."""
        self._forget_old()
        ask = self._open.pop(loan.number, None)
        if ask is None:
            return
        took_s = trio.current_time() - ask.asked_at
        self.round_trips.record(ask.lender.failure_domain, took_s)
        tokens = max(0.0, min(MOST_LENT, loan.tokens))
        self.quotas.add(ask.workspace, tokens)
        ask.round.note_answer(tokens)
