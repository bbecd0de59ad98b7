"""Dividing a number of units among holders by what they want."""

from collections.abc import Mapping

EQUAL_SHARE = 0.5


def divide(
    units: int, demands: Mapping[str, float], equal_share: float = EQUAL_SHARE
) -> dict[str, int]:
    """Divide units: a small part equally, the rest by what is wanted.

    The parts sum to exactly ``units`` (to 0 without holders), by the method of
    largest remainders; ties go by name, so that the result is the same for the
    same input.

    Parameters
    ----------
    units : int
    wanted : mapping of str to float
        What each holder could use; nobody is left out for wanting nothing.
    equal_share : float
        Fraction that is divided equally, so that a first request on a VM that
        had none is not refused while the division catches up.
    """
    if not demands:
        return {}
    total = sum(demands.values())
    if total <= 0:
        equal_share = 1.0
    exact_shares = {}
    for name, amount in demands.items():
        by_demand = amount / total if total > 0 else 0.0
        share = equal_share / len(demands) + (1 - equal_share) * by_demand
        exact_shares[name] = units * share
    parts = {name: int(amount) for name, amount in exact_shares.items()}
    remainders = sorted(
        exact_shares, key=lambda name: (parts[name] - exact_shares[name], name)
    )
    for name in remainders[: units - sum(parts.values())]:
        parts[name] += 1
    return parts
