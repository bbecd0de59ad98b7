"""What was wrong, and for how long, as this VM saw it."""

from collections import deque

import trio
from attrs import define

MAX_INCIDENTS = 200


@define
class Incident:
    """Something that was wrong for a while.

    Parameters
    ----------
    what : str
    began_at : float
        By this process's clock.
    ended_at : float or None
        None while it goes on.
    """

    what: str
    began_at: float
    ended_at: float | None = None

    def as_fields(self) -> dict:
        """Return the incident with ages in seconds instead of clock times."""
        now = trio.current_time()
        end = now if self.ended_at is None else self.ended_at
        return {
            "what": self.what,
            "began_s_ago": round(now - self.began_at, 1),
            "lasted_s": round(end - self.began_at, 1),
            "is_over": self.ended_at is not None,
        }


class IncidentLog:
    """The newest incidents, oldest first."""

    def __init__(self):
        self.entries: deque[Incident] = deque(maxlen=MAX_INCIDENTS)
        self._open: dict[str, Incident] = {}

    def observe(self, what: str, is_active: bool):
        """Take in whether something is wrong at present."""
        incident = self._open.get(what)
        if is_active and incident is None:
            self._open[what] = Incident(what, trio.current_time())
            self.entries.append(self._open[what])
        elif not is_active and incident is not None:
            incident.ended_at = trio.current_time()
            del self._open[what]
