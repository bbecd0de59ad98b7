"""Detection of poison requests: requests that crash the targets that run them.

When a target crashes, every request in flight on it becomes a suspect, identified by a
fingerprint of method, path, workspace and body. From then on it runs only on targets
that run no other suspect. If `ISOLATED_CRASHES_TO_BLOCK` more targets crash while they
run it in isolation, every VM refuses it for a while. A suspect that is answered is
cleared, because it only happened to be running when a target crashed for another
reason.
"""

import trio
import xxhash

from plantainshed_coordination.rumors import ReceivedRumor, RumorBook

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
    """Return a hash that identifies a request when it is repeated."""
    digest = xxhash.xxh3_128()
    for part in (workspace, method, path):
        digest.update(part.encode() + b"\x00")
    digest.update((body or b"")[:HASHED_BODY_BYTES])
    return digest.hexdigest()


class PoisonTracker:
    """Records which requests crashed which targets, shared by rumors."""

    def __init__(self, rumors: RumorBook):
        self.rumors = rumors
        self.crashes: dict[str, dict[tuple[str, str], float]] = {}
        rumors.listeners[CRASH_TOPIC] = self._on_crash
        rumors.listeners[CLEAR_TOPIC] = self._on_clear

    def note_crash(self, fingerprint: str, target: str, isolated: bool):
        """Record that a target crashed while it ran a request.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        target : str
        isolated : bool
            Whether the request ran as a suspect, apart from other suspects.
        """
        if self.rumors.knows(CLEAR_TOPIC, fingerprint):
            return
        isolation = ISOLATED if isolated else SHARED
        name = SEPARATOR.join((fingerprint, isolation, target))
        self.rumors.publish(CRASH_TOPIC, name, ttl_s=CRASH_TTL_S)

    def note_success(self, fingerprint: str):
        """Clear a suspect that was answered, as it does not crash targets."""
        if fingerprint in self.crashes:
            self.rumors.publish(CLEAR_TOPIC, fingerprint, ttl_s=CLEAR_TTL_S)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a target crashed while it ran this request."""
        return bool(self._recent_crashes(fingerprint))

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether this request is refused for now.

        A popular request can be running on several targets when another request
        crashes them, so only crashes during isolated runs count. One such crash is
        not enough, because a poison request that was not a suspect yet can have
        caused it.
        """
        isolated = [
            target
            for isolation, target in self._recent_crashes(fingerprint)
            if isolation == ISOLATED
        ]
        return len(isolated) >= ISOLATED_CRASHES_TO_BLOCK

    def crashed_targets(self, fingerprint: str) -> set[str]:
        """Return the targets that crashed while they ran this request."""
        return {target for _, target in self._recent_crashes(fingerprint)}

    def _recent_crashes(self, fingerprint: str) -> dict[tuple[str, str], float]:
        crashes = self.crashes.get(fingerprint)
        if not crashes:
            return {}
        now = trio.current_time()
        recent = {crash: until for crash, until in crashes.items() if until > now}
        if recent:
            self.crashes[fingerprint] = recent
        else:
            del self.crashes[fingerprint]
        return recent

    def _on_crash(self, name: str, rumor: ReceivedRumor):
        fingerprint, isolation, target = name.split(SEPARATOR)
        self.crashes.setdefault(fingerprint, {})[isolation, target] = rumor.expires_at

    def _on_clear(self, name: str, rumor: ReceivedRumor):
        self.crashes.pop(name, None)
