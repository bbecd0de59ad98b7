"""A caller's request on its way through the daemon."""

import trio
from attrs import define, field

from plantainshed_coordination.operations import OperationId
from plantainshed_model.document import Pool

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@define
class Call:
    """One request, admitted or about to be.

    Parameters
    ----------
    request_id : str
        For logs and for the caller.
    method, path : str
    workspace : str
    key_id : str
        Public part of the key that it carried.
    pool : Pool
    home_domain : str
        Failure domain that the caller's block is near; empty if unknown.
    deadline : float
        When the caller stops waiting, by this process's clock.
    operation : OperationId, optional
    body : bytes or None
        The whole body when it is small enough to be sent again.
    exchange : Exchange or None
        The caller's connection.
    may_have_run : bool
        Whether an earlier attempt ended without saying whether it ran.
    counted_shift : str
        Shift under whose cap it was counted.
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
        """Whether running it twice does no harm, by its method."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def seconds_left(self) -> float:
        """Time until the deadline."""
        return self.deadline - trio.current_time()
