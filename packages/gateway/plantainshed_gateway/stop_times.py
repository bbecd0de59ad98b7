"""Which requests a stopping VM still accepts, and when it cancels the rest."""

from attrs import frozen

from plantainshed_http.server import STOP_GRACE_S

# Fraction of the stop time in which requests are accepted, because callers cache
# look-ups, some of them for three times the TTL. Requests in the second half might not
# finish in time, so other VMs must serve them.
ACCEPT_FRACTION = 0.5
# How long requests are accepted whatever their time limit is. The platform allows that
# requests sent up to 3 s after the signal are cut off at the end of the stop.
ACCEPT_ANY_S = 2.8
# Fraction of the stop time after which requests that still run are cancelled.
CANCEL_FRACTION = 0.93
# Time that it takes to send the answer to a request that has reached its time limit.
ANSWER_S = 0.1


@frozen
class StopTimes:
    """The schedule of a shutdown.

    Parameters
    ----------
    began_at : float
        When the stop was requested.
    within_s : float
        Time until the process is killed.
    """

    began_at: float
    within_s: float

    @property
    def accepts_connections_until(self) -> float:
        """When the VM stops accepting new connections.

        Kept-alive connections may begin a request for `STOP_GRACE_S` longer, so that
        time is subtracted. Otherwise a request that arrives at the end of it could wait
        in a target's queue until the stop time runs out, and be aborted while the
        target runs it.
        """
        return self.began_at + max(0.0, ACCEPT_FRACTION * self.within_s - STOP_GRACE_S)

    @property
    def accepts_requests_until(self) -> float:
        """When the VM stops accepting requests."""
        return self.accepts_connections_until + STOP_GRACE_S

    @property
    def cancels_at(self) -> float:
        """When requests that still run are cancelled."""
        return self.began_at + CANCEL_FRACTION * self.within_s

    def can_finish(self, now: float, request_ends_at: float) -> bool:
        """Return whether a request that is read now may be sent to a target.

        Parameters
        ----------
        now : float
        request_ends_at : float
            Time limit of the request, by its route and its caller.
        """
        if now <= self.began_at + ACCEPT_ANY_S:
            return True
        return request_ends_at + ANSWER_S <= self.cancels_at
