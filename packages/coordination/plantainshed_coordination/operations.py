"""At-most-once execution of operations.

An operation id names the VM that owns the operation, the incarnation of that VM,
and an epoch of that incarnation. Only the owner decides whether the operation
may start. A first attempt at the owner needs no message to another VM. A retry
at another VM asks the owner. If the owner is gone or unreachable, the result is
"unknown", and the operation is never run a second time.
"""

from collections import OrderedDict
from enum import IntEnum

import trio
from attrs import define, frozen

from .errors import CoordinationError, PeerError
from .identity import Identity
from .members import Liveness
from .membership import Membership
from .network import PeerNetwork
from .peer_pb2 import Ack, ClaimAnswer, ClaimRequest, OperationDone

EPOCH_S = 600.0
EPOCHS_REMEMBERED = 2
MAX_ANSWER_BYTES = 16 * 1024
MAX_ANSWERS = 512
CLAIM_TIMEOUT_S = 0.5
DONE_TIMEOUT_S = 1.0
DONE_ATTEMPTS = 5
MAX_NONCE = 64
SEPARATOR = "~"


class BadOperationId(CoordinationError):
    """The text is not an operation id."""


class Verdict(IntEnum):
    """The owner's decision on a claim."""

    RUN = 1
    IN_PROGRESS = 2
    DONE = 3
    UNKNOWN = 4


@frozen
class OperationId:
    """A parsed operation id.

    Parameters
    ----------
    vm : str
    incarnation : int
        Incarnation of the VM that owns the operation.
    epoch : int
        Number of a period of that incarnation, `EPOCH_S` long.
    nonce : str
        Chosen by the caller.
    """

    vm: str
    incarnation: int
    epoch: int
    nonce: str

    @classmethod
    def parse(cls, text: str) -> "OperationId":
        """Parse an id such as ``mil-a-1~1764720000000~3~9f2c``."""
        parts = text.split(SEPARATOR)
        try:
            vm, incarnation, epoch, nonce = parts
            parsed = cls(vm, int(incarnation), int(epoch), nonce)
        except ValueError:
            raise BadOperationId(
                f"{text!r} must have the form VM~INCARNATION~EPOCH~NONCE; the first "
                "three fields come with the answer to a look-up"
            ) from None
        if not nonce or len(nonce) > MAX_NONCE:
            raise BadOperationId(f"the nonce must have 1 to {MAX_NONCE} characters")
        return parsed

    def __str__(self):
        return SEPARATOR.join(
            (self.vm, str(self.incarnation), str(self.epoch), self.nonce)
        )


def operation_prefix(record) -> str:
    """Return the prefix of operation ids that the VM of a record owns.

    The caller appends a nonce to it.
    """
    return SEPARATOR.join(
        (record.vm, str(record.incarnation), str(record.operation_epoch), "")
    )


@define
class OperationRecord:
    """Record of an operation that has started.

    Parameters
    ----------
    runner : str
        Holder name of the process that was allowed to run it.
    done : bool
    answer : bytes or None
        Answer that the caller received, if it was small enough to store.
    """

    runner: str
    done: bool = False
    answer: bytes | None = None


@frozen
class Claim:
    """Decision on a claim, with the stored answer of the operation if any."""

    verdict: Verdict
    answer: bytes | None = None


class OperationRegistry:
    """Records the operations that this VM owns, and claims those of other VMs.

    Memory: about 200 bytes per operation for up to `EPOCHS_REMEMBERED` epochs,
    and `MAX_ANSWERS` answers of up to `MAX_ANSWER_BYTES`.
    """

    def __init__(self, network: PeerNetwork, membership: Membership):
        self.network = network
        self.membership = membership
        self.epochs: dict[int, dict[str, OperationRecord]] = {}
        self._answers: OrderedDict[tuple[int, str], None] = OrderedDict()
        network.handlers["claim_request"] = self._on_claim
        network.handlers["operation_done"] = self._on_done

    async def run(self):
        """Start a new epoch every `EPOCH_S` seconds."""
        while True:
            await trio.sleep(EPOCH_S)
            epoch = self.membership.record.operation_epoch + 1
            self.membership.update_record(operation_epoch=epoch)
            for old in [e for e in self.epochs if e <= epoch - EPOCHS_REMEMBERED]:
                del self.epochs[old]

    @property
    def identity(self) -> Identity:
        """Identity of this process."""
        return self.membership.identity

    async def claim(self, operation: OperationId) -> Claim:
        """Claim an operation; return whether it may start on this VM."""
        if self._is_own(operation):
            return self._decide(operation, self.identity.holder)
        if operation.vm == self.identity.vm:
            return Claim(Verdict.UNKNOWN)
        if self.membership.liveness(operation.vm) is Liveness.GONE:
            return Claim(Verdict.UNKNOWN)
        request = ClaimRequest(operation=str(operation), runner=self.identity.holder)
        try:
            answer = await self.network.ask(
                operation.vm, "claim_request", request, CLAIM_TIMEOUT_S
            )
        except PeerError:
            # The owner is unreachable and may already have let the operation run.
            # Running it here could execute it twice, such as a duplicate booking.
            return Claim(Verdict.UNKNOWN)
        return Claim(Verdict(answer.verdict), answer.answer or None)

    async def finish(self, operation: OperationId, answer: bytes | None):
        """Record that an operation ended with an answer for the caller."""
        if answer is not None and len(answer) > MAX_ANSWER_BYTES:
            answer = None
        message = OperationDone(operation=str(operation), answer=answer or b"")
        await self._notify_owner(operation, message)

    async def release(self, operation: OperationId):
        """Record that an operation certainly did not run, so that it may be retried."""
        await self._notify_owner(
            operation, OperationDone(operation=str(operation), not_run=True)
        )

    async def _notify_owner(self, operation: OperationId, message: OperationDone):
        if self._is_own(operation):
            self._note_done(operation, message)
            return
        for _ in range(DONE_ATTEMPTS):
            try:
                await self.network.ask(
                    operation.vm, "operation_done", message, DONE_TIMEOUT_S
                )
                return
            except PeerError:
                if self.membership.liveness(operation.vm) is Liveness.GONE:
                    return

    def _is_own(self, operation: OperationId) -> bool:
        return (operation.vm, operation.incarnation) == (
            self.identity.vm,
            self.identity.incarnation,
        )

    def _decide(self, operation: OperationId, runner: str) -> Claim:
        epoch = self.membership.record.operation_epoch
        if not epoch - EPOCHS_REMEMBERED < operation.epoch <= epoch:
            # Records of this epoch have been removed, so a first attempt and a retry
            # cannot be told apart. Only a first attempt may run.
            return Claim(Verdict.UNKNOWN)
        known = self.epochs.setdefault(operation.epoch, {})
        record = known.get(operation.nonce)
        if record is None:
            known[operation.nonce] = OperationRecord(runner)
            return Claim(Verdict.RUN)
        if record.done:
            return Claim(Verdict.DONE, record.answer)
        if self._is_runner_gone(record.runner):
            return Claim(Verdict.UNKNOWN)
        return Claim(Verdict.IN_PROGRESS)

    def _is_runner_gone(self, runner: str) -> bool:
        vm, _, incarnation = runner.rpartition(SEPARATOR)
        return self.membership.table.is_gone(vm, int(incarnation))

    def _note_done(self, operation: OperationId, message: OperationDone):
        known = self.epochs.get(operation.epoch, {})
        record = known.get(operation.nonce)
        if record is None:
            return
        if message.not_run:
            if not record.done:
                del known[operation.nonce]
            return
        record.done = True
        record.answer = message.answer or None
        self._answers[operation.epoch, operation.nonce] = None
        while len(self._answers) > MAX_ANSWERS:
            (old_epoch, nonce), _ = self._answers.popitem(last=False)
            old = self.epochs.get(old_epoch, {}).get(nonce)
            if old is not None:
                old.answer = None

    async def _on_claim(self, sender, message: ClaimRequest):
        try:
            operation = OperationId.parse(message.operation)
        except BadOperationId:
            return ClaimAnswer(verdict=Verdict.UNKNOWN)
        if not self._is_own(operation) or not self.membership.is_caught_up():
            return ClaimAnswer(verdict=Verdict.UNKNOWN)
        claim = self._decide(operation, message.runner)
        return ClaimAnswer(verdict=claim.verdict, answer=claim.answer or b"")

    async def _on_done(self, sender, message: OperationDone):
        operation = OperationId.parse(message.operation)
        if self._is_own(operation):
            self._note_done(operation, message)
        return Ack()
