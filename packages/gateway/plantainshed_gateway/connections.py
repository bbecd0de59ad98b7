"""Pool of persistent connections to targets.

A target closes connections that are idle for too long, and may do so just as the next
request is sent. It is then unknown whether that request ran. Requests that are not
idempotent therefore reuse connections only for a smaller fraction of the target's idle
timeout. If a reused connection breaks nevertheless, connections to the same pool are
reused only after shorter idle times for the next seconds.
"""

import trio
from attrs import define, frozen

from plantainshed_http.client import ClientConnection
from plantainshed_http.errors import ConnectFailed
from plantainshed_http.messages import ResponseHead

from .selection.registry import TargetState
from .selection.round_trips import RoundTrips
from .target_reach import TargetReach

# Time allowed for a busy target to accept a connection, in addition to the round
# trips. A lost first packet is retransmitted after 1 s.
ACCEPT_TIMEOUT_S = 0.4
# Fraction of a target's idle timeout during which a connection is reused, for requests
# that are idempotent and for those that are not.
REUSE_FRACTION = 0.8
NON_IDEMPOTENT_REUSE_FRACTION = 0.6
# Idle timeout assumed for targets that have not advertised one.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# After a reused connection broke, connections to its pool are reused only after shorter
# idle times: for how long this applies, and the limit as a fraction of the idle time
# of the broken connection.
REDUCED_REUSE_S = 8.0
REDUCED_REUSE_FRACTION = 0.5
MAX_IDLE_PER_TARGET = 32
# How long a target may read nothing of a request while the kernel's buffers are full.
# Its body takes memory that other requests need, also if the deadline is far away.
WRITE_TIMEOUT_S = 5.0


@frozen
class _IdleConnection:
    connection: ClientConnection
    idle_since: float
    timeout_s: float


@define
class _ReducedReuse:
    max_idle_s: float
    until: float


async def open_connection(address: str, timeout_s: float) -> ClientConnection:
    """Connect to a target, or raise `ConnectFailed`."""
    connection = await ClientConnection.open(address, timeout_s)
    connection.stream.write_timeout_s = WRITE_TIMEOUT_S
    return connection


class TargetConnections:
    """Opens connections to targets and keeps idle ones for reuse.

    Parameters
    ----------
    round_trips : RoundTrips
    reach : TargetReach
    connect : callable, optional
        Opens a connection; gets an ``IP:PORT`` and a timeout in seconds.
    """

    def __init__(
        self,
        round_trips: RoundTrips,
        reach: TargetReach,
        connect=open_connection,
    ):
        self.round_trips = round_trips
        self.reach = reach
        self.connect = connect
        self._idle: dict[str, list[_IdleConnection]] = {}
        # By pool: idle timeouts that targets advertised, and reduced reuse limits.
        self._advertised_s: dict[str, float] = {}
        self._reduced_reuse: dict[str, _ReducedReuse] = {}

    async def acquire(
        self, state: TargetState, is_idempotent: bool
    ) -> ClientConnection:
        """Return a connection for exclusive use, or raise `ConnectFailed`."""
        kept = self._acquire_idle(state, is_idempotent)
        if kept is not None:
            return kept
        return await self.open(state)

    async def open(self, state: TargetState) -> ClientConnection:
        """Return a new connection, or raise `ConnectFailed`."""
        failure_domain = state.entry.failure_domain
        timeout_s = ACCEPT_TIMEOUT_S + self.round_trips.wait_s(failure_domain)
        began_at = trio.current_time()
        try:
            connection = await self.connect(state.entry.address, timeout_s)
        except ConnectFailed:
            self.reach.note_failed()
            raise
        self.round_trips.record(failure_domain, trio.current_time() - began_at)
        return connection

    def _acquire_idle(
        self, state: TargetState, is_idempotent: bool
    ) -> ClientConnection | None:
        idle = self._idle.get(state.entry.instance)
        fraction = REUSE_FRACTION if is_idempotent else NON_IDEMPOTENT_REUSE_FRACTION
        while idle:
            kept = idle.pop()
            idle_s = trio.current_time() - kept.idle_since
            max_idle_s = self._max_idle_s(state, kept, fraction)
            if idle_s < max_idle_s and not kept.connection.stale:
                kept.connection.idle_s = idle_s
                return kept.connection
            kept.connection.close()
        return None

    def release(
        self, state: TargetState, connection: ClientConnection, head: ResponseHead
    ):
        """Return a connection to the pool after an exchange, if it is reusable."""
        timeout_s = _parse_keep_alive(head)
        if timeout_s is not None:
            self._advertised_s[state.entry.pool] = timeout_s
        self.keep(state, connection)

    def keep(self, state: TargetState, connection: ClientConnection):
        """Keep an idle connection for reuse, or close it if it is not reusable."""
        idle = self._idle.setdefault(state.entry.instance, [])
        if (
            not connection.reusable
            or connection.stale
            or len(idle) >= MAX_IDLE_PER_TARGET
        ):
            connection.close()
            return
        timeout_s = self._advertised_s.get(state.entry.pool, DEFAULT_IDLE_TIMEOUT_S)
        idle.append(_IdleConnection(connection, trio.current_time(), timeout_s))

    def has_idle(self, state: TargetState) -> bool:
        """Return whether an idle connection to a target can be reused."""
        now = trio.current_time()
        return any(
            now - kept.idle_since
            < self._max_idle_s(state, kept, NON_IDEMPOTENT_REUSE_FRACTION)
            for kept in self._idle.get(state.entry.instance, ())
        )

    def _max_idle_s(
        self, state: TargetState, kept: _IdleConnection, fraction: float
    ) -> float:
        return min(
            kept.timeout_s * fraction, self._reduced_max_idle_s(state.entry.pool)
        )

    def note_broken(self, state: TargetState, idle_s: float, after_s: float):
        """Record that a reused connection broke.

        A target that has closed an idle connection resets it within a round trip. A
        connection that breaks later has another cause.

        Parameters
        ----------
        state : TargetState
        idle_s : float
            How long the connection was idle before it was reused; 0 if it was new.
        after_s : float
            How long after its reuse it broke.
        """
        failure_domain = state.entry.failure_domain
        if not idle_s or after_s > self.round_trips.wait_s(failure_domain):
            return
        max_idle_s = min(
            idle_s * REDUCED_REUSE_FRACTION, self._reduced_max_idle_s(state.entry.pool)
        )
        until = trio.current_time() + REDUCED_REUSE_S
        self._reduced_reuse[state.entry.pool] = _ReducedReuse(max_idle_s, until)

    def _reduced_max_idle_s(self, pool: str) -> float:
        reduced = self._reduced_reuse.get(pool)
        if reduced is None or reduced.until < trio.current_time():
            return float("inf")
        return reduced.max_idle_s

    def close_idle(self, instances: set[str]):
        """Close connections that were idle for too long or have no known target.

        Parameters
        ----------
        instances : set of str
            Instances of the known targets.
        """
        now = trio.current_time()
        for instance, idle in list(self._idle.items()):
            kept = [
                entry
                for entry in idle
                if instance in instances
                and now - entry.idle_since < entry.timeout_s * REUSE_FRACTION
            ]
            for entry in idle:
                if entry not in kept:
                    entry.connection.close()
            self._idle[instance] = kept
            if not kept:
                del self._idle[instance]


def _parse_keep_alive(head: ResponseHead) -> float | None:
    text = head.header(b"keep-alive") or ""
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
