"""One VM's part of a count budget, which limits the slots in use at a time."""

import trio

from .budgets import BudgetSpec, DemandMeter, LowerResult


class CountPart:
    """This VM's part of a count budget, which limits the slots in use at a time.

    Attributes
    ----------
    spec : BudgetSpec
    units : int
        Number of slots that this VM may use or lend.
    in_use : int
    lent : dict of str to tuple of (str, int)
        Borrower of each loan, as VM and incarnation, by the id of the loan (grant).
    exclusive_loans : set of str
        Ids of the loans for requests suspected of crashing targets. A target must not
        run two such requests at the same time.
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
        """Number of slots that may be in use now.

        When the document lowers the count, each holder immediately scales its own
        part down. As the parts are rounded down, they sum to at most the new count.
        """
        if self.total <= self.spec.count:
            return self.units
        return self.units * self.spec.count // self.total

    @property
    def free(self) -> int:
        """Number of slots that are neither in use nor on loan."""
        return self.usable - self.in_use - len(self.lent)

    def try_take(self) -> bool:
        """Take a slot if one is free."""
        if self.free <= 0:
            self.denied.add(1)
            return False
        self.in_use += 1
        self.peak = max(self.peak, float(self.in_use + len(self.lent)))
        return True

    def release(self):
        """Release a slot that was taken."""
        self.in_use -= 1

    def lend(self, grant: str, borrower: tuple[str, int]) -> bool:
        """Lend a slot; a repeated request for the same loan lends no second one."""
        if grant in self.lent:
            return True
        if grant in self.returned or self.free <= 0:
            return False
        self.lent[grant] = borrower
        self.peak = max(self.peak, float(self.in_use + len(self.lent)))
        return True

    def reclaim_loan(self, grant: str):
        """End a loan and remember its id.

        A delayed copy of the loan request could otherwise start the loan again.
        """
        self.lent.pop(grant, None)
        self.exclusive_loans.discard(grant)
        now = trio.current_time()
        self.returned[grant] = now
        for old in [g for g, at in self.returned.items() if now - at > 30.0]:
            del self.returned[old]

    def reclaim_from_ended_runs(self, is_gone):
        """End the loans to VM runs that have certainly ended."""
        for grant in [g for g, run in self.lent.items() if is_gone(*run)]:
            self.reclaim_loan(grant)

    def set_units(self, units: int, total: int | None = None):
        """Change the part. ``total`` is the count that was divided."""
        self.units = units
        self.total = self.spec.count if total is None else total

    def set_spec(self, spec: BudgetSpec):
        """Change the count of the budget."""
        self.spec = spec

    def lower_to(self, units: int) -> LowerResult:
        """Lower the part to ``units``, but not below the slots in use or on loan."""
        occupied = self.in_use + len(self.lent)
        self.units = min(self.units, max(units, occupied))
        return LowerResult(self.units)

    def restore(self, units: int, level: float):
        """Undo `lower_to`. ``level`` is ignored, as slots are not tokens."""
        self.units = units

    def estimate_demand(self) -> float:
        """Return the number of slots that this VM needs, and decay the peak."""
        occupied = float(self.in_use + len(self.lent))
        demand = max(self.peak, occupied) + self.denied.read()
        self.peak = max(occupied, self.peak * 0.7)
        return demand
