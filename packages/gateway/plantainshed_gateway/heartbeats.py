"""Messages in which VMs report their own state and that of their failure domains.

Inside a failure domain, each VM receives the full heartbeats of all others. Only
summaries are sent between domains, so the traffic of a VM grows with the size of its
domain and not with the size of the fleet.
"""

from enum import StrEnum
from typing import Any

from attrs import field, frozen

from .selection.load_reports import LoadReport
from .store_contact import ContactReport


class VmState(StrEnum):
    """Lifecycle state of a VM."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@frozen
class QuotaUsage:
    """A VM's usage of one workspace's quota.

    Parameters
    ----------
    demand : float
        Requests per second from its callers.
    share : float
        Share of the quota that it uses, from 0 to 1.
    level : float
        Tokens in its bucket.
    """

    demand: float
    share: float
    level: float = 0.0


@frozen
class LimitReport:
    """What an answer of a target said about its limit.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that it takes from all VMs together; None if the answer
        named no limit.
    age_s : float
        Age of the answer.
    """

    limit_per_s: float | None
    age_s: float


@frozen
class Heartbeat:
    """State of one VM, sent by the VM itself.

    Parameters
    ----------
    vm, failure_domain, region : str
    incarnation : int
        Increases with each start of the VM's process.
    number : int
        Increases with each heartbeat of an incarnation.
    state : VmState
    caller_address : str
        ``IP:PORT`` for callers.
    control_address : str
        ``IP:PORT`` for other VMs.
    known_vm_count : int
        Number of VMs that it knows, including itself.
    weight : float
        Bandwidth of its link in Mbit/s.
    is_store_reachable : bool
        Whether the store answered its last calls.
    newest_revisions : dict of str to int
        Revision of the newest change that it knows, by collection.
    usage : dict of str to QuotaUsage
        Quota usage by workspace.
    crashes : tuple of (str, str)
        Fingerprints of requests, each with a target that crashed while running it.
    known_vms_digest : int
        Digest of the names and incarnations of the VMs that it knows. 0 if unknown.
    is_vm_list_complete : bool
        Whether it has established that it knows all VMs; see `vm_list`.
    is_cut_off : bool
        Whether it reaches no target; see `target_reach`.
    limits : dict of str to LimitReport
        Limits that targets named to it, or no longer name, by instance.
    needs_load : bool
        Whether it needs other VMs' load reports; see `LoadSharing`.
    load : LoadReport or None
        Load that it causes, by `target_digest` instead of instance. None if it sends
        no reports.
    contact : ContactReport or None
        When the store answered; None from a VM of a build that does not report it.
    copy_age_s : float or None
        Time up to which its copies may lack changes of the store; None if unknown.
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
    crashes: tuple[tuple[str, str], ...] = ()
    known_vms_digest: int = 0
    is_vm_list_complete: bool = False
    is_cut_off: bool = False
    limits: dict[str, LimitReport] = field(factory=dict)
    needs_load: bool = False
    load: LoadReport | None = None
    contact: ContactReport | None = None
    copy_age_s: float | None = None


@frozen
class VmSummary:
    """State of a VM in its failure domain's summary.

    Parameters
    ----------
    vm, ip : str
    incarnation, number : int
        From the newest heartbeat.
    state : VmState
    caller_address : str
    weight : float
    age_s : float
        Time since that heartbeat was received.
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
    """A failure domain's usage of one workspace's quota.

    Parameters
    ----------
    demand, share : float
        Sums over the VMs that are alive.
    silent_share : float
        Last known shares of silent VMs, which may still use them.
    level : float
        Tokens on the VM that has the most.
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
    """Summary of a failure domain's state, sent by one of its VMs to other domains.

    Parameters
    ----------
    failure_domain, region : str
    speaker : str
        VM that sent the summary.
    incarnation, number : int
        Version of the summary. Higher ones are newer.
    control_address : str
        The speaker's ``IP:PORT`` for other VMs.
    age_s : float
        Age of the oldest heartbeat in the sums.
    vms : tuple of VmSummary
    newest_revisions : dict of str to int
        Revision of the newest change that the speaker knows, by collection.
    usage : dict of str to UsageSummary
        Quota usage by workspace.
    crashes : tuple of (str, str)
        See `Heartbeat`.
    known_vm_count, known_vms_digest, is_vm_list_complete
        The speaker's; see `Heartbeat`.
    cut_off : tuple of str
        VMs of the domain that reach no target.
    limits : dict of str to LimitReport
        The newest report of a VM of the domain, by instance.
    needs_load : bool
        Whether a live VM of the domain needs other VMs' load reports.
    load : LoadReport or None
        Load that the domain's live VMs cause, by `target_digest`. None if none of them
        sends reports.
    load_age_s : float
        Mean age of the reports in `load`.
    contact : ContactReport or None
        The speaker's; see `Heartbeat`.
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
    crashes: tuple[tuple[str, str], ...] = ()
    known_vm_count: int = 1
    known_vms_digest: int = 0
    is_vm_list_complete: bool = False
    cut_off: tuple[str, ...] = ()
    limits: dict[str, LimitReport] = field(factory=dict)
    needs_load: bool = False
    load: LoadReport | None = None
    load_age_s: float = 0.0
    contact: ContactReport | None = None


@frozen
class SummaryBundle:
    """Summaries of several failure domains, relayed inside one.

    Parameters
    ----------
    summaries : tuple
        `DomainSummary` objects, or `PackedSummary` objects after decoding a datagram.
    """

    summaries: tuple[Any, ...]
