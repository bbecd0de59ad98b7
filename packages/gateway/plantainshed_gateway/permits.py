"""Permits for single requests to targets that name a limit.

This is designed for callers at many VMs who need more of a pool than its targets take.
A few VMs hold the limit of each target; see `target_limits`. A VM without a part of its
own requests a permit from a holder for each request that no other target has room for.
The holder takes a token before it answers, so a lost message loses a permit and never
duplicates one.
"""

import itertools
import random
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from .datagrams import PermitAnswer, PermitRequest
from .heartbeats import LimitReport
from .members import Member
from .selection.registry import TargetState
from .selection.round_trips import RoundTrips
from .selection.target_limits import TargetLimits

# Number of holders that are asked for one permit, one after the other.
HOLDERS_ASKED = 2
# Number of limited targets for which a request asks holders.
TARGETS_ASKED = 2
# Pause after no holder of a target granted a permit. Without it, each request beyond
# the limit would cost round trips.
DENIED_PAUSE_S = 0.25
# Pause before a holder that did not answer is asked again.
UNRESPONSIVE_PAUSE_S = 1.0


@define
class _PendingRequest:
    is_granted: bool = False
    answered: trio.Event = field(factory=trio.Event)


class Permits:
    """Requests permits from other VMs and grants them.

    Parameters
    ----------
    limits : TargetLimits
    send : callable
        Sends a message to an IP address.
    round_trips : RoundTrips
    """

    def __init__(
        self,
        limits: TargetLimits,
        send: Callable[[object, str], Awaitable[None]],
        round_trips: RoundTrips,
    ):
        self.limits = limits
        self.send = send
        self.round_trips = round_trips
        self.random = random.Random()
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._next_request_at: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}

    async def find_permitted(self, states: list[TargetState]) -> TargetState | None:
        """Return the first of some targets for which there is a permit, or None.

        Parameters
        ----------
        states : list of TargetState
            Targets that name a limit, in order of preference.
        """
        for state in states:
            if self.limits.admits(state):
                return state
        for state in self._targets_to_ask_for(states):
            if await self._request(state):
                return state
        return None

    def _targets_to_ask_for(self, states: list[TargetState]) -> list[TargetState]:
        now = trio.current_time()
        due = [
            state
            for state in states
            if self._next_request_at.get(state.entry.instance, 0.0) <= now
        ]
        return due[:TARGETS_ASKED]

    async def _request(self, state: TargetState) -> bool:
        """Ask holders of a target's limit; return whether one granted a permit."""
        for holder in self._holders_to_ask(state):
            if await self._request_from(holder, state):
                return True
        until = trio.current_time() + DENIED_PAUSE_S
        self._next_request_at[state.entry.instance] = until
        return False

    def _holders_to_ask(self, state: TargetState) -> list[Member]:
        now = trio.current_time()
        holders = [
            holder
            for holder in self.limits.holders(state)
            if self._unresponsive_until.get(holder.ip, 0.0) <= now
        ]
        return self.random.sample(holders, min(HOLDERS_ASKED, len(holders)))

    async def _request_from(self, holder: Member, state: TargetState) -> bool:
        number = next(self._numbers)
        pending = self._pending[number] = _PendingRequest()
        age_s = round(trio.current_time() - state.limit_seen_at, 2)
        report = LimitReport(state.limit_per_s, age_s)
        try:
            await self.send(
                PermitRequest(number, state.entry.instance, report), holder.ip
            )
            with trio.move_on_after(self.round_trips.wait_s(holder.failure_domain)):
                await pending.answered.wait()
        finally:
            del self._pending[number]
        if not pending.answered.is_set():
            until = trio.current_time() + UNRESPONSIVE_PAUSE_S
            self._unresponsive_until[holder.ip] = until
        return pending.is_granted

    async def on_request(self, request: PermitRequest, ip: str):
        """Answer another VM's request for a permit."""
        self.limits.merge({request.instance: request.report})
        state = self.limits.registry.states.get(request.instance)
        is_granted = state is not None and self.limits.admits(state)
        await self.send(PermitAnswer(request.number, is_granted), ip)

    def on_answer(self, answer: PermitAnswer):
        """Record a holder's answer. One that arrives too late is not used."""
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.is_granted = answer.is_granted
            pending.answered.set()
