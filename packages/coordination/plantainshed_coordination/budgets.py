"""Budgets that many VMs share and never exceed together.

Each VM holds a part of a budget, counted in units. There are two kinds of budgets: a
*rate* budget is a token bucket, divided into `RATE_UNITS` units; a *count* budget
limits the number of slots in use at a time, and each slot is one unit. The following
rules ensure that the sum of all parts never exceeds the budget, whatever fails:

- A part can be lowered only by its holder. A part is raised only after the matching
  reduction was acknowledged and written to the ledger (`rebalancer`).
- A lender subtracts a loan before sending it. A borrowed token that does not arrive in
  time is lost, never duplicated. A borrower removes a token before returning it.
- A raised part gets no more tokens than the lowered parts released. Otherwise moving
  parts would create extra burst.
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
    """Whether a budget limits a rate or a number of slots in use."""

    RATE = "rate"
    COUNT = "count"


@frozen
class BudgetSpec:
    """A budget as defined by the document in force.

    Parameters
    ----------
    name : str
    kind : BudgetKind
    rate, burst : float
        Tokens per second and bucket size of a rate budget.
    count : int
        Number of slots of a count budget.
    failure_domain : str
        Failure domain whose VMs hold the parts; empty for all VMs.
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
    """Estimates the recent demand, in tokens per second."""

    per_second: float = 0.0
    updated_at: float = field(factory=trio.current_time)

    def add(self, amount: float):
        """Record a demand of ``amount`` tokens."""
        self.read()
        self.per_second += amount / DEMAND_WINDOW_S

    def read(self) -> float:
        """Return the current estimate."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        self.per_second *= max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)
        self.updated_at = now
        return self.per_second


@define
class Loan:
    """Tokens that are on loan, as recorded by the lender or the borrower.

    Parameters
    ----------
    amount : float
    expires_at : float
    grant : str
        Id of the loan; a loan without an id cannot be returned.
    lender : str
        VM that lent the tokens.
    is_partly_used : bool
        Whether any of the tokens were used.
    """

    amount: float
    expires_at: float
    grant: str = ""
    lender: str = ""
    is_partly_used: bool = False


@frozen
class LowerResult:
    """Result of lowering a part.

    Parameters
    ----------
    units : int
        Units that the holder keeps.
    released_tokens : float
        Tokens that the holder gave up.
    """

    units: int
    released_tokens: float = 0.0
