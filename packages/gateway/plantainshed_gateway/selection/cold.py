"""Rate limits for targets that are warming up.

If many VMs discovered the same cold target at once and each sent it a few requests,
the requests together would crash it. A few VMs, which all VMs determine by the same
rendezvous hash, therefore share the rate that the target can sustain. The other VMs
send it nothing.
"""

from ..model import Pool
from ..settings import Bounds
from .registry import TargetState, vms_for_cold_target
from .token_bucket import TokenBucket

# Fraction of the tolerance above a cold target's rate that is used. The margin covers
# moments when VMs disagree about which of them may send.
SAFETY_FACTOR = 0.6


class ColdTargets:
    """Limits the rate of requests that this VM sends to cold targets."""

    def __init__(self, bounds: Bounds, vm: str):
        self.bounds = bounds
        self.vm = vm
        self._buckets: dict[str, TokenBucket] = {}

    def admits(self, state: TargetState, pool: Pool, vms: list[str]) -> bool:
        """Return whether a request may go to a target now; if so, count it.

        Parameters
        ----------
        state : TargetState
        pool : Pool
        vms : list of str
            Names of the VMs that accept callers' requests.
        """
        instance = state.entry.instance
        if not state.is_cold or pool.warmup_per_s <= 0:
            self._buckets.pop(instance, None)
            return True
        tolerance = pool.warmup_per_s * (self.bounds.cold_over - 1.0)
        max_vms = int(SAFETY_FACTOR * (tolerance + self.bounds.cold_slack))
        permitted_vms = vms_for_cold_target(instance, vms, max_vms)
        if self.vm not in permitted_vms:
            return False
        rate = pool.warmup_per_s / len(permitted_vms)
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = TokenBucket(rate)
        bucket.rate = rate
        return bucket.try_take()
