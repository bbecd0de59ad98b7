"""Sizes, times and bounds of a soak."""

from attrs import frozen

# Times that the platform's pages promise to, in seconds.
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
DRAIN_S = 2.0
GRACE_S = 6.0
ROUTE_TIMEOUT_S = 1.2
# What a busy machine adds to each of them: processes of the soak, its callers
# and its stand-ins share the cores.
MARGIN_S = 1.0
# After a fault ends, a VM counts as in touch again when this has passed.
STABLE_S = 3.0
# A process is ready within this, also on a busy machine.
START_TIMEOUT_S = 25.0
# After the last fault callers must be served again.
RECOVERY_S = 15.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20


@frozen
class SoakSettings:
    """One soak.

    Parameters
    ----------
    seed : int
        Draws faults, callers and requests.
    duration_s : float
        Time in which faults begin; settling comes on top.
    vms : int
    domains : int
    targets : int
    callers : int
        Callers that each send one request after the other.
    faults_per_s : float
    """

    seed: int
    duration_s: float
    vms: int = 6
    domains: int = 3
    targets: int = 6
    callers: int = 24
    faults_per_s: float = 0.5
