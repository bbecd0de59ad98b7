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

    For a share s of a bucket with rate r and burst b, the part is a bucket with rate
    s*r and burst s*b. At any time, the levels of all parts plus the tokens on loan
    sum to at most the level of a single bucket for the whole budget.

    Attributes
    ----------
    spec : BudgetSpec
    units : int
        Size of this part. The whole budget has `RATE_UNITS` units.
    level : float
        Available tokens, borrowed ones excluded.
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
        """Fraction of the budget that this part is, from 0 to 1."""
        return self.units / RATE_UNITS

    @property
    def capacity(self) -> float:
        """Maximum level; tokens on loan reduce it."""
        return max(0.0, self.spec.burst * self.share - self._lent_amount())

    def _lent_amount(self) -> float:
        now = trio.current_time()
        self._lent_loans = [loan for loan in self._lent_loans if loan.expires_at > now]
        return sum(loan.amount for loan in self._lent_loans)

    def refill(self):
        """Add the tokens that have accrued since the last update."""
        now = trio.current_time()
        refilled = self.level + self.spec.rate * self.share * (now - self.updated_at)
        self.level = min(self.capacity, refilled)
        self.updated_at = now

    def try_take(self, amount: float = WHOLE_TOKEN, reserve: float = 0.0) -> bool:
        """Take tokens, borrowed ones first, if at least ``reserve`` remain."""
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
        """Return the number of available tokens, borrowed ones included."""
        now = trio.current_time()
        self._borrowed_loans = [
            loan
            for loan in self._borrowed_loans
            if loan.expires_at > now and loan.amount > 0
        ]
        return self.level + sum(loan.amount for loan in self._borrowed_loans)

    def lend(self, amount: float, grant: str = "") -> float:
        """Lend up to ``amount`` tokens; return the number lent.

        The capacity is reduced by the same amount until the borrower can no longer
        use the tokens. Otherwise this part could refill them meanwhile, and both the
        lent and the refilled tokens could be used at once.
        """
        self.refill()
        lent = min(amount, self.level)
        if lent > 0:
            self.level -= lent
            expires_at = trio.current_time() + LOAN_HELD_S
            self._lent_loans.append(Loan(lent, expires_at, grant))
        return lent

    def reclaim_loan(self, grant: str):
        """Take back the tokens of a loan that the borrower did not use.

        A loan that has expired is ignored, as its tokens may have been refilled.
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
        """Add borrowed tokens; return whether they can still be used.

        Borrowed tokens expire a short time after ``asked_at``, the time at which they
        were requested. A loan that arrives late, or after the process was paused, is
        worthless.
        """
        expires_at = asked_at + LOAN_USABLE_S
        if amount <= 0 or expires_at <= trio.current_time():
            return False
        self._borrowed_loans.append(Loan(amount, expires_at, grant, lender))
        return True

    def drop_unused_loans(self) -> list[Loan]:
        """Remove and return the loans of which no tokens were used."""
        unused = [loan for loan in self._borrowed_loans if not loan.is_partly_used]
        self._borrowed_loans = [
            loan for loan in self._borrowed_loans if loan.is_partly_used
        ]
        return unused

    def seconds_until_available(self, amount: float = WHOLE_TOKEN) -> float:
        """Return the time until refills alone provide ``amount`` available tokens."""
        self.refill()
        missing = amount - self.available()
        if missing <= 0:
            return 0.0
        if self.capacity < amount or self.units == 0 or self.spec.rate <= 0:
            return math.inf
        return missing / (self.spec.rate * self.share)

    def set_units(self, units: int, level: float = 0.0):
        """Change the size of the part and add ``level`` tokens."""
        self.refill()
        self.units = units
        self.level = min(self.capacity, self.level + level)

    def set_spec(self, spec: BudgetSpec):
        """Change the rate and burst; the part keeps its units."""
        self.refill()
        self.spec = spec
        self.level = min(self.level, self.capacity)

    def lower_to(self, units: int) -> LowerResult:
        """Lower the part and release the tokens above the new capacity.

        The units that cover tokens on loan are kept until the loan expires. If they
        were given up earlier, the ledger could assign them to another VM while the
        borrower still uses the tokens.
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
        """Undo `lower_to`: set the units back and add the released tokens."""
        self.set_units(units, level)

    def estimate_demand(self) -> float:
        """Return this VM's recent demand, in tokens per second."""
        return self.demand.read()
