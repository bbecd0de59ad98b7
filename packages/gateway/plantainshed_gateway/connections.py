"""Connections to targets, kept for further requests.

A target closes a connection that was idle for too long, perhaps just as the next
request is sent. Nobody can then tell whether it ran, so requests that must run at
most once leave more of the time that the target allows than others. Targets of a
pool that break connections sooner are believed to do so for a while.
"""

import contextlib

import trio
from attrs import define, frozen

from plantainshed_http.client import ClientConnection
from plantainshed_http.messages import ResponseHead

from .registry import TargetState
from .round_trips import RoundTrips

# What a busy target takes to accept, beside the round trips. A lost first packet
# is sent again after 1 s.
ACCEPT_S = 0.4
# Parts of the target's own idle timeout for which a connection is used again.
USED_PART_OF_IDLE = 0.8
USED_PART_OF_IDLE_ONCE = 0.6
# Idle timeout that is assumed of targets that tell none, or none yet.
IDLE_UNTOLD_S = 4.0
# How long a pool's connections are used after less rest only, once one of them
# broke when it was used again, and the part of that rest that they may have.
DISTRUST_S = 8.0
DISTRUST_PART = 0.5
MOST_IDLE_EACH = 32


@frozen
class _Idle:
    connection: ClientConnection
    since: float
    timeout_s: float


@define
class _Distrust:
    rest_s: float
    until: float


class TargetConnections:
    """Idle connections by target.

    Parameters
    ----------
    round_trips : RoundTrips
    connect : callable, optional
        Opens a connection to an ``IP:PORT`` within some seconds.
    """

    def __init__(self, round_trips: RoundTrips, connect=ClientConnection.open):
        self.round_trips = round_trips
        self.connect = connect
        self._idle: dict[str, list[_Idle]] = {}
        # Idle timeouts that targets told, and shorter ones that were met, by pool.
        self._told_s: dict[str, float] = {}
        self._distrust: dict[str, _Distrust] = {}

    async def take(self, state: TargetState, is_idempotent: bool) -> ClientConnection:
        """Return a connection to use alone, or raise `ConnectFailed`."""
        kept = self._take_idle(state, is_idempotent)
        if kept is not None:
            return kept
        return await self.open(state)

    async def open(self, state: TargetState) -> ClientConnection:
        """Return a new connection, or raise `ConnectFailed`."""
        failure_domain = state.entry.failure_domain
        timeout_s = ACCEPT_S + self.round_trips.wait_s(failure_domain)
        began_at = trio.current_time()
        connection = await self.connect(state.entry.address, timeout_s)
        self.round_trips.note(failure_domain, trio.current_time() - began_at)
        return connection

    def _take_idle(
        self, state: TargetState, is_idempotent: bool
    ) -> ClientConnection | None:
        idle = self._idle.get(state.entry.instance)
        part = USED_PART_OF_IDLE if is_idempotent else USED_PART_OF_IDLE_ONCE
        while idle:
            kept = idle.pop()
            rested_s = trio.current_time() - kept.since
            limit_s = self._rest_limit_s(state, kept, part)
            if rested_s < limit_s and not kept.connection.stale:
                kept.connection.idle_s = rested_s
                return kept.connection
            _close_now(kept.connection)
        return None

    def give_back(
        self, state: TargetState, connection: ClientConnection, head: ResponseHead
    ):
        """Keep a connection whose exchange has ended, if it can be kept."""
        told_s = _told_idle_s(head)
        if told_s is not None:
            self._told_s[state.entry.pool] = told_s
        self.keep(state, connection)

    def keep(self, state: TargetState, connection: ClientConnection):
        """Keep a connection that nothing is under way on."""
        idle = self._idle.setdefault(state.entry.instance, [])
        if not connection.reusable or connection.stale or len(idle) >= MOST_IDLE_EACH:
            _close_now(connection)
            return
        timeout_s = self._told_s.get(state.entry.pool, IDLE_UNTOLD_S)
        idle.append(_Idle(connection, trio.current_time(), timeout_s))

    def has_idle(self, state: TargetState) -> bool:
        """Tell whether a request for a target would find a connection."""
        now = trio.current_time()
        return any(
            now - kept.since < self._rest_limit_s(state, kept, USED_PART_OF_IDLE_ONCE)
            for kept in self._idle.get(state.entry.instance, ())
        )

    def _rest_limit_s(self, state: TargetState, kept: _Idle, part: float) -> float:
        return min(kept.timeout_s * part, self._trusted_rest_s(state.entry.pool))

    def note_broken(self, state: TargetState, rested_s: float, after_s: float):
        """Take in that a connection broke so long after it was used again.

        A target that forgot it says so within a round trip; one that breaks later
        has another fault.
        """
        failure_domain = state.entry.failure_domain
        if not rested_s or after_s > self.round_trips.wait_s(failure_domain):
            return
        rest_s = min(rested_s * DISTRUST_PART, self._trusted_rest_s(state.entry.pool))
        until = trio.current_time() + DISTRUST_S
        self._distrust[state.entry.pool] = _Distrust(rest_s, until)

    def _trusted_rest_s(self, pool: str) -> float:
        distrust = self._distrust.get(pool)
        if distrust is None or distrust.until < trio.current_time():
            return float("inf")
        return distrust.rest_s

    def close_idle(self, instances: set[str]):
        """Close what was idle for too long, or belongs to no known target."""
        now = trio.current_time()
        for instance, idle in list(self._idle.items()):
            kept = [
                one
                for one in idle
                if instance in instances
                and now - one.since < one.timeout_s * USED_PART_OF_IDLE
            ]
            for one in idle:
                if one not in kept:
                    _close_now(one.connection)
            self._idle[instance] = kept
            if not kept:
                del self._idle[instance]


def _told_idle_s(head: ResponseHead) -> float | None:
    text = head.header(b"keep-alive") or ""
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None


def _close_now(connection: ClientConnection):
    with contextlib.suppress(OSError):
        connection.stream.socket.close()
