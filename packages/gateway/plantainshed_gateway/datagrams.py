"""Messages between VMs, as datagrams: a tag, then fields by position.

Names of fields are left out because each byte between regions has its price.
"""

import cattrs
import orjson
from attrs import frozen

from .members import Heartbeat


@frozen
class TokenAsk:
    """A VM asks another for tokens of a workspace's quota.

    Parameters
    ----------
    vm : str
        Who asks.
    number : int
        Names the question; the answer bears it.
    workspace : str
    """

    vm: str
    number: int
    workspace: str


@frozen
class TokenLoan:
    """What a VM gives; it has taken the tokens from its own bucket before."""

    number: int
    tokens: float


@frozen
class Roster:
    """Which VMs the sender knows, for one that knows fewer.

    Parameters
    ----------
    ips : dict of str to str
        By VM.
    """

    ips: dict[str, str]


Message = Heartbeat | TokenAsk | TokenLoan | Roster
_BY_TAG = {"h": Heartbeat, "a": TokenAsk, "l": TokenLoan, "r": Roster}
_TAG_OF = {kind: tag for tag, kind in _BY_TAG.items()}
_CONVERTER = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)


def encode(message: Message) -> bytes:
    """Return a message's bytes."""
    return orjson.dumps([_TAG_OF[type(message)], _CONVERTER.unstructure(message)])


def decode(data: bytes) -> Message:
    """Return the message of a datagram, or raise `ValueError`."""
    try:
        tag, fields = orjson.loads(data)
        return _CONVERTER.structure(fields, _BY_TAG[tag])
    except (cattrs.BaseValidationError, TypeError, KeyError, IndexError) as error:
        raise ValueError(f"not a message between VMs: {error!r}") from error
