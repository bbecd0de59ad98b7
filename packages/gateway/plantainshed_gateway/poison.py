"""Requests that crash the targets that run them, stopped after few.

Load that it answers: one caller sends such a request again and again, each
time another target dies of it and comes back cold, until a pool is empty.

A target counts as crashed when a connection broke under a request and a new
one is refused a moment later; a lost answer alone is no crash. VMs tell each
other in their heartbeats. A request that is answered is cleared: it only
happened to be there when a target died of something else.
"""

import trio
import xxhash
from attrs import define

# Targets that died under a request before it is refused. Two can be chance,
# when several targets crash at once and an object moves from one to the next.
DEATHS_TO_STOP = 3
# How long a death counts. Callers repeat within seconds, a target is back
# after some, and a request that was stopped wrongly is free again after this.
DEATH_COUNTS_S = 30.0
MOST_TOLD = 16


def compute_fingerprint(
    workspace: str | None, method: str, target: str, body: bytes
) -> str:
    """Return what recognises the same request when it is sent again."""
    digest = xxhash.xxh3_64()
    for part in (workspace or "", method, target):
        digest.update(part.encode() + b"\x00")
    digest.update(body)
    return digest.hexdigest()


@define
class _Death:
    until: float


class PoisonTracker:
    """Which targets died under which requests, here and at other VMs."""

    def __init__(self):
        self._deaths: dict[str, dict[str, _Death]] = {}

    def note_crash(self, mark: str, instance: str):
        """Note that a target died while it ran a request."""
        until = trio.current_time() + DEATH_COUNTS_S
        self._deaths.setdefault(mark, {}).setdefault(instance, _Death(until))

    def note_answered(self, mark: str):
        """Note that a request was answered: targets died of something else."""
        self._deaths.pop(mark, None)

    def is_blocked(self, mark: str) -> bool:
        """Tell whether such requests are refused for now."""
        deaths = self._deaths.get(mark)
        if not deaths:
            return False
        now = trio.current_time()
        fresh = {name: death for name, death in deaths.items() if death.until > now}
        self._deaths[mark] = fresh
        if not fresh:
            del self._deaths[mark]
        return len(fresh) >= DEATHS_TO_STOP

    def recent_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return the newest deaths, for other VMs."""
        now = trio.current_time()
        fresh = [
            (death.until, mark, instance)
            for mark, deaths in self._deaths.items()
            for instance, death in deaths.items()
            if death.until > now
        ]
        newest = sorted(fresh, reverse=True)[:MOST_TOLD]
        return tuple((mark, instance) for _, mark, instance in newest)

    def merge(self, told: tuple[tuple[str, str], ...]):
        """Take in what another VM tells."""
        for mark, instance in told:
            self.note_crash(mark, instance)
