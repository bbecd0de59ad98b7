"""State of a caller's request while the daemon processes it."""

import trio
from attrs import define, field

from plantainshed_coordination.operations import OperationId
from plantainshed_model.document import Pool

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@define
class Call:
    """A request that is admitted or being admitted.

    Parameters
    ----------
    request_id : str
        Identifies the request in logs and to the caller.
    method, path : str
    workspace : str
    key_id : str
        Public part of the key that the request carries.
    pool : Pool
    home_domain : str
        Failure domain that is nearest to the caller's block; empty if unknown.
    deadline : float
        When the caller stops waiting, in the time of this process's clock.
    operation : OperationId, optional
    body : bytes or None
        The whole body if it is small enough to be sent again.
    exchange : Exchange or None
        The caller's connection.
    may_have_run : bool
        Whether an attempt failed without a known outcome.
    counted_shift : str
        Name of the shift whose cap the request was counted against.
    """

    request_id: str
    method: str
    path: str
    workspace: str
    key_id: str
    pool: Pool
    home_domain: str
    deadline: float
    operation: OperationId | None = None
    body: bytes | None = None
    exchange: object | None = None
    fingerprint: str = ""
    attempts: int = 0
    may_have_run: bool = False
    counted_shift: str = ""
    began_at: float = field(factory=trio.current_time)
    cancel_scope: trio.CancelScope | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the method is idempotent, so that running it twice is harmless."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()
