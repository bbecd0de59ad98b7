"""Messages between VMs, as datagrams: a tag, then fields by position.

Names of fields are left out, and long messages compressed, because each byte
between regions has its price: news of 13 VMs and 80 workspaces takes a quarter.
"""

import zlib

import cattrs
import orjson
from attrs import frozen

from .heartbeats import (
    DomainSummary,
    Heartbeat,
    QuotaUsage,
    SummaryBundle,
    UsageSummary,
)


@frozen
class TokenRequest:
    """A VM asks another for tokens of a workspace's quota.

    Parameters
    ----------
    vm : str
        Who asks.
    number : int
        Names the question; the answer bears it.
    workspace : str
    max_tokens : float
        Tokens that it can use.
    reserved : float
        Tokens that the other keeps for its own callers.
    """

    vm: str
    number: int
    workspace: str
    max_tokens: float = 1.0
    reserved: float = 0.0


@frozen
class TokenLoan:
    """What a VM gives; it has taken the tokens from its own bucket before."""

    number: int
    tokens: float


@frozen
class MemberList:
    """Which VMs the sender knows, for one that knows fewer.

    Parameters
    ----------
    vms : dict of str to (str, str)
        IP address and failure domain, by VM.
    """

    vms: dict[str, tuple[str, str]]


Message = (
    Heartbeat | DomainSummary | SummaryBundle | TokenRequest | TokenLoan | MemberList
)
_BY_TAG = {
    "h": Heartbeat,
    "n": DomainSummary,
    "b": SummaryBundle,
    "a": TokenRequest,
    "l": TokenLoan,
    "r": MemberList,
}
# From here on a message shrinks by more than half (2.3 KB to 0.9, 4.5 KB to 1.1)
# for 8 to 53 us of processor time.
COMPRESSION_THRESHOLD_BYTES = 600
COMPRESSION_LEVEL = 1
ZLIB_HEADER = b"\x78"
# Bounds what a forged datagram can unpack to.
MAX_DECOMPRESSED_BYTES = 1_000_000
_TAG_OF = {kind: tag for tag, kind in _BY_TAG.items()}
_CONVERTER = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)


# Uses of quotas are most of each message. By hand a heartbeat with 80 of them is
# decoded in 0.18 ms, by the converter alone in 0.33; a VM of a domain of 13 takes
# in 24 of them a second.
_CONVERTER.register_unstructure_hook(
    QuotaUsage, lambda usage: (usage.demand, usage.share, usage.level)
)
_CONVERTER.register_unstructure_hook(
    UsageSummary,
    lambda usage: (
        usage.demand,
        usage.share,
        usage.silent_share,
        usage.level,
        usage.lender,
    ),
)
_CONVERTER.register_structure_hook(
    SummaryBundle, lambda fields, _: _structure_bundle(fields)
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, QuotaUsage],
    lambda fields, _: _structure_by_name(fields, _structure_usage),
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, UsageSummary],
    lambda fields, _: _structure_by_name(fields, _structure_usage_summary),
)
# What the converter raises on fields of another shape than a message's.
_DECODING_ERRORS = (
    cattrs.BaseValidationError,
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
)


@frozen
class PackedSummary:
    """News as it came in a bundle: most is known already and not decoded.

    Parameters
    ----------
    fields : list
        Of a `DomainSummary`, by position.
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
    def version(self) -> tuple[int, int]:
        """Incarnation and number."""
        return self.fields[3], self.fields[4]

    def unpack(self) -> DomainSummary:
        """Return the news, or raise `ValueError`."""
        try:
            return _CONVERTER.structure(self.fields, DomainSummary)
        except _DECODING_ERRORS as error:
            raise ValueError(f"not news of a failure domain: {error!r}") from error


def _structure_bundle(fields) -> SummaryBundle:
    """Return a bundle whose news can be told apart without being decoded."""
    (packed,) = fields
    summaries = tuple(PackedSummary(list(item)) for item in packed)
    for item in summaries:
        if not (isinstance(item.failure_domain, str) and isinstance(item.speaker, str)):
            raise TypeError("news must name a failure domain and its speaker")
        if not all(isinstance(number, int) for number in item.version):
            raise TypeError("news must have whole numbers")
    return SummaryBundle(summaries)


def encode(message: Message) -> bytes:
    """Return a message's bytes."""
    data = orjson.dumps([_TAG_OF[type(message)], _CONVERTER.unstructure(message)])
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode(data: bytes) -> Message:
    """Return the message of a datagram, or raise `ValueError`."""
    try:
        tag, fields = orjson.loads(_decompress(data))
        return _CONVERTER.structure(fields, _BY_TAG[tag])
    except _DECODING_ERRORS as error:
        raise ValueError(f"not a message between VMs: {error!r}") from error


def _structure_by_name(fields, decode_value) -> dict:
    return {str(name): decode_value(value) for name, value in fields.items()}


def _structure_usage(value) -> QuotaUsage:
    demand, share, level = value
    return QuotaUsage(float(demand), float(share), float(level))


def _structure_usage_summary(value) -> UsageSummary:
    demand, share, silent_share, level, lender = value
    return UsageSummary(
        float(demand), float(share), float(silent_share), float(level), str(lender)
    )


def _decompress(data: bytes) -> bytes:
    if not data.startswith(ZLIB_HEADER):
        return data
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a compressed message: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError(
            f"longer than {MAX_DECOMPRESSED_BYTES} bytes when decompressed"
        )
    return plain
