"""Messages between VMs, as datagrams: a tag, then fields by position.

Names of fields are left out, and long messages compressed, because each byte
between regions has its price: news of 13 VMs and 80 workspaces takes a quarter.
"""

import zlib

import cattrs
import orjson
from attrs import frozen

from .heartbeats import Bundle, DomainNews, Heartbeat, Use, UseSummary


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
    most : float
        Tokens that it can use.
    kept : float
        Tokens that the other keeps for its own callers.
    """

    vm: str
    number: int
    workspace: str
    most: float = 1.0
    kept: float = 0.0


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
    vms : dict of str to (str, str)
        IP address and failure domain, by VM.
    """

    vms: dict[str, tuple[str, str]]


Message = Heartbeat | DomainNews | Bundle | TokenAsk | TokenLoan | Roster
_BY_TAG = {
    "h": Heartbeat,
    "n": DomainNews,
    "b": Bundle,
    "a": TokenAsk,
    "l": TokenLoan,
    "r": Roster,
}
# From here on a message shrinks by more than half (2.3 KB to 0.9, 4.5 KB to 1.1)
# for 8 to 53 us of processor time.
COMPRESSED_FROM_BYTES = 600
COMPRESSION_LEVEL = 1
ZLIB_START = b"\x78"
# Bounds what a forged datagram can unpack to.
MOST_PLAIN_BYTES = 1_000_000
_TAG_OF = {kind: tag for tag, kind in _BY_TAG.items()}
_CONVERTER = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)


# Uses of quotas are most of each message. By hand a heartbeat with 80 of them is
# decoded in 0.18 ms, by the converter alone in 0.33; a VM of a domain of 13 takes
# in 24 of them a second.
_CONVERTER.register_unstructure_hook(
    Use, lambda usage: (usage.demand, usage.share, usage.level)
)
_CONVERTER.register_unstructure_hook(
    UseSummary,
    lambda usage: (usage.demand, usage.share, usage.kept, usage.level, usage.lender),
)
_CONVERTER.register_structure_hook(Bundle, lambda fields, _: _bundle(fields))
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, Use], lambda fields, _: _by_name(fields, _use)
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, UseSummary],
    lambda fields, _: _by_name(fields, _use_summary),
)
# What the converter raises on fields of another shape than a message's.
_NOT_A_MESSAGE = (
    cattrs.BaseValidationError,
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
)


@frozen
class PackedNews:
    """News as it came in a bundle: most is known already and not decoded.

    Parameters
    ----------
    fields : list
        Of a `DomainNews`, by position.
    """

    fields: list

    @property
    def failure_domain(self) -> str:
        """Whose news it is."""
        return self.fields[0]

    @property
    def speaker(self) -> str:
        """VM that told it."""
        return self.fields[2]

    @property
    def order(self) -> tuple[int, int]:
        """Incarnation and number."""
        return self.fields[3], self.fields[4]

    def unpack(self) -> DomainNews:
        """Return the news, or raise `ValueError`."""
        try:
            return _CONVERTER.structure(self.fields, DomainNews)
        except _NOT_A_MESSAGE as error:
            raise ValueError(f"not news of a failure domain: {error!r}") from error


def _bundle(fields) -> Bundle:
    """Return a bundle whose news can be told apart without being decoded."""
    (packed,) = fields
    news = tuple(PackedNews(list(item)) for item in packed)
    for item in news:
        if not (isinstance(item.failure_domain, str) and isinstance(item.speaker, str)):
            raise TypeError("news must name a failure domain and its speaker")
        if not all(isinstance(number, int) for number in item.order):
            raise TypeError("news must have whole numbers")
    return Bundle(news)


def encode(message: Message) -> bytes:
    """Return a message's bytes."""
    data = orjson.dumps([_TAG_OF[type(message)], _CONVERTER.unstructure(message)])
    if len(data) < COMPRESSED_FROM_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode(data: bytes) -> Message:
    """Return the message of a datagram, or raise `ValueError`."""
    try:
        tag, fields = orjson.loads(_decompressed(data))
        return _CONVERTER.structure(fields, _BY_TAG[tag])
    except _NOT_A_MESSAGE as error:
        raise ValueError(f"not a message between VMs: {error!r}") from error


def _by_name(fields, decode_value) -> dict:
    return {str(name): decode_value(value) for name, value in fields.items()}


def _use(value) -> Use:
    demand, share, level = value
    return Use(float(demand), float(share), float(level))


def _use_summary(value) -> UseSummary:
    demand, share, kept, level, lender = value
    return UseSummary(
        float(demand), float(share), float(kept), float(level), str(lender)
    )


def _decompressed(data: bytes) -> bytes:
    if not data.startswith(ZLIB_START):
        return data
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MOST_PLAIN_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a compressed message: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError(f"longer than {MOST_PLAIN_BYTES} bytes when decompressed")
    return plain
