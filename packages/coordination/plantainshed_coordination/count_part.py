"""One VM's part of a number of things that may be in use at a time."""

import trio

from .budgets import BudgetSpec, DemandMeter, LowerResult


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
        self.exclusive_loans: set[str] = set()
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

    def release(self):
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

    def reclaim_loan(self, grant: str):
        """End a loan. It is remembered for a while, as its request may be late."""
        self.lent.pop(grant, None)
        self.exclusive_loans.discard(grant)
        now = trio.current_time()
        self.returned[grant] = now
        for old in [g for g, at in self.returned.items() if now - at > 30.0]:
            del self.returned[old]

    def reclaim_from_ended_runs(self, is_gone):
        """End the loans of runs that are certain to be over."""
        for grant in [g for g, run in self.lent.items() if is_gone(*run)]:
            self.reclaim_loan(grant)

    def set_units(self, units: int, total: int | None = None):
        """Change the part. ``total`` is the whole that it is a part of."""
        self.units = units
        self.total = self.spec.count if total is None else total

    def set_spec(self, spec: BudgetSpec):
        """Take over another count."""
        self.spec = spec

    def lower_to(self, units: int) -> LowerResult:
        """Give up what is asked as far as it is not in use."""
        occupied = self.in_use + len(self.lent)
        self.units = min(self.units, max(units, occupied))
        return LowerResult(self.units)

    def restore(self, units: int, level: float):
        """Take back what `lower_to` gave up."""
        self.units = units

    def estimate_demand(self) -> float:
        """Return how many this VM's callers could use; forgets old peaks."""
        occupied = float(self.in_use + len(self.lent))
        demand = max(self.peak, occupied) + self.denied.read()
        self.peak = max(occupied, self.peak * 0.7)
        return demand
