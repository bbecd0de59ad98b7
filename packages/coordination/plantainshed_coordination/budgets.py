"""A divisible budget: a whole that many VMs use together and never exceed.

Each VM holds a part, counted in units. Two kinds exist. A *rate* budget is a
token bucket of which a VM holds a share; a *count* budget is a number of
things that may be in use at a time. The rules that keep the sum of all parts
within the whole, whatever fails:

- A part falls by its holder's own act, and rises only after the matching fall
  was acknowledged and written to the ledger (`rebalancer`).
- A loan leaves the lender before it is sent. A borrowed token that does not
  arrive in time is lost, never doubled; one that is given back leaves the
  borrower before it is sent.
- A raised part gets no more tokens than the lowered ones gave up, or moving
  parts would mint a burst.
"""

from enum import StrEnum

import trio
from attrs import define, field, frozen

RATE_UNITS = 1_000_000
LOAN_USABLE_S = 0.12
LOAN_HELD_S = 0.13
LOAN_TIMEOUT_S = 0.12
DEMAND_WINDOW_S = 3.0
WHOLE_TOKEN = 1.0
ROUNDING_TOLERANCE = 1e-9


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
        self.per_second += amount / DEMAND_WINDOW_S

    def read(self) -> float:
        """Return the present estimate."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        self.per_second *= max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)
        self.updated_at = now
        return self.per_second


@define
class Loan:
    """Tokens on their way to, or in use at, a borrower.

    Parameters
    ----------
    amount : float
    until : float
    grant : str
        Name of the loan; without one it cannot be given back.
    lender : str
        VM that lent it.
    is_begun : bool
        Whether any of it was used.
    """

    amount: float
    expires_at: float
    grant: str = ""
    lender: str = ""
    is_partly_used: bool = False


@frozen
class LowerResult:
    """What is left of a part after it was lowered.

    Parameters
    ----------
    units : int
    level : float
        Tokens that were given up with the rest.
    """

    units: int
    released_tokens: float = 0.0
