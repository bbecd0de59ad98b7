"""Tracking of potential lenders: available tokens and unanswered requests."""

import math

import trio
from attrs import define, frozen

from .budgets import ROUNDING_TOLERANCE, WHOLE_TOKEN
from .membership import Membership
from .network import PeerNetwork

MIN_LOAN = 1e-3
AVAILABILITY_TTL_S = 0.5
# Failures further apart than this are counted separately, so a VM that did not answer
# in time is asked again, unless it also failed within this time and has not answered
# in between. `Membership` already excludes VMs that are gone.
FAILURE_WINDOW_S = 2.0
# Consecutive unanswered requests after which a VM is assumed to have no tokens for a
# while. A VM that answers late is alive and may soon answer in time again, so it gets
# more tries than a silent one.
MAX_TRIES_IF_SILENT = 2
MAX_TRIES_IF_LATE = 4


@frozen
class ReportedAvailability:
    """The number of available tokens that a lender last reported.

    Parameters
    ----------
    amount : float
    received_at : float
    is_unresponsive : bool
        Whether the lender did not answer. The entry then only keeps it from being
        asked for a while.
    """

    amount: float
    received_at: float
    is_unresponsive: bool = False


@define
class FailedRequests:
    """Consecutive requests that a VM did not answer in time.

    Attributes
    ----------
    count : int
    last_failed_at : float
        When the most recent request timed out.
    has_answered_late : bool
        Whether an answer arrived after its request had timed out.
    """

    count: int = 0
    last_failed_at: float = -math.inf
    has_answered_late: bool = False

    def record(self, asked_at: float):
        """Count a request that has just timed out.

        Requests for different budgets that were pending at the same time count as
        one failure.
        """
        if asked_at >= self.last_failed_at:
            self.count += 1
            self.last_failed_at = trio.current_time()

    def is_exhausted(self) -> bool:
        """Return whether to stop asking the VM for a while."""
        return self.count >= (
            MAX_TRIES_IF_LATE if self.has_answered_late else MAX_TRIES_IF_SILENT
        )


class Lenders:
    """Tracks the available tokens of other VMs and which VMs do not answer.

    Parameters
    ----------
    network : PeerNetwork
        Reports answers that arrive late.
    membership : Membership
    """

    def __init__(self, network: PeerNetwork, membership: Membership):
        self.membership = membership
        self._reported: dict[tuple[str, str], ReportedAvailability] = {}
        self._failures: dict[str, FailedRequests] = {}
        network.late_answer_handlers["loan_grant"] = self._on_late_answer

    def peer_vms(self) -> list[str]:
        """Return the usable VMs other than this one."""
        own = self.membership.identity.vm
        return [vm for vm in self.membership.usable_vms() if vm != own]

    def is_in_own_domain(self, vm: str) -> bool:
        """Return whether a VM is in this VM's failure domain."""
        own = self.membership.identity.failure_domain
        return self.membership.failure_domain_of(vm) == own

    def available_by_vm(self, name: str) -> dict[str, float]:
        """Return the recently reported available tokens by VM."""
        available = {}
        for vm in self.peer_vms():
            amount = self._available_at(name, vm)
            if amount is not None:
                available[vm] = amount
        return available

    def _available_at(self, name: str, vm: str) -> float | None:
        """Return a VM's recently reported available tokens, None if unknown."""
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
        """Return the VMs whose last report is older than ``since``.

        An older report is good enough to choose a lender, but does not prove that a
        VM still has no tokens: it may have got some since by a refill or by a part
        that was moved to it. VMs that do not answer are left out.
        """
        reported = {vm: self._reported[name, vm] for vm in available}
        return [
            vm
            for vm, report in reported.items()
            if report.received_at < since and not report.is_unresponsive
        ]

    def is_enough(self, available: dict[str, float], missing: float) -> bool:
        """Return whether the available tokens suffice for at least one request."""
        return sum(available.values()) + ROUNDING_TOLERANCE >= min(missing, WHOLE_TOKEN)

    def plan_loans(
        self, name: str, missing: float, prefetch: float
    ) -> dict[str, float]:
        """Return the amount to borrow by VM; empty if it would not be sufficient."""
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
        """Record the available tokens that a VM reports."""
        self._failures.pop(vm, None)
        self._reported[name, vm] = ReportedAvailability(amount, trio.current_time())

    def record_timeout(self, vm: str, name: str, asked_at: float) -> bool:
        """Record a request that has just timed out; return whether to retry the VM."""
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
        """Allow requests again to a VM that was marked as unresponsive."""
        failures = self._failures.get(vm)
        if failures is None:
            return
        failures.has_answered_late = True
        if failures.is_exhausted():
            return
        for key, report in list(self._reported.items()):
            if key[1] == vm and report.is_unresponsive:
                del self._reported[key]
