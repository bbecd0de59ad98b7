"""Requests that kill the targets that run them, stopped after few.

A request in flight when its target dies is marked, by a fingerprint of method,
path, workspace and body. A fingerprint marked by `TARGETS_TO_STOP` different
targets is refused on every VM for a while. Requests that only happened to be
there are cleared by their first success, and a marked one is tried again only
where no other marked one runs.
"""

import trio
import xxhash

from plantainshed_coordination.rumors import HeardRumor, RumorBook

MARK_TOPIC = "crash-mark"
CLEAR_TOPIC = "crash-clear"
TARGETS_TO_STOP = 2
MARK_TTL_S = 120.0
CLEAR_TTL_S = 60.0
REMEMBERED_BODY_BYTES = 64 * 1024
SEPARATOR = "/"


def fingerprint(workspace: str, method: str, path: str, body: bytes | None) -> str:
    """Return what recognises the same request when it is sent again."""
    digest = xxhash.xxh3_128()
    for part in (workspace, method, path):
        digest.update(part.encode() + b"\x00")
    digest.update((body or b"")[:REMEMBERED_BODY_BYTES])
    return digest.hexdigest()


class PoisonBook:
    """Which fingerprints are under suspicion, and which are stopped."""

    def __init__(self, rumors: RumorBook):
        self.rumors = rumors
        self.marks: dict[str, dict[str, float]] = {}
        rumors.listeners[MARK_TOPIC] = self._on_mark
        rumors.listeners[CLEAR_TOPIC] = self._on_clear

    def note_crash(self, mark: str, target: str):
        """Note that a target died while it ran a request."""
        if self.rumors.knows(CLEAR_TOPIC, mark):
            return
        self.rumors.begin(MARK_TOPIC, mark + SEPARATOR + target, ttl_s=MARK_TTL_S)

    def note_success(self, mark: str):
        """Note that a request was answered: it is not what kills targets."""
        if mark in self.marks:
            self.rumors.begin(CLEAR_TOPIC, mark, ttl_s=CLEAR_TTL_S)

    def is_marked(self, mark: str) -> bool:
        """Tell whether a target died while it ran such a request."""
        return bool(self._fresh_marks(mark))

    def is_stopped(self, mark: str) -> bool:
        """Tell whether such requests are refused for now."""
        return len(self._fresh_marks(mark)) >= TARGETS_TO_STOP

    def targets_marked_by(self, mark: str) -> set[str]:
        """Return the targets that died while they ran such a request."""
        return set(self._fresh_marks(mark))

    def _fresh_marks(self, mark: str) -> dict[str, float]:
        marks = self.marks.get(mark)
        if not marks:
            return {}
        now = trio.current_time()
        fresh = {target: until for target, until in marks.items() if until > now}
        if fresh:
            self.marks[mark] = fresh
        else:
            del self.marks[mark]
        return fresh

    def _on_mark(self, name: str, rumor: HeardRumor):
        mark, _, target = name.partition(SEPARATOR)
        self.marks.setdefault(mark, {})[target] = rumor.expires_at

    def _on_clear(self, name: str, rumor: HeardRumor):
        self.marks.pop(name, None)
