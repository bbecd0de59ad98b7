"""Admission of requests that another VM, which reaches no target, has admitted."""

from http import HTTPStatus

from .call import Call
from .errors import Refusal
from .reasons import Reason
from .relay_messages import RelayedRequest

# Retry-after while this VM follows an older configuration. It gets a newer one within
# a heartbeat interval.
OUTDATED_RETRY_AFTER_S = 0.4


def require_same_handling(call: Call, relayed: RelayedRequest, version: int):
    """Refuse a request that a newer configuration handles in another way.

    Parameters
    ----------
    call : Call
        The request as this VM's configuration handles it.
    relayed : RelayedRequest
        What the VM that admitted the request selected.
    version : int
        Version of this VM's configuration.
    """
    if version >= relayed.configuration:
        return
    pools = {weighted_pool.pool for weighted_pool in call.route.pools}
    selected = call.route.name, call.workspace_name
    if selected == (relayed.route, relayed.workspace) and relayed.pool in pools:
        return
    raise Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.OUTDATED,
        f"this VM follows version {version}, {relayed.vm} version "
        f"{relayed.configuration}",
        OUTDATED_RETRY_AFTER_S,
    )
