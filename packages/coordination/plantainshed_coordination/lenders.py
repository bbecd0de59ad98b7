"""What is known of the VMs that may lend tokens: what they have left, and silence."""

import math

import trio
from attrs import define, frozen

from .budgets import ROUNDING_TOLERANCE, WHOLE_TOKEN
from .membership import Membership
from .network import PeerNetwork

MIN_LOAN = 1e-3
AVAILABILITY_TTL_S = 0.5
# A VM that did not answer in time is asked again unless it failed before within
# this time and has not answered since; one that is gone is then left out by
# membership.
FAILURE_WINDOW_S = 2.0
# Questions in a row without an answer after which a VM counts as having nothing for
# a while. One whose answers come late is alive, and may soon be in time again.
MAX_TRIES_IF_SILENT = 2
MAX_TRIES_IF_LATE = 4


@frozen
class ReportedAvailability:
    """What a lender said that it had left, and when.

    Parameters
    ----------
    amount : float
    at : float
    is_silence : bool
        Whether it said nothing, so that it is not worth asking for a while.
    """

    amount: float
    received_at: float
    is_unresponsive: bool = False


@define
class FailedRequests:
    """Questions in a row that a VM did not answer in time.

    Attributes
    ----------
    count : int
    last_at : float
        When the last of them was given up.
    has_answered : bool
        Whether an answer came, though too late to be used.
    """

    count: int = 0
    last_failed_at: float = -math.inf
    has_answered_late: bool = False

    def record(self, asked_at: float):
        """Count a question that is given up now.

        Several that were under way at once, for different budgets, show only once
        that the VM does not answer.
        """
        if asked_at >= self.last_failed_at:
            self.count += 1
            self.last_failed_at = trio.current_time()

    def is_exhausted(self) -> bool:
        """Tell whether the VM is not to be asked again for a while."""
        return self.count >= (
            MAX_TRIES_IF_LATE if self.has_answered_late else MAX_TRIES_IF_SILENT
        )


class Lenders:
    """What other VMs said that they have left, and which of them do not answer.

    Parameters
    ----------
    network : PeerNetwork
        Tells of answers that come late.
    membership : Membership
    """

    def __init__(self, network: PeerNetwork, membership: Membership):
        self.membership = membership
        self._reported: dict[tuple[str, str], ReportedAvailability] = {}
        self._failures: dict[str, FailedRequests] = {}
        network.late_answer_handlers["loan_grant"] = self._on_late_answer

    def peer_vms(self) -> list[str]:
        """Return the other VMs that may be asked."""
        own = self.membership.identity.vm
        return [vm for vm in self.membership.usable_vms() if vm != own]

    def is_in_own_domain(self, vm: str) -> bool:
        """Tell whether a VM is in this VM's failure domain."""
        own = self.membership.identity.failure_domain
        return self.membership.failure_domain_of(vm) == own

    def available_by_vm(self, name: str) -> dict[str, float]:
        """Return what VMs said lately that they have left."""
        available = {}
        for vm in self.peer_vms():
            amount = self._available_at(name, vm)
            if amount is not None:
                available[vm] = amount
        return available

    def _available_at(self, name: str, vm: str) -> float | None:
        """Return what a VM said lately that it has left; None if it is not known."""
        reported = self._reported.get((name, vm))
        if (
            reported is None
            or trio.current_time() - reported.received_at > AVAILABILITY_TTL_S
        ):
            return None
        return reported.amount

    def possibly_outdated(
        self, name: str, available: dict[str, float], since: float
    ) -> list[str]:
        """Return VMs whose word is older than a round that began at a time.

        It tells whom to borrow from, but not that nobody has any: what a VM
        lacked then, refills or a moved part may have brought it since.
        """
        reported = {vm: self._reported[name, vm] for vm in available}
        return [
            vm
            for vm, report in reported.items()
            if report.received_at < since and not report.is_unresponsive
        ]

    def is_enough(self, available: dict[str, float], missing: float) -> bool:
        """Tell whether known tokens would serve a request."""
        return sum(available.values()) + ROUNDING_TOLERANCE >= min(missing, WHOLE_TOKEN)

    def plan_loans(
        self, name: str, missing: float, prefetch: float
    ) -> dict[str, float]:
        """Return how much to borrow from whom; nothing if it would not do."""
        available = self.available_by_vm(name)
        if not self.is_enough(available, missing):
            return {}
        wanted = missing + prefetch
        plan = {}
        for vm in sorted(available, key=available.get, reverse=True):
            amount = min(available[vm], wanted)
            if amount <= MIN_LOAN:
                break
            plan[vm] = amount
            wanted -= amount
        return plan

    def record_availability(self, vm: str, name: str, amount: float):
        """Note what a VM says that it has left."""
        self._failures.pop(vm, None)
        self._reported[name, vm] = ReportedAvailability(amount, trio.current_time())

    def record_timeout(self, vm: str, name: str, asked_at: float) -> bool:
        """Note a question that is given up now; tell whether to ask the VM again."""
        now = trio.current_time()
        failures = self._failures.get(vm)
        if failures is None or now - failures.last_failed_at > FAILURE_WINDOW_S:
            failures = self._failures[vm] = FailedRequests()
        failures.record(asked_at)
        if failures.is_exhausted():
            self._reported[name, vm] = ReportedAvailability(
                0.0, now, is_unresponsive=True
            )
            return False
        self._reported.pop((name, vm), None)
        return True

    def _on_late_answer(self, vm: str):
        """Have a VM asked again that was taken for silent, as it is not."""
        failures = self._failures.get(vm)
        if failures is None:
            return
        failures.has_answered_late = True
        if failures.is_exhausted():
            return
        for key, report in list(self._reported.items()):
            if key[1] == vm and report.is_unresponsive:
                del self._reported[key]
