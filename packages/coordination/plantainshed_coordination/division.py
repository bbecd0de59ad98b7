"""Dividing a number of units among holders in proportion to their demand."""

from collections.abc import Mapping

EQUAL_SHARE = 0.5


def divide(
    units: int, demands: Mapping[str, float], equal_share: float = EQUAL_SHARE
) -> dict[str, int]:
    """Divide units, a fraction equally and the rest in proportion to demand.

    The parts sum to exactly ``units`` (to 0 without holders). They are rounded by the
    largest remainder method; ties are broken by name, so that the result is
    deterministic.

    Parameters
    ----------
    units : int
    demands : mapping of str to float
        Demand of each holder. Holders without demand also get a part.
    equal_share : float
        Fraction that is divided equally. It prevents the first request on a VM
        without recent demand from being refused until the parts are adjusted.
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
