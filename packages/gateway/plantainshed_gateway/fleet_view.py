"""Reports which VMs this VM knows, and whether the others know the same."""

from attrs import define, field

from .context import Context
from .members import Members
from .quota import Quotas

# Sum of shares above which a workspace's quota may be exceeded. Rounding of announced
# shares, and shares that move between VMs, exceed one by less.
SHARE_SUM_LIMIT = 1.05


@define
class FleetView:
    """Logs changes of the set of known VMs and keeps its metrics up to date.

    Attributes
    ----------
    reported_digest : int
    exceeded, measured : frozenset of str
        Workspaces whose shares summed to more than `SHARE_SUM_LIMIT` when that was last
        logged, and when the metrics were last read.
    """

    members: Members
    quotas: Quotas
    context: Context
    reported_digest: int = field(init=False)
    exceeded: frozenset[str] = frozenset()
    measured: frozenset[str] = frozenset()

    def __attrs_post_init__(self):
        self.reported_digest = self.members.digest

    def report(self):
        """Log changes since the last call."""
        members = self.members
        if members.digest != self.reported_digest:
            self.reported_digest = members.digest
            self.context.log.event(
                "known vms changed",
                known=members.count,
                digest=f"{members.digest:x}",
                is_complete=members.is_listed,
            )
        sums = self._exceeding_sums()
        for name in sums.keys() - self.exceeded:
            self.context.log.event(
                "shares exceed quota", workspace=name, share_sum=round(sums[name], 3)
            )
        self.exceeded = frozenset(sums)

    def measure(self):
        """Update the metrics."""
        members, metrics = self.members, self.context.metrics
        metrics.vms.set({"what": "known"}, members.count)
        metrics.vms.set({"what": "alive"}, len(members.alive()))
        metrics.vms.set({"what": "differing"}, len(members.differing()))
        sums = self._exceeding_sums()
        for name in self.measured - sums.keys():
            metrics.share_sum.set({"workspace": name}, 1.0)
        for name, share_sum in sums.items():
            metrics.share_sum.set({"workspace": name}, share_sum)
        self.measured = frozenset(sums)

    def _exceeding_sums(self) -> dict[str, float]:
        return {
            name: bucket.share_sum
            for name, bucket in self.quotas.buckets.items()
            if bucket.share_sum > SHARE_SUM_LIMIT
        }
