"""Heads of HTTP requests and responses, and the default limits."""

from attrs import frozen

MAX_HEAD_BYTES = 32 * 1024
READ_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
LINGER_BYTES = 256 * 1024
LINGER_TIMEOUT_S = 1.0

# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

Headers = list[tuple[bytes, bytes]]


@frozen
class RequestHead:
    """Method, request target and headers of a request.

    Parameters
    ----------
    method : str
    target : str
        Path and query, exactly as received.
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    method: str
    target: str
    headers: Headers

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with this name, or None."""
        return header_value(self.headers, name)


@frozen
class ResponseHead:
    """Status code and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with this name, or None."""
        return header_value(self.headers, name)


def header_value(headers: Headers, name: bytes) -> str | None:
    """Return the value of the first header with this name, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection only.

    These are the headers in `HOP_BY_HOP` and those that the Connection header
    names.
    """
    connection_options = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in connection_options
    ]
