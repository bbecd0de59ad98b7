"""How many further attempts a VM may make, as a share of its requests.

Without it, targets that fail get twice the load just when they can take least.
"""

from attrs import define

RETRY_SHARE = 0.1
MOST_SAVED = 20.0


@define
class RetryBudget:
    """Earned by requests, spent by further attempts."""

    saved: float = MOST_SAVED

    def earn(self):
        """Count a request."""
        self.saved = min(MOST_SAVED, self.saved + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Spend one further attempt if one is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
