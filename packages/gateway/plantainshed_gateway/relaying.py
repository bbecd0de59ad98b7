"""Forwarding of requests through other VMs while this VM reaches no target.

The request is sent to the control address of a VM that reaches the targets, as the
caller sent it, with one more header. That VM finds the route and checks the key again
with its own configuration, and sends the request to targets as if its own caller had
sent it. It takes no quota token, because this VM has taken one, and never forwards the
request to a third VM. Its answer is the target's, or a refusal that says whether a
target may have run the request.
"""

import contextlib
from http import HTTPStatus

import orjson
import trio

from plantainshed_http.client import ClientConnection, connected
from plantainshed_http.errors import ConnectFailed, HttpError
from plantainshed_http.messages import ResponseHead, end_to_end_headers
from plantainshed_http.server import Exchange

from .answers import send_answer
from .call import Call
from .errors import AttemptFailed
from .forwarding import Answer, buffer_body
from .logs import DecisionLog
from .memory_budget import MemoryBudget, Reservation
from .reasons import Reason
from .relay_choice import RelayChoice, RelayVm
from .relay_messages import (
    CONFIGURATION_HEADER,
    REFUSED_HEADER,
    RELAY_HEADER,
    RELAY_HEADERS,
    RelayedRequest,
    without_relay_headers,
)
from .selection.round_trips import RoundTrips

# Maximum number of VMs that are asked to forward one request. More than one is needed
# until a cut of many VMs is known everywhere.
MAX_RELAYS = 4
# Maximum number of VMs without room at the targets that are asked for one request. All
# VMs may be without room, and asking costs them time.
MAX_RELAYS_WITHOUT_ROOM = 2
# Time allowed for a busy VM to accept a connection, in addition to the round trips.
ACCEPT_TIMEOUT_S = 0.2
# Statuses of refusals of requests that have not run and never will.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.NOT_FOUND,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
# Refusals that concern the VM that was asked; another one may forward the request.
REASONS_TO_ASK_ANOTHER_VM = frozenset(
    {
        Reason.CUT_OFF,
        Reason.NOT_CONFIGURED,
        Reason.NO_MEMORY,
        Reason.NO_ROUTE,
        Reason.OUTDATED,
        Reason.RELAY_FAILED,
        Reason.STOPPING,
        Reason.UNKNOWN_KEY,
        Reason.WAS_PAUSED,
    }
)
# Those of them that concern all requests.
REASONS_TO_AVOID_VM = frozenset(
    {
        Reason.CUT_OFF,
        Reason.NOT_CONFIGURED,
        Reason.RELAY_FAILED,
        Reason.STOPPING,
        Reason.WAS_PAUSED,
    }
)


class Relaying:
    """Has other VMs forward requests of this VM.

    Parameters
    ----------
    vm : str
    control_port : str
        The same on all VMs.
    choice : RelayChoice
    round_trips : RoundTrips
    log : DecisionLog
    answer_memory : MemoryBudget

    Attributes
    ----------
    newest_configuration : int
        Newest version with which a request was forwarded.
    """

    def __init__(
        self,
        vm: str,
        control_port: str,
        choice: RelayChoice,
        round_trips: RoundTrips,
        log: DecisionLog,
        answer_memory: MemoryBudget,
    ):
        self.vm = vm
        self.answer_memory = answer_memory
        self.log = log
        self.control_port = control_port
        self.choice = choice
        self.round_trips = round_trips
        self.newest_configuration = 0

    async def attempt(
        self, exchange: Exchange, call: Call, configuration: int
    ) -> ResponseHead | AttemptFailed:
        """Have a request answered through another VM.

        Returns
        -------
        ResponseHead or AttemptFailed
            The head of the answer that the caller got, or why there was none.
        """
        failure = AttemptFailed(
            Reason.CUT_OFF, "no VM is known that reaches the targets", False, True
        )
        excluded: set[str] = set()
        without_room = 0
        for _ in range(MAX_RELAYS):
            relay = self.choice.choose(call.home_regions, excluded)
            if relay is None:
                break
            excluded.add(relay.vm)
            call.tried.append(relay.vm)
            try:
                async with self.forward(call, relay, configuration) as answer:
                    await send_answer(exchange, answer)
                return answer.head
            except AttemptFailed as error:
                failure = error
            self._note_failure(call, relay, failure)
            if failure.may_have_run:
                break
            if failure.reason is Reason.NO_ROOM:
                without_room += 1
                if without_room == MAX_RELAYS_WITHOUT_ROOM:
                    break
            elif failure.reason not in REASONS_TO_ASK_ANOTHER_VM:
                break
        return failure

    def _note_failure(self, call: Call, relay: RelayVm, failure: AttemptFailed):
        if failure.reason in REASONS_TO_AVOID_VM:
            self.choice.avoid(relay.vm)
        elif failure.reason is Reason.NO_ROOM:
            self.choice.note_no_room(relay.vm)
        self.log.event(
            "not answered through another vm",
            request_id=call.request.request_id,
            route=call.route.name,
            peer=relay.vm,
            reason=failure.reason,
            problem=str(failure),
            may_have_run=failure.may_have_run,
        )

    @contextlib.asynccontextmanager
    async def forward(self, call: Call, relay: RelayVm, configuration: int):
        """Yield the answer to a request that another VM forwards.

        Raises `AttemptFailed`.
        """
        self.choice.in_flight[relay.vm] += 1
        timeout_s = ACCEPT_TIMEOUT_S + self.round_trips.wait_s(relay.failure_domain)
        address = f"{relay.ip}:{self.control_port}"
        is_sent = False
        try:
            # A new connection for each request: a kept one may have gone silent, and
            # a request that is lost on it could not be sent to another VM.
            async with connected(address, timeout_s) as connection:
                is_sent = True
                await self._send(call, connection, configuration)
                with self.answer_memory.reservation() as memory:
                    yield await self._read(connection, memory)
        except ConnectFailed as error:
            raise AttemptFailed(Reason.RELAY_FAILED, str(error), False, True) from error
        except HttpError as error:
            raise AttemptFailed(Reason.RELAY_FAILED, str(error), is_sent) from error
        finally:
            self.choice.in_flight[relay.vm] -= 1

    async def _send(self, call: Call, connection: ClientConnection, configuration: int):
        now = trio.current_time()
        relayed = RelayedRequest(
            self.vm,
            round(call.deadline - now, 4),
            round(call.cancel_at - now, 4),
            call.attempts,
            max(configuration, self.newest_configuration),
            call.route.name,
            call.pool,
            call.workspace_name,
        )
        headers = [
            (k, v)
            for k, v in end_to_end_headers(call.head.headers)
            if k not in RELAY_HEADERS and k != b"content-length"
        ]
        headers.append((RELAY_HEADER, relayed.encode()))
        if call.body:
            headers.append((b"content-length", b"%d" % len(call.body)))
        await connection.send_head(call.head.method, call.head.target, headers)
        if call.body:
            connection.buffer_body(call.body)
        await connection.end_request()

    async def _read(self, connection: ClientConnection, memory: Reservation) -> Answer:
        head = await connection.response_head()
        reason = head.header(REFUSED_HEADER)
        answer = await buffer_body(
            without_relay_headers(head), connection.response_body(), memory
        )
        if reason is not None:
            raise _failure(head, reason, answer.body)
        used = head.header(CONFIGURATION_HEADER) or ""
        if not used.isdigit():
            raise _unmarked_failure(head)
        self.newest_configuration = max(self.newest_configuration, int(used))
        return answer


def _unmarked_failure(head: ResponseHead) -> AttemptFailed:
    """Return the failure that an answer means which no target gave.

    A VM of an older build does not forward requests and answers 404.
    """
    if head.status == HTTPStatus.NOT_FOUND:
        return AttemptFailed(
            Reason.NOT_CONFIGURED, "the VM does not forward requests", False, True
        )
    return AttemptFailed(Reason.RELAY_FAILED, f"status {head.status}", True, True)


def _failure(head: ResponseHead, reason: str, body: bytes) -> AttemptFailed:
    """Return the failure that another VM's refusal means."""
    try:
        known = Reason(reason)
        message = str(orjson.loads(body)["message"])
    except (ValueError, KeyError, TypeError):
        # A later build may have other reasons.
        known, message = Reason.NO_ROOM, f"refused: {reason}"
    return AttemptFailed(known, message, head.status not in NOT_RUN_STATUSES, True)
