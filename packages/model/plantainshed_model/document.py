"""Data classes of the traffic document, the configuration that operators edit.

Rates are in requests per second, bandwidths in megabits per second and times in
seconds.
"""

from enum import StrEnum

from attrs import field, frozen

DEFAULT_OFFLINE_LIMIT_S = 900.0
DEFAULT_REQUEST_TIMEOUT_S = 10.0


class ShiftState(StrEnum):
    """State of a shift, as set by an operator."""

    RUNNING = "running"
    STOPPED = "stopped"
    REVERSED = "reversed"


class DrainKind(StrEnum):
    """Kind of object that a drain takes traffic away from."""

    TARGET = "target"
    VM = "vm"
    FAILURE_DOMAIN = "failure_domain"


@frozen
class Region:
    """A group of failure domains that are close to each other."""

    name: str


@frozen
class FailureDomain:
    """A part of a region that fails, or loses its network, as a unit."""

    name: str
    region: str


@frozen
class Link:
    """The bandwidth between two regions, per direction, shared with other users."""

    region_a: str
    region_b: str
    megabits_s: float


@frozen
class Workspace:
    """A customer and the request quota that it has bought.

    Parameters
    ----------
    name : str
    rate : float
        Allowed requests per second, summed over the whole fleet.
    burst : float
        Requests that may arrive at once, summed over the whole fleet.
    offline_limit_s : float
        How long a failure domain that has lost contact with everything else
        still accepts the keys that it knows.
    """

    name: str
    rate: float
    burst: float
    offline_limit_s: float = DEFAULT_OFFLINE_LIMIT_S


@frozen
class KeyDigest:
    """A caller's API key, stored as a digest only.

    Parameters
    ----------
    key_id : str
        Public part of the key; safe to log.
    workspace : str
    digest : str
        SHA-256 of the whole key in hexadecimal.
    withdrawn : bool
        Whether the key has been revoked.
    """

    key_id: str
    workspace: str
    digest: str
    withdrawn: bool = False


@frozen
class Pool:
    """A group of targets that serve the same paths.

    Parameters
    ----------
    name : str
    prefix : str
        Requests whose path starts with this prefix go to this pool.
    slots : int
        Number of requests that one target runs concurrently.
    connections : int
        Number of connections that one target accepts from the whole fleet.
    probe_path : str
        Path of the health check.
    timeout_s : float
        Deadline of requests that do not specify one.
    service_time_s : float
        Estimate of the time that a request occupies a slot, used until a
        measured value is available.
    ramp_s : float
        Duration of the slow start, in which a new or returning target's share
        of the traffic grows to its full value.
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
    """One back-end server."""

    name: str
    pool: str
    failure_domain: str
    address: str


@frozen
class ClientBlock:
    """A network of client addresses, and the failure domain closest to them."""

    cidr: str
    failure_domain: str


@frozen
class Shift:
    """An operator's order to move a pool's traffic from one region to another.

    Parameters
    ----------
    name : str
    pool : str
    from_region, to_region : str
    cap : float
        Limit of the moved traffic in requests per second, summed over the whole
        fleet.
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
    """An order to send an object no new requests and let running ones finish."""

    kind: DrainKind
    name: str


@frozen
class Document:
    """The whole traffic document. Like all of its parts, it is immutable."""

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
