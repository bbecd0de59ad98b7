"""What VMs tell each other about a request that one forwards for the other.

It is in headers that are added to the caller's request and to the target's answer.
"""

import math

import orjson
from attrs import asdict, frozen

from plantainshed_http.messages import Headers, RequestHead, ResponseHead

from .errors import BadRequest
from .reasons import Reason

RELAY_HEADER = b"plantainshed-relay"
REFUSED_HEADER = b"plantainshed-relay-refused"
CONFIGURATION_HEADER = b"plantainshed-relay-configuration"
RELAY_HEADERS = frozenset({RELAY_HEADER, REFUSED_HEADER, CONFIGURATION_HEADER})


@frozen
class RelayedRequest:
    """What a VM tells another one about a request that it is to forward.

    Parameters
    ----------
    vm : str
        The VM that admitted the request.
    deadline_s, cancel_s : float
        Time left until the request's deadline and until it is cancelled.
    attempts : int
        Number of attempts so far.
    configuration : int
        Version of the newest configuration that this VM's requests were handled with.
    route, pool : str
        Names of the route and pool that this VM selected.
    workspace : str or None
        Name of the workspace that it found.
    """

    vm: str
    deadline_s: float
    cancel_s: float
    attempts: int
    configuration: int
    route: str
    pool: str
    workspace: str | None

    def encode(self) -> bytes:
        """Return the value of the header."""
        return orjson.dumps(asdict(self))

    @classmethod
    def decode(cls, text: str) -> "RelayedRequest":
        """Decode the value of the header, or raise `BadRequest`."""
        try:
            fields = orjson.loads(text)
            request = cls(
                str(fields["vm"]),
                float(fields["deadline_s"]),
                float(fields["cancel_s"]),
                int(fields["attempts"]),
                int(fields["configuration"]),
                str(fields["route"]),
                str(fields["pool"]),
                fields["workspace"] and str(fields["workspace"]),
            )
        except (ValueError, TypeError, KeyError) as error:
            raise BadRequest(f"{RELAY_HEADER.decode()}: {error!r}") from error
        if not (math.isfinite(request.deadline_s) and math.isfinite(request.cancel_s)):
            raise BadRequest(f"{RELAY_HEADER.decode()}: times must be finite")
        return request


def split_relayed(head: RequestHead) -> tuple[RequestHead, RelayedRequest | None]:
    """Return a request as its caller sent it, and what the other VM added.

    The second part is None if it comes from no VM. Raises `BadRequest`.
    """
    text = head.header(RELAY_HEADER)
    if text is None:
        return head, None
    headers = [(k, v) for k, v in head.headers if k not in RELAY_HEADERS]
    original = RequestHead(head.method, head.target, headers)
    return original, RelayedRequest.decode(text)


def refusal_marks(reason: Reason) -> Headers:
    """Return the headers that tell a refusal from a target's answer."""
    return [(REFUSED_HEADER, reason.encode())]


def configuration_mark(version: int) -> Headers:
    """Return the header that names the configuration that was used."""
    return [(CONFIGURATION_HEADER, b"%d" % version)]


def without_relay_headers(head: ResponseHead) -> ResponseHead:
    """Return an answer's head as the target sent it."""
    kept = [(k, v) for k, v in head.headers if k not in RELAY_HEADERS]
    return ResponseHead(head.status, kept)
