"""A divisible budget: a whole that many VMs use together and never exceed.

Each VM holds a part, counted in units. Two kinds exist. A *rate* budget is a
token bucket of which a VM holds a share; a *count* budget is a number of
things that may be in use at a time. The rules that keep the sum of all parts
within the whole, whatever fails:

- A part falls by its holder's own act, and rises only after the matching fall
  was acknowledged and written to the ledger (`rebalancer`).
- A loan leaves the lender before it is sent. A borrowed token that does not
  arrive in time is lost, never doubled.
- A raised part gets no more tokens than the lowered ones gave up, or moving
  parts would mint a burst.
"""

import math
from enum import StrEnum

import trio
from attrs import define, field, frozen

RATE_UNITS = 1_000_000
LOAN_USABLE_S = 0.12
LOAN_HELD_S = 0.13
DEMAND_MEMORY_S = 3.0
WHOLE_TOKEN = 1.0
ROUNDING = 1e-9


class BudgetKind(StrEnum):
    """How a budget is used up."""

    RATE = "rate"
    COUNT = "count"


@frozen
class BudgetSpec:
    """A budget as the document in force describes it.

    Parameters
    ----------
    name : str
    kind : BudgetKind
    rate, burst : float
        Of a rate budget: tokens a second and at most at once.
    count : int
        Of a count budget.
    failure_domain : str
        Domain whose VMs hold the parts; empty for all VMs.
    """

    name: str
    kind: BudgetKind
    rate: float = 0.0
    burst: float = 0.0
    count: int = 0
    failure_domain: str = ""

    @property
    def units(self) -> int:
        """Number of units that the ledger divides."""
        return RATE_UNITS if self.kind is BudgetKind.RATE else self.count


@define
class DemandMeter:
    """How much was asked for lately, in tokens a second."""

    per_second: float = 0.0
    updated_at: float = field(factory=trio.current_time)

    def add(self, amount: float):
        """Count something that was asked for."""
        self.read()
        self.per_second += amount / DEMAND_MEMORY_S

    def read(self) -> float:
        """Return the present estimate."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        self.per_second *= max(0.0, 1.0 - elapsed / DEMAND_MEMORY_S)
        self.updated_at = now
        return self.per_second


@define
class Loan:
    """Tokens on their way to, or in use at, a borrower."""

    amount: float
    until: float


@frozen
class Lowered:
    """What is left of a part after it was lowered.

    Parameters
    ----------
    units : int
    level : float
        Tokens that were given up with the rest.
    """

    units: int
    level: float = 0.0


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

    def try_take(self, amount: float = WHOLE_TOKEN) -> bool:
        """Take tokens if there are enough, borrowed ones first."""
        self.refill()
        if self.available() + ROUNDING < amount:
            return False
        left = amount
        for loan in self._borrowed:
            used = min(left, loan.amount)
            loan.amount -= used
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

    def lend(self, amount: float) -> float:
        """Give away up to so many tokens; return how many.

        The bucket stays smaller by as much until the borrower cannot use them
        any more. Otherwise tokens that this part refills meanwhile would stand
        beside those on their way, and both could be used at once.
        """
        self.refill()
        given = min(amount, self.level)
        if given > 0:
            self.level -= given
            self._lent.append(Loan(given, trio.current_time() + LOAN_HELD_S))
        return given

    def receive_loan(self, amount: float, asked_at: float):
        """Take in borrowed tokens; usable for a short while only.

        The time runs from before they were asked for. A loan that comes late,
        or to a process that was paused meanwhile, is worth nothing.
        """
        until = asked_at + LOAN_USABLE_S
        if amount > 0 and until > trio.current_time():
            self._borrowed.append(Loan(amount, until))

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


class CountPart:
    """This VM's part of a number of things that may be in use at a time.

    Attributes
    ----------
    spec : BudgetSpec
    units : int
        How many this VM may have in use or on loan.
    in_use : int
    lent : dict of str to tuple of (str, int)
        Loans by grant: the borrower's run, as VM and incarnation.
    lent_alone : set of str
        Grants for requests that must not meet another such request.
    """

    def __init__(self, spec: BudgetSpec):
        self.spec = spec
        self.units = 0
        self.total = spec.count
        self.in_use = 0
        self.lent: dict[str, tuple[str, int]] = {}
        self.lent_alone: set[str] = set()
        self.returned: dict[str, float] = {}
        self.peak = 0.0
        self.denied = DemandMeter()

    @property
    def usable(self) -> int:
        """How many may be in use now.

        When the document lowers the count, each holder scales its own part
        down at once; parts rounded down still sum to no more than the whole.
        """
        if self.total <= self.spec.count:
            return self.units
        return self.units * self.spec.count // self.total

    @property
    def free(self) -> int:
        """How many are left."""
        return self.usable - self.in_use - len(self.lent)

    def try_take(self) -> bool:
        """Take one if one is left."""
        if self.free <= 0:
            self.denied.add(1)
            return False
        self.in_use += 1
        self.peak = max(self.peak, float(self.in_use + len(self.lent)))
        return True

    def give_back(self):
        """Return one that was taken."""
        self.in_use -= 1

    def lend(self, grant: str, borrower: tuple[str, int]) -> bool:
        """Lend one; a repeat of the same grant lends no second one."""
        if grant in self.lent:
            return True
        if grant in self.returned or self.free <= 0:
            return False
        self.lent[grant] = borrower
        self.peak = max(self.peak, float(self.in_use + len(self.lent)))
        return True

    def take_back(self, grant: str):
        """End a loan. It is remembered for a while, as its request may be late."""
        self.lent.pop(grant, None)
        self.lent_alone.discard(grant)
        now = trio.current_time()
        self.returned[grant] = now
        for old in [g for g, at in self.returned.items() if now - at > 30.0]:
            del self.returned[old]

    def take_back_from_gone(self, is_gone):
        """End the loans of runs that are certain to be over."""
        for grant in [g for g, run in self.lent.items() if is_gone(*run)]:
            self.take_back(grant)

    def set_units(self, units: int, total: int | None = None):
        """Change the part. ``total`` is the whole that it is a part of."""
        self.units = units
        self.total = self.spec.count if total is None else total

    def set_spec(self, spec: BudgetSpec):
        """Take over another count."""
        self.spec = spec

    def lower_to(self, units: int) -> Lowered:
        """Give up what is asked as far as it is not in use."""
        busy = self.in_use + len(self.lent)
        self.units = min(self.units, max(units, busy))
        return Lowered(self.units)

    def restore(self, units: int, level: float):
        """Take back what `lower_to` gave up."""
        self.units = units

    def wanted(self) -> float:
        """Return how many this VM's callers could use; forgets old peaks."""
        busy = float(self.in_use + len(self.lent))
        wanted = max(self.peak, busy) + self.denied.read()
        self.peak = max(busy, self.peak * 0.7)
        return wanted


PART_OF_KIND = {BudgetKind.RATE: RatePart, BudgetKind.COUNT: CountPart}
