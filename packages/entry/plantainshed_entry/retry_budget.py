"""Retry budget: limits the retries of a VM to a fraction of its requests.

Without this limit, retries would double the load on failing targets just when they can
handle the least.
"""

from attrs import define

RETRY_SHARE = 0.1
MAX_TOKENS = 20.0


@define
class RetryBudget:
    """Token bucket that requests fill and retries empty."""

    tokens: float = MAX_TOKENS

    def deposit(self):
        """Add the tokens for one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
