"""Whose request it is and where it goes, before anything is sent."""

import math
from http import HTTPStatus

import trio

from plantainshed_http.messages import RequestHead

from .call import Call
from .errors import BadRequest, Refusal
from .loans import Loans
from .model import Configuration, Route, Workspace
from .ports import CallerRequest, Wire
from .quota import Quotas
from .reasons import Reason
from .splitting import Splitter

# A VM that knows no configuration yet asks again this soon.
NOT_CONFIGURED_RETRY_S = 0.5
# How long after a route's timeout an answer that a target is making is taken.
# With a timeout of 1.2 s and first runs of 1.16 s on average, a fifth of the
# requests of a day with restarts were cut just before their end, and their
# objects stayed cold. Callers still have an answer a quarter of a second after
# the timeout.
GRACE_S = 0.18


class Admission:
    """Finds a request's route, workspace and pool, and takes its quota.

    Attributes
    ----------
    configuration : Configuration or None
        In force here; None before the first is known.
    """

    def __init__(self, wire: Wire, quotas: Quotas, loans: Loans):
        self.wire = wire
        self.quotas = quotas
        self.loans = loans
        self.splitter = Splitter()
        self.configuration: Configuration | None = None

    async def admit(self, head: RequestHead, body: bytes, began_at: float) -> Call:
        """Return the request as a call, or raise `Refusal`."""
        configuration = self._known_configuration()
        request = self._read(head)
        route = configuration.route_for(request.host, request.path)
        if route is None:
            raise Refusal(
                HTTPStatus.NOT_FOUND,
                Reason.NO_ROUTE,
                f"no route of {request.host} serves {request.path}",
            )
        workspace = _workspace_of(request, route, configuration)
        object_key = request.affinity or request.request_id
        caller_s = math.inf if request.deadline_s is None else request.deadline_s
        call = Call(
            head=head,
            request=request,
            route=route,
            workspace=workspace,
            body=body,
            answer_by=began_at + min(caller_s, route.timeout_s),
            wait_until=began_at + min(caller_s, route.timeout_s + GRACE_S),
            pool=self.splitter.choose(route, object_key),
            began_at=began_at,
        )
        await self.take_quota(call.workspace)
        call.taken_at = trio.current_time()
        return call

    def _known_configuration(self) -> Configuration:
        if self.configuration is None:
            # A 404 or 401 would be final for the caller; soon it can be served.
            raise Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Reason.NOT_CONFIGURED,
                "this VM has no configuration yet",
                NOT_CONFIGURED_RETRY_S,
            )
        return self.configuration

    def _read(self, head: RequestHead) -> CallerRequest:
        try:
            return self.wire.read_request(head)
        except BadRequest as error:
            raise Refusal(
                HTTPStatus.BAD_REQUEST, Reason.BAD_REQUEST, str(error)
            ) from error

    async def take_quota(self, workspace: Workspace | None):
        """Take one request from a workspace's quota, or raise `Refusal`."""
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
                f"workspace {workspace.name} is over its rate",
                wait_s,
            )


def _workspace_of(
    request: CallerRequest, route: Route, configuration: Configuration
) -> Workspace | None:
    if route.is_public or not configuration.requires_keys:
        return None
    workspace = configuration.workspace_by_key.get(request.key or "")
    if workspace is None:
        raise Refusal(
            HTTPStatus.UNAUTHORIZED, Reason.UNKNOWN_KEY, "the key is not known"
        )
    return workspace
