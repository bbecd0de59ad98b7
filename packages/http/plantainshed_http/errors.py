"""Errors of the HTTP layer; `h11` and socket errors never leave it."""


class HttpError(Exception):
    """Base of the HTTP layer's errors."""


class BadMessage(HttpError):
    """The other side sent something that is not acceptable HTTP.

    Parameters
    ----------
    status : int
        Status that a server answers with.
    reason : str
        What was wrong, for the person who sent it.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class UnsendableRequest(BadMessage):
    """A request that HTTP does not allow; nothing of it was sent.

    It is a `BadMessage` for servers that pass on what a caller sent: the fault
    is the caller's, and the answer 400.
    """

    def __init__(self, reason):
        super().__init__(400, reason)


class ConnectFailed(HttpError):
    """No connection could be opened; nothing was sent."""


class ConnectionBroken(HttpError):
    """The other side went away in the middle of an exchange."""


class CallerDisconnected(HttpError):
    """A server's caller went away before its exchange had ended."""
