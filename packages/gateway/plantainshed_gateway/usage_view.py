"""Sums of quota usage over the VMs that this VM knows."""

from attrs import frozen

from .heartbeats import UsageSummary
from .members import FarDomain, Member, Members


def view_usage(members: Members, moment: float) -> "UsageView":
    """Return the current quota usage of all other VMs and their past demand."""
    own_domain = [m for m in members.in_own_domain() if m.heartbeat is not None]
    return UsageView(own_domain, list(members.far.values()), moment)


@frozen
class UsageTotals:
    """Usage of one workspace's quota by all other VMs.

    Parameters
    ----------
    demand, share : float
        Sums over the VMs that are alive.
    past_demand : float
        The sum of demand at the time for which the `UsageView` is computed.
    silent_share : float
        Shares of silent VMs. They may be alive behind a partition and still use them.
    """

    demand: float
    past_demand: float
    share: float
    silent_share: float


class UsageView:
    """Quota usage of all other VMs, by workspace.

    Parameters
    ----------
    own_domain : list of Member
        Other VMs of the own failure domain.
    far : list of FarDomain
        Other failure domains.
    moment : float
        Time for which `UsageTotals.past_demand` is computed.
    """

    def __init__(self, own_domain: list[Member], far: list[FarDomain], moment: float):
        self.own_domain = UsageSums(own_domain)
        self.far = [(domain.is_fresh, domain.summary.usage) for domain in far]
        alive = [m for m in own_domain if m.is_alive]
        self.own_domain_past_demand = {
            m.heartbeat.vm: m.demand_history.at(moment) for m in alive
        }
        far_past_demand = [d.demand_history.at(moment) for d in far if d.is_fresh]
        self.past_demands = [*self.own_domain_past_demand.values(), *far_past_demand]

    def of(self, workspace: str) -> UsageTotals:
        """Return the totals of one workspace."""
        own = self.own_domain.of(workspace)
        demand, share, silent_share = own.demand, own.share, own.silent_share
        for is_fresh, usages in self.far:
            usage = usages.get(workspace)
            if usage is None:
                continue
            silent_share += usage.silent_share
            if is_fresh:
                demand += usage.demand
                share += usage.share
            else:
                silent_share += usage.share
        past_demand = sum(past.of(workspace) for past in self.past_demands)
        return UsageTotals(demand, past_demand, share, silent_share)


class UsageSums:
    """Sums of quota usage over VMs of one failure domain, by workspace.

    A sum is only computed when it is read: most VMs need those of the few workspaces
    whose quotas they hold.

    Parameters
    ----------
    members : list of Member
        VMs that have sent a heartbeat.
    """

    def __init__(self, members: list[Member]):
        self.members = [(member, member.is_alive) for member in members]

    def workspaces(self) -> set[str]:
        """Return the workspaces that any of the VMs reports."""
        return {name for member, _ in self.members for name in member.heartbeat.usage}

    def of(self, workspace: str) -> UsageSummary:
        """Return the usage of one workspace's quota."""
        demand = share = silent_share = level = 0.0
        lender = ""
        for member, is_alive in self.members:
            usage = member.heartbeat.usage.get(workspace)
            if usage is None:
                continue
            if not is_alive:
                silent_share += usage.share
                continue
            demand += usage.demand
            share += usage.share
            if usage.level > level:
                level, lender = usage.level, member.ip
        return UsageSummary(demand, share, silent_share, level, lender)
