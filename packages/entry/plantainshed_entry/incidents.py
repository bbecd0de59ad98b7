"""Log of the incidents that this VM observed."""

from collections import deque

import trio
from attrs import define

MAX_INCIDENTS = 200


@define
class Incident:
    """A period during which a fault was observed.

    Parameters
    ----------
    what : str
        Description of the fault.
    began_at : float
        Start time on this process's monotonic clock.
    ended_at : float or None
        End time, or None while the incident is ongoing.
    """

    what: str
    began_at: float
    ended_at: float | None = None

    def as_fields(self) -> dict:
        """Return the incident as plain values, with ages instead of clock times."""
        now = trio.current_time()
        end = now if self.ended_at is None else self.ended_at
        return {
            "what": self.what,
            "began_s_ago": round(now - self.began_at, 1),
            "lasted_s": round(end - self.began_at, 1),
            "is_over": self.ended_at is not None,
        }


class IncidentLog:
    """The most recent incidents, oldest first.

    Attributes
    ----------
    entries : collections.deque of Incident
        At most `MAX_INCIDENTS`.
    """

    def __init__(self):
        self.entries: deque[Incident] = deque(maxlen=MAX_INCIDENTS)
        self._open: dict[str, Incident] = {}

    def observe(self, what: str, is_active: bool):
        """Open an incident when a fault appears and close it when it is gone."""
        incident = self._open.get(what)
        if is_active and incident is None:
            self._open[what] = Incident(what, trio.current_time())
            self.entries.append(self._open[what])
        elif not is_active and incident is not None:
            incident.ended_at = trio.current_time()
            del self._open[what]
