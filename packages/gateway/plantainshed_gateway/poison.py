"""Detection of poison requests: requests that crash the targets that run them.

If a caller repeats such a request, every attempt crashes another target, which comes
back cold, until the pool is empty. Requests are therefore refused after they crashed a
few targets.

A target counts as crashed when a connection breaks during a request and a new
connection is refused a moment later; a lost answer alone does not count. VMs share
crashes in their heartbeats. When a request is answered, its record is cleared, because
it evidently ran on a target that crashed for another reason.
"""

import trio
import xxhash
from attrs import define

# Number of targets that a request has to crash before it is refused. Two can be a
# coincidence, when several targets crash at once and an object moves from one to the
# next.
CRASHES_TO_BLOCK = 3
# How long a crash counts. Callers repeat a request within seconds, and a crashed
# target is back within seconds. A request that was blocked by mistake is accepted
# again after this time.
CRASH_TTL_S = 30.0
# Maximum number of crashes in a heartbeat.
MAX_REPORTED = 16


def compute_fingerprint(
    workspace: str | None, method: str, target: str, body: bytes
) -> str:
    """Return a hash that identifies a request when it is repeated."""
    digest = xxhash.xxh3_64()
    for part in (workspace or "", method, target):
        digest.update(part.encode() + b"\x00")
    digest.update(body)
    return digest.hexdigest()


@define
class _Crash:
    expires_at: float


class PoisonTracker:
    """Records which requests crashed which targets, on this VM and on others."""

    def __init__(self):
        self._crashes: dict[str, dict[str, _Crash]] = {}

    def note_crash(self, fingerprint: str, instance: str):
        """Record that a target crashed while it ran a request."""
        expires_at = trio.current_time() + CRASH_TTL_S
        self._crashes.setdefault(fingerprint, {}).setdefault(
            instance, _Crash(expires_at)
        )

    def note_answered(self, fingerprint: str):
        """Clear the record of a request that was answered."""
        self._crashes.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request is refused for now."""
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return False
        now = trio.current_time()
        recent = {
            name: crash for name, crash in crashes.items() if crash.expires_at > now
        }
        self._crashes[fingerprint] = recent
        if not recent:
            del self._crashes[fingerprint]
        return len(recent) >= CRASHES_TO_BLOCK

    def recent_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return the most recent crashes, to send to other VMs."""
        now = trio.current_time()
        recent = [
            (crash.expires_at, fingerprint, instance)
            for fingerprint, crashes in self._crashes.items()
            for instance, crash in crashes.items()
            if crash.expires_at > now
        ]
        newest = sorted(recent, reverse=True)[:MAX_REPORTED]
        return tuple((fingerprint, instance) for _, fingerprint, instance in newest)

    def merge(self, reported: tuple[tuple[str, str], ...]):
        """Merge the crashes that another VM reported."""
        for fingerprint, instance in reported:
            self.note_crash(fingerprint, instance)
