"""How many requests this VM may send to a target that is warming up.

Load that it answers: many VMs discover the same cold target in one instant,
each sends a little, and all together crash it. A few VMs, the same on all by
rendezvous hash, divide what it bears; the others leave it alone.
"""

import trio
from attrs import define, field

from .model import Pool
from .registry import TargetState, vms_for_cold_target
from .settings import Bounds

# Used part of the tolerance above a cold target's rate: VMs can disagree for
# a moment which of them may send.
USED_PART = 0.6


@define
class _Trickle:
    rate: float
    level: float = 0.0
    filled_at: float = field(factory=trio.current_time)

    def try_take(self) -> bool:
        now = trio.current_time()
        self.level = min(1.0, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class ColdTargets:
    """Admits requests to cold targets, one by one."""

    def __init__(self, bounds: Bounds, vm: str):
        self.bounds = bounds
        self.vm = vm
        self._trickles: dict[str, _Trickle] = {}

    def admits(self, state: TargetState, pool: Pool, vms: list[str]) -> bool:
        """Tell whether a request may go to a target now, and count it.

        Parameters
        ----------
        state : TargetState
        pool : Pool
        vms : list of str
            Names of the VMs that take callers.
        """
        instance = state.entry.instance
        if not state.is_cold or pool.warmup_per_s <= 0:
            self._trickles.pop(instance, None)
            return True
        tolerance = pool.warmup_per_s * (self.bounds.cold_over - 1.0)
        most = int(USED_PART * (tolerance + self.bounds.cold_slack))
        admitters = vms_for_cold_target(instance, vms, most)
        if self.vm not in admitters:
            return False
        rate = pool.warmup_per_s / len(admitters)
        trickle = self._trickles.get(instance)
        if trickle is None:
            trickle = self._trickles[instance] = _Trickle(rate)
        trickle.rate = rate
        return trickle.try_take()
