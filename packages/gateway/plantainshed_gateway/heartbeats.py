"""What VMs tell each other about themselves and their failure domains.

Inside a failure domain each VM hears each other one in full. Between domains
pass only summaries, so that what a VM sends and takes in follows the size of
its domain and not that of the fleet.
"""

from enum import StrEnum
from typing import Any

from attrs import field, frozen


class VmState(StrEnum):
    """What a VM is doing."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@frozen
class QuotaUsage:
    """What a VM uses of one workspace's quota.

    Parameters
    ----------
    demand : float
        Requests a second that its callers ask for.
    share : float
        Part of the quota that it allows itself, from 0 to 1.
    level : float
        Tokens that it has at hand.
    """

    demand: float
    share: float
    level: float = 0.0


@frozen
class Heartbeat:
    """One VM's news of itself.

    Parameters
    ----------
    vm, failure_domain, region : str
    incarnation : int
        Grows with each start of the VM's process.
    number : int
        Grows with each heartbeat of an incarnation.
    state : VmState
    caller_address : str
        ``IP:PORT`` for callers.
    control_address : str
        ``IP:PORT`` for other VMs.
    known_vm_count : int
        Number of VMs that it knows, itself included.
    weight : float
        What its link carries, in Mbit/s.
    is_store_reachable : bool
        Whether the store answered its last calls.
    newest_revisions : dict of str to int
        Revision of the newest change that it knows, by collection.
    usage : dict of str to QuotaUsage
        By workspace.
    deaths : tuple of (str, str)
        Fingerprints of requests, and the target that died under each.
    """

    vm: str
    failure_domain: str
    region: str
    incarnation: int
    number: int
    state: VmState
    caller_address: str
    control_address: str
    known_vm_count: int = 1
    weight: float = 1.0
    is_store_reachable: bool = False
    newest_revisions: dict[str, int] = field(factory=dict)
    usage: dict[str, QuotaUsage] = field(factory=dict)
    deaths: tuple[tuple[str, str], ...] = ()


@frozen
class VmSummary:
    """A VM as its failure domain's speaker names it to others.

    Parameters
    ----------
    vm, ip : str
    incarnation, number : int
        Of the newest heartbeat.
    state : VmState
    caller_address : str
    weight : float
    age_s : float
        Time since that heartbeat was heard.
    """

    vm: str
    ip: str
    incarnation: int
    number: int
    state: VmState
    caller_address: str
    weight: float
    age_s: float


@frozen
class UsageSummary:
    """What a failure domain uses of one workspace's quota.

    Parameters
    ----------
    demand, share : float
        Sums over the VMs that are alive.
    silent_share : float
        Shares that silent VMs had; they may still use them.
    level : float
        Tokens at the VM that has most.
    lender : str
        IP address of that VM.
    """

    demand: float
    share: float
    silent_share: float
    level: float
    lender: str


@frozen
class DomainSummary:
    """A failure domain's state, as one of its VMs tells other domains.

    Parameters
    ----------
    failure_domain, region : str
    speaker : str
        VM that speaks.
    incarnation, number : int
        Of its news; higher ones are newer.
    control_address : str
        Speaker's ``IP:PORT`` for other VMs.
    age_s : float
        Age of the oldest heartbeat that the sums rest on.
    vms : tuple of VmSummary
    newest_revisions : dict of str to int
        Revision of the newest change that the speaker knows, by collection.
    usage : dict of str to UsageSummary
        By workspace.
    deaths : tuple of (str, str)
    """

    failure_domain: str
    region: str
    speaker: str
    incarnation: int
    number: int
    control_address: str
    age_s: float
    vms: tuple[VmSummary, ...] = ()
    newest_revisions: dict[str, int] = field(factory=dict)
    usage: dict[str, UsageSummary] = field(factory=dict)
    deaths: tuple[tuple[str, str], ...] = ()


@frozen
class SummaryBundle:
    """News of several failure domains, passed on inside one.

    Parameters
    ----------
    summaries : tuple
        `DomainSummary`; as it was received, still in the form of a datagram.
    """

    summaries: tuple[Any, ...]
