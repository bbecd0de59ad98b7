"""One VM's part of a token bucket."""

import math

import trio

from .budgets import (
    LOAN_HELD_S,
    LOAN_USABLE_S,
    RATE_UNITS,
    ROUNDING,
    WHOLE_TOKEN,
    BudgetSpec,
    DemandMeter,
    Loan,
    Lowered,
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
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []

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
        self._lent = [loan for loan in self._lent if loan.until > now]
        return sum(loan.amount for loan in self._lent)

    def refill(self):
        """Bring the level up to now."""
        now = trio.current_time()
        grown = self.level + self.spec.rate * self.share * (now - self.updated_at)
        self.level = min(self.capacity, grown)
        self.updated_at = now

    def try_take(self, amount: float = WHOLE_TOKEN, leaving: float = 0.0) -> bool:
        """Take tokens if so many are left then, borrowed ones first."""
        self.refill()
        if self.available() + ROUNDING < amount + leaving:
            return False
        left = amount
        for loan in self._borrowed:
            used = min(left, loan.amount)
            loan.amount -= used
            loan.is_begun |= used > 0
            left -= used
        self.level = max(0.0, self.level - left)
        return True

    def available(self) -> float:
        """Return the tokens at hand, borrowed ones included."""
        now = trio.current_time()
        self._borrowed = [
            loan for loan in self._borrowed if loan.until > now and loan.amount > 0
        ]
        return self.level + sum(loan.amount for loan in self._borrowed)

    def lend(self, amount: float, grant: str = "") -> float:
        """Give away up to so many tokens; return how many.

        The bucket stays smaller by as much until the borrower cannot use them
        any more. Otherwise tokens that this part refills meanwhile would stand
        beside those on their way, and both could be used at once.
        """
        self.refill()
        given = min(amount, self.level)
        if given > 0:
            self.level -= given
            until = trio.current_time() + LOAN_HELD_S
            self._lent.append(Loan(given, until, grant))
        return given

    def take_back(self, grant: str):
        """Have a loan's tokens again, of which the borrower used none.

        One that is over already has made room for a refill, and counts no more.
        """
        self.refill()
        for loan in self._lent:
            if grant and loan.grant == grant:
                self._lent.remove(loan)
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
        until = asked_at + LOAN_USABLE_S
        if amount <= 0 or until <= trio.current_time():
            return False
        self._borrowed.append(Loan(amount, until, grant, lender))
        return True

    def give_up_loans(self) -> list[Loan]:
        """Give up borrowed tokens; return the loans of which none were used."""
        unused = [loan for loan in self._borrowed if not loan.is_begun]
        self._borrowed = [loan for loan in self._borrowed if loan.is_begun]
        return unused

    def seconds_until(self, amount: float = WHOLE_TOKEN) -> float:
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

    def lower_to(self, units: int) -> Lowered:
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
            return Lowered(self.units)
        before = self.level
        self.set_units(units)
        return Lowered(units, before - self.level)

    def restore(self, units: int, level: float):
        """Take back what `lower_to` gave up."""
        self.set_units(units, level)

    def wanted(self) -> float:
        """Return how much this VM's callers ask for."""
        return self.demand.read()
