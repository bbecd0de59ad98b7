"""The traffic document: everything that operators decide.

Rates are requests a second, bandwidths megabits a second, times seconds.
"""

from enum import StrEnum

from attrs import field, frozen

DEFAULT_OFFLINE_LIMIT_S = 900.0
DEFAULT_REQUEST_TIMEOUT_S = 10.0


class ShiftState(StrEnum):
    """What a shift does at present."""

    RUNNING = "running"
    STOPPED = "stopped"
    REVERSED = "reversed"


class DrainKind(StrEnum):
    """What a drain empties."""

    TARGET = "target"
    VM = "vm"
    FAILURE_DOMAIN = "failure_domain"


@frozen
class Region:
    """A region: failure domains that are near each other."""

    name: str


@frozen
class FailureDomain:
    """A part of a region that fails, or is cut off, as one."""

    name: str
    region: str


@frozen
class Link:
    """The bandwidth between two regions, each way, shared with others."""

    region_a: str
    region_b: str
    megabits_s: float


@frozen
class Workspace:
    """A customer and what it bought.

    Parameters
    ----------
    name : str
    rate : float
        Requests a second over the whole fleet.
    burst : float
        Requests that may come at once over the whole fleet.
    offline_limit_s : float
        How long a failure domain that can hear nobody goes on accepting keys
        that it knew.
    """

    name: str
    rate: float
    burst: float
    offline_limit_s: float = DEFAULT_OFFLINE_LIMIT_S


@frozen
class KeyDigest:
    """A caller's key, of which only the digest is kept.

    Parameters
    ----------
    key_id : str
        Public part of the key; safe in logs.
    workspace : str
    digest : str
        SHA-256 of the whole key in hexadecimal.
    withdrawn : bool
    """

    key_id: str
    workspace: str
    digest: str
    withdrawn: bool = False


@frozen
class Pool:
    """Targets that serve the same paths.

    Parameters
    ----------
    name : str
    prefix : str
        Requests whose path starts with it go to this pool.
    slots : int
        Requests that one target runs at a time.
    connections : int
        Connections that one target accepts from the whole fleet.
    probe_path : str
        Path of the health check.
    timeout_s : float
        Deadline of a request that brings none of its own.
    service_time_s : float
        Expected time of a request in a slot, until it has been measured.
    ramp_s : float
        How long a new or returning target takes to get its full share.
    """

    name: str
    prefix: str
    slots: int
    connections: int
    probe_path: str = "/healthz"
    timeout_s: float = DEFAULT_REQUEST_TIMEOUT_S
    service_time_s: float = 0.05
    ramp_s: float = 10.0


@frozen
class Target:
    """One back end."""

    name: str
    pool: str
    failure_domain: str
    address: str


@frozen
class ClientBlock:
    """Client addresses that are near one failure domain."""

    cidr: str
    failure_domain: str


@frozen
class Shift:
    """An operator's move of a pool's traffic between two regions.

    Parameters
    ----------
    name : str
    pool : str
    from_region, to_region : str
    cap : float
        Requests a second that may be moved over the whole fleet.
    state : ShiftState
    """

    name: str
    pool: str
    from_region: str
    to_region: str
    cap: float
    state: ShiftState = ShiftState.RUNNING


@frozen
class Drain:
    """An order to empty something without cutting a request."""

    kind: DrainKind
    name: str


@frozen
class Document:
    """The whole document; immutable, as every part of it."""

    regions: tuple[Region, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    links: tuple[Link, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[KeyDigest, ...] = field(default=(), repr=False)
    pools: tuple[Pool, ...] = ()
    targets: tuple[Target, ...] = ()
    blocks: tuple[ClientBlock, ...] = field(default=(), repr=False)
    shifts: tuple[Shift, ...] = ()
    drains: tuple[Drain, ...] = ()
