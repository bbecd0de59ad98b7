"""Checks during a simulation that VMs in touch know the same VMs and share quotas."""

from collections import defaultdict, deque

import trio
from attrs import define, field, frozen

from .limits_faults import Fault
from .limits_model import ModelFleet

CHECK_INTERVAL_S = 0.25
# Time within which VMs that are in touch must know the same VMs.
AGREEMENT_S = 8.0


@frozen
class MembershipProblem:
    """A time at which VMs in touch disagreed.

    Parameters
    ----------
    at : float
        Seconds from the start of the simulation.
    text : str
    """

    at: float
    text: str


@define
class MembershipWatch:
    """Compares the VMs' views of the fleet while nothing disturbs them.

    Parameters
    ----------
    fleet : ModelFleet
    faults : list of Fault
    began_at : float
    """

    fleet: ModelFleet
    faults: list[Fault]
    began_at: float
    problems: list[MembershipProblem] = field(factory=list)
    excesses: dict[str, deque[float]] = field(factory=lambda: defaultdict(deque))

    async def run(self):
        """Check at each interval until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._is_calm():
                self._check_members()
                self._check_shares()
            else:
                self.excesses.clear()

    def _is_calm(self) -> bool:
        now = trio.current_time() - self.began_at
        is_disturbed = any(
            fault.starts_at <= now < fault.ends_at + AGREEMENT_S
            for fault in self.faults
        )
        started = [vm.started_at for vm in self.fleet.running.values()]
        latest = max(started, default=float("inf"))
        return not is_disturbed and trio.current_time() - latest >= AGREEMENT_S

    def _check_members(self):
        vms = list(self.fleet.running.values())
        digests = {vm.members.digest for vm in vms}
        if len(digests) > 1:
            counts = {vm.location.vm: vm.members.count for vm in vms}
            self._note(f"VMs know different fleets: {counts}")
        incomplete = [vm.location.vm for vm in vms if not vm.members.is_listed]
        if incomplete:
            self._note(f"without a complete list: {incomplete}")

    def _check_shares(self):
        """Check that the reserve of the tolerance covers shares that exceed one.

        The excess over one, integrated over a window, may be at most the reserve
        divided by the rate at which all buckets together refill.
        """
        steps = round(self.fleet.bounds.quota_window_s / CHECK_INTERVAL_S)
        for name in self.fleet.workspaces:
            buckets = [
                vm.quotas.buckets[name]
                for vm in self.fleet.running.values()
                if name in vm.quotas.buckets
            ]
            excess = sum(bucket.share for bucket in buckets) - 1.0
            recent = self.excesses[name]
            recent.append(max(0.0, excess) * CHECK_INTERVAL_S)
            if len(recent) > steps:
                recent.popleft()
            allowed_s = min((b.reserve / b.rate for b in buckets), default=0.0)
            if sum(recent) > allowed_s:
                self._note(
                    f"shares of {name} exceed one by {sum(recent):.2f} s in a window,"
                    f" more than {allowed_s:.2f} s"
                )

    def _note(self, text: str):
        at = trio.current_time() - self.began_at
        self.problems.append(MembershipProblem(at, text))
