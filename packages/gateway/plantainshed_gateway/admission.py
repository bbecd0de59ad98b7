"""Request admission: finds the route, workspace and pool, and applies the quota."""

import math
from http import HTTPStatus

from plantainshed_http.messages import RequestHead

from .call import Call
from .errors import BadRequest, Refusal
from .loans import Loans
from .model import Configuration, Route, Workspace
from .ports import CallerRequest, Wire
from .quota import Quotas
from .reasons import Reason
from .splitting import Splitter

# Retry-after of a VM that has no configuration yet.
NOT_CONFIGURED_RETRY_S = 0.5
# How long after a route's timeout a target's answer is still accepted. Without this
# grace period, with a timeout of 1.2 s and first runs of 1.16 s on average, a fifth
# of the requests of a day with restarts were cancelled just before they finished, and
# their objects stayed cold. Callers still get an answer within a quarter of a second
# after the timeout.
TIMEOUT_GRACE_S = 0.18


class Admission:
    """Finds a request's route, workspace and pool, and takes a quota token.

    Attributes
    ----------
    configuration : Configuration or None
        Configuration in force on this VM; None until the first one is loaded.
    """

    def __init__(self, wire: Wire, quotas: Quotas, loans: Loans):
        self.wire = wire
        self.quotas = quotas
        self.loans = loans
        self.splitter = Splitter()
        self.configuration: Configuration | None = None

    def make_call(self, head: RequestHead, body: bytes, began_at: float) -> Call:
        """Return a request with its route and workspace, or raise `Refusal`.

        It may be sent to targets once `take_quota` has returned.
        """
        configuration = self._require_configuration()
        request = self._read_request(head)
        route = configuration.route_for(request.host, request.path)
        if route is None:
            raise Refusal(
                HTTPStatus.NOT_FOUND,
                Reason.NO_ROUTE,
                f"no route of {request.host} serves {request.path}",
            )
        workspace = _find_workspace(request, route, configuration)
        object_key = request.affinity or request.request_id
        caller_timeout_s = (
            math.inf if request.deadline_s is None else request.deadline_s
        )
        return Call(
            head=head,
            request=request,
            route=route,
            workspace=workspace,
            body=body,
            deadline=began_at + min(caller_timeout_s, route.timeout_s),
            cancel_at=began_at
            + min(caller_timeout_s, route.timeout_s + TIMEOUT_GRACE_S),
            pool=self.splitter.choose(route, object_key),
            began_at=began_at,
        )

    def _require_configuration(self) -> Configuration:
        if self.configuration is None:
            # The request may succeed shortly. The caller would not retry after a 404
            # or 401.
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.NOT_CONFIGURED,
                "this VM has no configuration yet",
                NOT_CONFIGURED_RETRY_S,
            )
        return self.configuration

    def _read_request(self, head: RequestHead) -> CallerRequest:
        try:
            return self.wire.read_request(head)
        except BadRequest as error:
            raise Refusal(
                HTTPStatus.BAD_REQUEST, Reason.BAD_REQUEST, str(error)
            ) from error

    async def take_quota(self, workspace: Workspace | None):
        """Take one token from a workspace's quota, or raise `Refusal`."""
        if workspace is None:
            return
        wait_s = self.quotas.admit(workspace)
        if wait_s is not None:
            await self.loans.borrow(workspace)
            wait_s = self.quotas.take_token(workspace)
        if wait_s is None:
            await self.loans.prefetch(workspace)
        else:
            raise Refusal(
                HTTPStatus.TOO_MANY_REQUESTS,
                Reason.OVER_QUOTA,
                f"workspace {workspace.name} exceeds its rate limit",
                wait_s,
            )


def _find_workspace(
    request: CallerRequest, route: Route, configuration: Configuration
) -> Workspace | None:
    if route.is_public or not configuration.requires_keys:
        return None
    workspace = configuration.workspace_by_key.get(request.key or "")
    if workspace is None:
        raise Refusal(HTTPStatus.UNAUTHORIZED, Reason.UNKNOWN_KEY, "unknown API key")
    return workspace
