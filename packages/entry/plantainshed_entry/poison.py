"""Requests that kill the targets that run them, stopped after few.

A request in flight when its target dies is marked, by a fingerprint of method,
path, workspace and body. From then on it runs only where no other marked one
does. If `DEATHS_ALONE` more targets die of it there, it is refused on every VM
for a while.
Requests that only happened to be there are cleared by their first success.
"""

import trio
import xxhash

from plantainshed_coordination.rumors import HeardRumor, RumorBook

MARK_TOPIC = "crash-mark"
CLEAR_TOPIC = "crash-clear"
DEATHS_ALONE = 2
ALONE = "alone"
TOGETHER = "together"
MARK_TTL_S = 120.0
CLEAR_TTL_S = 60.0
REMEMBERED_BODY_BYTES = 64 * 1024
SEPARATOR = "/"


def compute_fingerprint(
    workspace: str, method: str, path: str, body: bytes | None
) -> str:
    """Return what recognises the same request when it is sent again."""
    digest = xxhash.xxh3_128()
    for part in (workspace, method, path):
        digest.update(part.encode() + b"\x00")
    digest.update((body or b"")[:REMEMBERED_BODY_BYTES])
    return digest.hexdigest()


class PoisonTracker:
    """Which fingerprints are under suspicion, and which are stopped."""

    def __init__(self, rumors: RumorBook):
        self.rumors = rumors
        self.marks: dict[str, dict[tuple[str, str], float]] = {}
        rumors.listeners[MARK_TOPIC] = self._on_mark
        rumors.listeners[CLEAR_TOPIC] = self._on_clear

    def note_crash(self, mark: str, target: str, alone: bool):
        """Note that a target died while it ran a request.

        Parameters
        ----------
        mark : str
            The request's fingerprint.
        target : str
        alone : bool
            Whether it ran there as a marked one, away from all others.
        """
        if self.rumors.knows(CLEAR_TOPIC, mark):
            return
        how = ALONE if alone else TOGETHER
        name = SEPARATOR.join((mark, how, target))
        self.rumors.publish(MARK_TOPIC, name, ttl_s=MARK_TTL_S)

    def note_success(self, mark: str):
        """Note that a request was answered: it is not what kills targets."""
        if mark in self.marks:
            self.rumors.publish(CLEAR_TOPIC, mark, ttl_s=CLEAR_TTL_S)

    def is_marked(self, mark: str) -> bool:
        """Tell whether a target died while it ran such a request."""
        return bool(self._fresh_marks(mark))

    def is_stopped(self, mark: str) -> bool:
        """Tell whether such requests are refused for now.

        A popular request can be in several targets when they die of others;
        what counts are deaths that it was alone for. One of those can still be
        another's fault, of a killer that was not marked yet.
        """
        alone = [target for how, target in self._fresh_marks(mark) if how == ALONE]
        return len(alone) >= DEATHS_ALONE

    def targets_marked_by(self, mark: str) -> set[str]:
        """Return the targets that died while they ran such a request."""
        return {target for _, target in self._fresh_marks(mark)}

    def _fresh_marks(self, mark: str) -> dict[tuple[str, str], float]:
        marks = self.marks.get(mark)
        if not marks:
            return {}
        now = trio.current_time()
        fresh = {death: until for death, until in marks.items() if until > now}
        if fresh:
            self.marks[mark] = fresh
        else:
            del self.marks[mark]
        return fresh

    def _on_mark(self, name: str, rumor: HeardRumor):
        mark, how, target = name.split(SEPARATOR)
        self.marks.setdefault(mark, {})[how, target] = rumor.expires_at

    def _on_clear(self, name: str, rumor: HeardRumor):
        self.marks.pop(name, None)
