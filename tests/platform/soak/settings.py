"""Sizes, times and limits of a soak."""

from attrs import frozen

# Time limits that the platform's documentation guarantees, in seconds.
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
DRAIN_S = 2.0
GRACE_S = 6.0
ROUTE_TIMEOUT_S = 1.2
# Tolerance added to each of them for a busy machine: the gateways, the callers and the
# test doubles share its cores.
MARGIN_S = 1.0
# How long after the end of a fault a VM counts as disturbed by it.
STABLE_S = 3.0
# Time within which a process becomes ready, even on a busy machine.
START_TIMEOUT_S = 25.0
# Time after the last fault within which callers must be served again.
RECOVERY_S = 15.0
# Length of the window in which quota use is counted, and how far it may exceed the
# quota: by a share, plus a fixed number of requests.
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20


@frozen
class SoakSettings:
    """Settings of one soak.

    Parameters
    ----------
    seed : int
        Seeds the draws of faults, signals, callers and requests.
    duration_s : float
        Period during which faults start, not counting recovery.
    vms : int
    domains : int
    targets : int
    callers : int
        Number of callers, each of which sends one request at a time.
    faults_per_s : float
        Average rate at which faults start.
    """

    seed: int
    duration_s: float
    vms: int = 6
    domains: int = 3
    targets: int = 6
    callers: int = 24
    faults_per_s: float = 0.5
