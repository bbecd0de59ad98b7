"""Connections to targets, kept for further requests.

A target closes a connection that was idle for too long, perhaps just as the
next request is sent. Nobody can then tell whether it ran, so requests that must
run at most once get a connection that was used a moment ago, or a new one.
"""

import contextlib

import trio
from attrs import frozen

from plantainshed_http.client import ClientConnection
from plantainshed_http.messages import ResponseHead

from .registry import TargetState
from .round_trips import RoundTrips

# What a busy target takes to accept, beside the round trips. A lost first packet
# is sent again after 1 s.
ACCEPT_S = 0.4
# Part of the target's own idle timeout for which a connection is used again.
USED_PART_OF_IDLE = 0.6
# Idle time, when the target tells no timeout, after which it is closed.
IDLE_UNTOLD_S = 3.0
# Idle time up to which a request that must run at most once uses it.
IDLE_NON_IDEMPOTENT_S = 1.0
MOST_IDLE_EACH = 32


@frozen
class _Idle:
    connection: ClientConnection
    since: float
    until: float


class TargetConnections:
    """Idle connections by target.

    Parameters
    ----------
    round_trips : RoundTrips
    """

    def __init__(self, round_trips: RoundTrips):
        self.round_trips = round_trips
        self._idle: dict[str, list[_Idle]] = {}

    async def take(self, state: TargetState, is_idempotent: bool) -> ClientConnection:
        """Return a connection to use alone, or raise `ConnectFailed`."""
        kept = self._take_idle(state.entry.instance, is_idempotent)
        if kept is not None:
            return kept
        return await self.open(state)

    async def open(self, state: TargetState) -> ClientConnection:
        """Return a new connection, or raise `ConnectFailed`."""
        failure_domain = state.entry.failure_domain
        timeout_s = ACCEPT_S + self.round_trips.wait_s(failure_domain)
        began_at = trio.current_time()
        connection = await ClientConnection.open(state.entry.address, timeout_s)
        self.round_trips.note(failure_domain, trio.current_time() - began_at)
        return connection

    def _take_idle(self, instance: str, is_idempotent: bool) -> ClientConnection | None:
        idle = self._idle.get(instance)
        while idle:
            kept = idle.pop()
            now = trio.current_time()
            until = kept.until
            if not is_idempotent:
                until = min(until, kept.since + IDLE_NON_IDEMPOTENT_S)
            if now < until and not kept.connection.stale:
                return kept.connection
            _close_now(kept.connection)
        return None

    def give_back(
        self, state: TargetState, connection: ClientConnection, head: ResponseHead
    ):
        """Keep a connection whose exchange has ended, if it can be kept."""
        idle = self._idle.setdefault(state.entry.instance, [])
        if not connection.reusable or connection.stale or len(idle) >= MOST_IDLE_EACH:
            _close_now(connection)
            return
        now = trio.current_time()
        idle.append(_Idle(connection, now, now + _idle_s(head)))

    def close_idle(self, instances: set[str]):
        """Close what was idle for too long, or belongs to no known target."""
        now = trio.current_time()
        for instance, idle in list(self._idle.items()):
            kept = [one for one in idle if instance in instances and one.until > now]
            for one in idle:
                if one not in kept:
                    _close_now(one.connection)
            self._idle[instance] = kept
            if not kept:
                del self._idle[instance]


def _idle_s(head: ResponseHead) -> float:
    text = head.header(b"keep-alive") or ""
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return int(value) * USED_PART_OF_IDLE
    return IDLE_UNTOLD_S


def _close_now(connection: ClientConnection):
    with contextlib.suppress(OSError):
        connection.stream.socket.close()
