"""Requests that kill the targets that run them, stopped after few.

A request in flight when its target dies is marked, by a fingerprint of method,
path, workspace and body. From then on it runs only where no other marked one
does. If
`ISOLATED_CRASHES_TO_BLOCK` more targets die of it there, it is refused on every VM
for a while.
Requests that only happened to be there are cleared by their first success.
"""

import trio
import xxhash

from plantainshed_coordination.rumors import HeardRumor, RumorBook

CRASH_TOPIC = "crash-mark"
CLEAR_TOPIC = "crash-clear"
ISOLATED_CRASHES_TO_BLOCK = 2
ISOLATED = "alone"
SHARED = "together"
CRASH_TTL_S = 120.0
CLEAR_TTL_S = 60.0
HASHED_BODY_BYTES = 64 * 1024
SEPARATOR = "/"


def compute_fingerprint(
    workspace: str, method: str, path: str, body: bytes | None
) -> str:
    """Return what recognises the same request when it is sent again."""
    digest = xxhash.xxh3_128()
    for part in (workspace, method, path):
        digest.update(part.encode() + b"\x00")
    digest.update((body or b"")[:HASHED_BODY_BYTES])
    return digest.hexdigest()


class PoisonTracker:
    """Which fingerprints are under suspicion, and which are stopped."""

    def __init__(self, rumors: RumorBook):
        self.rumors = rumors
        self.crashes: dict[str, dict[tuple[str, str], float]] = {}
        rumors.listeners[CRASH_TOPIC] = self._on_crash
        rumors.listeners[CLEAR_TOPIC] = self._on_clear

    def note_crash(self, fingerprint: str, target: str, isolated: bool):
        """Note that a target died while it ran a request.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        target : str
        isolated : bool
            Whether it ran there as a marked one, away from all others.
        """
        if self.rumors.knows(CLEAR_TOPIC, fingerprint):
            return
        how = ISOLATED if isolated else SHARED
        name = SEPARATOR.join((fingerprint, how, target))
        self.rumors.publish(CRASH_TOPIC, name, ttl_s=CRASH_TTL_S)

    def note_success(self, fingerprint: str):
        """Note that a request was answered: it is not what kills targets."""
        if fingerprint in self.crashes:
            self.rumors.publish(CLEAR_TOPIC, fingerprint, ttl_s=CLEAR_TTL_S)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a target died while it ran such a request."""
        return bool(self._recent_crashes(fingerprint))

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether such requests are refused for now.

        A popular request can be in several targets when they die of others;
        what counts are deaths that it was isolated for. One of those can still be
        another's fault, of a killer that was not marked yet.
        """
        isolated = [
            target
            for how, target in self._recent_crashes(fingerprint)
            if how == ISOLATED
        ]
        return len(isolated) >= ISOLATED_CRASHES_TO_BLOCK

    def crashed_targets(self, fingerprint: str) -> set[str]:
        """Return the targets that died while they ran such a request."""
        return {target for _, target in self._recent_crashes(fingerprint)}

    def _recent_crashes(self, fingerprint: str) -> dict[tuple[str, str], float]:
        crashes = self.crashes.get(fingerprint)
        if not crashes:
            return {}
        now = trio.current_time()
        fresh = {death: until for death, until in crashes.items() if until > now}
        if fresh:
            self.crashes[fingerprint] = fresh
        else:
            del self.crashes[fingerprint]
        return fresh

    def _on_crash(self, name: str, rumor: HeardRumor):
        fingerprint, how, target = name.split(SEPARATOR)
        self.crashes.setdefault(fingerprint, {})[how, target] = rumor.expires_at

    def _on_clear(self, name: str, rumor: HeardRumor):
        self.crashes.pop(name, None)
