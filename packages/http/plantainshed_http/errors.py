"""Errors of the HTTP layer.

The client raises these in place of `h11` and socket errors; the server turns
`h11` errors into `BadMessage`.
"""


class HttpError(Exception):
    """Base class of all errors of the HTTP layer."""


class BadMessage(HttpError):
    """The peer sent a message that is invalid or not accepted.

    Parameters
    ----------
    status : int
        Status code of the server's error response.
    reason : str
        Description of the problem, sent to the caller.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class UnsendableRequest(BadMessage):
    """The request is not valid HTTP; none of it was sent.

    This is a `BadMessage` because a server that forwards a caller's request
    responds to that caller with status 400.
    """

    def __init__(self, reason):
        super().__init__(400, reason)


class ConnectFailed(HttpError):
    """The connection could not be opened; nothing was sent."""


class ConnectionBroken(HttpError):
    """The connection failed during an exchange, or the response came too late."""


class CallerDisconnected(HttpError):
    """The caller can't receive a complete response.

    It disconnected before the end of its exchange, or the response failed after
    it had begun.
    """
