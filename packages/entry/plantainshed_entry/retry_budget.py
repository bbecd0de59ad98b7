"""How many further attempts a VM may make, as a share of its requests.

Without it, targets that fail get twice the load just when they can take least.
"""

from attrs import define

RETRY_SHARE = 0.1
MAX_TOKENS = 20.0


@define
class RetryBudget:
    """Earned by requests, spent by further attempts."""

    tokens: float = MAX_TOKENS

    def deposit(self):
        """Count a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Spend one further attempt if one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
