"""One VM's part of a token bucket."""

import math

import trio

from .budgets import (
    LOAN_HELD_S,
    LOAN_USABLE_S,
    RATE_UNITS,
    ROUNDING_TOLERANCE,
    WHOLE_TOKEN,
    BudgetSpec,
    DemandMeter,
    Loan,
    LowerResult,
)


class RatePart:
    """This VM's part of a token bucket.

    For a share s of a bucket with rate r and burst b, the part is a bucket
    with rate s*r and burst s*b. At any moment the levels of all parts, plus
    what is on loan, are at most the level that one single bucket would have.

    Attributes
    ----------
    spec : BudgetSpec
    units : int
        Share of this VM, of `RATE_UNITS`.
    level : float
        Tokens at hand.
    demand : DemandMeter
    """

    def __init__(self, spec: BudgetSpec):
        self.spec = spec
        self.units = 0
        self.level = 0.0
        self.demand = DemandMeter()
        self.updated_at = trio.current_time()
        self._lent_loans: list[Loan] = []
        self._borrowed_loans: list[Loan] = []

    @property
    def share(self) -> float:
        """This VM's share, from 0 to 1."""
        return self.units / RATE_UNITS

    @property
    def capacity(self) -> float:
        """Most tokens that may be at hand; what is on loan counts as used."""
        return max(0.0, self.spec.burst * self.share - self._lent_amount())

    def _lent_amount(self) -> float:
        now = trio.current_time()
        self._lent_loans = [loan for loan in self._lent_loans if loan.expires_at > now]
        return sum(loan.amount for loan in self._lent_loans)

    def refill(self):
        """Bring the level up to now."""
        now = trio.current_time()
        refilled = self.level + self.spec.rate * self.share * (now - self.updated_at)
        self.level = min(self.capacity, refilled)
        self.updated_at = now

    def try_take(self, amount: float = WHOLE_TOKEN, reserve: float = 0.0) -> bool:
        """Take tokens if so many are left then, borrowed ones first."""
        self.refill()
        if self.available() + ROUNDING_TOLERANCE < amount + reserve:
            return False
        remaining = amount
        for loan in self._borrowed_loans:
            used = min(remaining, loan.amount)
            loan.amount -= used
            loan.is_partly_used |= used > 0
            remaining -= used
        self.level = max(0.0, self.level - remaining)
        return True

    def available(self) -> float:
        """Return the tokens at hand, borrowed ones included."""
        now = trio.current_time()
        self._borrowed_loans = [
            loan
            for loan in self._borrowed_loans
            if loan.expires_at > now and loan.amount > 0
        ]
        return self.level + sum(loan.amount for loan in self._borrowed_loans)

    def lend(self, amount: float, grant: str = "") -> float:
        """Give away up to so many tokens; return how many.

        The bucket stays smaller by as much until the borrower cannot use them
        any more. Otherwise tokens that this part refills meanwhile would stand
        beside those on their way, and both could be used at once.
        """
        self.refill()
        lent = min(amount, self.level)
        if lent > 0:
            self.level -= lent
            expires_at = trio.current_time() + LOAN_HELD_S
            self._lent_loans.append(Loan(lent, expires_at, grant))
        return lent

    def reclaim_loan(self, grant: str):
        """Have a loan's tokens again, of which the borrower used none.

        One that is over already has made room for a refill, and counts no more.
        """
        self.refill()
        for loan in self._lent_loans:
            if grant and loan.grant == grant:
                self._lent_loans.remove(loan)
                self.level = min(self.capacity, self.level + loan.amount)
                return

    def receive_loan(
        self, amount: float, asked_at: float, grant: str = "", lender: str = ""
    ) -> bool:
        """Take in borrowed tokens; tell whether any of them can still be used.

        They are usable for a short while only, which begins before they were
        asked for. A loan that comes late, or to a process that was paused
        meanwhile, is worth nothing.
        """
        expires_at = asked_at + LOAN_USABLE_S
        if amount <= 0 or expires_at <= trio.current_time():
            return False
        self._borrowed_loans.append(Loan(amount, expires_at, grant, lender))
        return True

    def drop_unused_loans(self) -> list[Loan]:
        """Give up borrowed tokens; return the loans of which none were used."""
        unused = [loan for loan in self._borrowed_loans if not loan.is_partly_used]
        self._borrowed_loans = [
            loan for loan in self._borrowed_loans if loan.is_partly_used
        ]
        return unused

    def seconds_until_available(self, amount: float = WHOLE_TOKEN) -> float:
        """Return how long this part alone needs to have so many tokens."""
        self.refill()
        missing = amount - self.available()
        if missing <= 0:
            return 0.0
        if self.capacity < amount or self.units == 0 or self.spec.rate <= 0:
            return math.inf
        return missing / (self.spec.rate * self.share)

    def set_units(self, units: int, level: float = 0.0):
        """Change the part, and add the tokens that come with it."""
        self.refill()
        self.units = units
        self.level = min(self.capacity, self.level + level)

    def set_spec(self, spec: BudgetSpec):
        """Take over another rate and burst; the share stays."""
        self.refill()
        self.spec = spec
        self.level = min(self.level, self.capacity)

    def lower_to(self, units: int) -> LowerResult:
        """Give up part of the share, and what the smaller bucket cannot hold.

        What is on loan stays within this part until the loan is over. Given
        up earlier, it would stand in the ledger as another VM's and still be
        used by the borrower.
        """
        self.refill()
        lent = self._lent_amount()
        if lent:
            units = max(units, math.ceil(lent / self.spec.burst * RATE_UNITS))
        if units >= self.units:
            return LowerResult(self.units)
        before = self.level
        self.set_units(units)
        return LowerResult(units, before - self.level)

    def restore(self, units: int, level: float):
        """Take back what `lower_to` gave up."""
        self.set_units(units, level)

    def estimate_demand(self) -> float:
        """Return how much this VM's callers ask for."""
        return self.demand.read()
