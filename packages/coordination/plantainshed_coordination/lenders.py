"""What is known of the VMs that may lend tokens: what they have left, and silence."""

import math

import trio
from attrs import define, frozen

from .budgets import ROUNDING, WHOLE_TOKEN
from .membership import Membership
from .network import PeerNetwork

MIN_LOAN = 1e-3
LEFT_FRESH_S = 0.5
# A VM that did not answer in time is asked again unless it failed before within
# this time and has not answered since; one that is gone is then left out by
# membership.
SECOND_CHANCE_S = 2.0
# Questions in a row without an answer after which a VM counts as having nothing for
# a while. One whose answers come late is alive, and may soon be in time again.
TRIES_OF_SILENT = 2
TRIES_OF_LATE = 4


@frozen
class HeardLeft:
    """What a lender said that it had left, and when.

    Parameters
    ----------
    amount : float
    at : float
    is_silence : bool
        Whether it said nothing, so that it is not worth asking for a while.
    """

    amount: float
    at: float
    is_silence: bool = False


@define
class Failures:
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
    last_at: float = -math.inf
    has_answered: bool = False

    def note(self, asked_at: float):
        """Count a question that is given up now.

        Several that were under way at once, for different budgets, show only once
        that the VM does not answer.
        """
        if asked_at >= self.last_at:
            self.count += 1
            self.last_at = trio.current_time()

    def is_last_try(self) -> bool:
        """Tell whether the VM is not to be asked again for a while."""
        return self.count >= (TRIES_OF_LATE if self.has_answered else TRIES_OF_SILENT)


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
        self._last_left: dict[tuple[str, str], HeardLeft] = {}
        self._failures: dict[str, Failures] = {}
        network.late_answer_handlers["loan_grant"] = self._on_late_answer

    def others(self) -> list[str]:
        """Return the other VMs that may be asked."""
        own = self.membership.identity.vm
        return [vm for vm in self.membership.usable_vms() if vm != own]

    def is_near(self, vm: str) -> bool:
        """Tell whether a VM is in this VM's failure domain."""
        own = self.membership.identity.failure_domain
        return self.membership.failure_domain_of(vm) == own

    def known_left(self, name: str) -> dict[str, float]:
        """Return what VMs said lately that they have left."""
        known = {}
        for vm in self.others():
            left = self._left_at(name, vm)
            if left is not None:
                known[vm] = left
        return known

    def _left_at(self, name: str, vm: str) -> float | None:
        """Return what a VM said lately that it has left; None if it is not known."""
        heard = self._last_left.get((name, vm))
        if heard is None or trio.current_time() - heard.at > LEFT_FRESH_S:
            return None
        return heard.amount

    def may_have_more(
        self, name: str, known: dict[str, float], since: float
    ) -> list[str]:
        """Return VMs whose word is older than a round that began at a time.

        It tells whom to borrow from, but not that nobody has any: what a VM
        lacked then, refills or a moved part may have brought it since.
        """
        heard = {vm: self._last_left[name, vm] for vm in known}
        return [
            vm for vm, left in heard.items() if left.at < since and not left.is_silence
        ]

    def is_enough(self, known: dict[str, float], missing: float) -> bool:
        """Tell whether known tokens would serve a request."""
        return sum(known.values()) + ROUNDING >= min(missing, WHOLE_TOKEN)

    def plan_loans(self, name: str, missing: float, ahead: float) -> dict[str, float]:
        """Return how much to borrow from whom; nothing if it would not do."""
        known = self.known_left(name)
        if not self.is_enough(known, missing):
            return {}
        wanted = missing + ahead
        plan = {}
        for vm in sorted(known, key=known.get, reverse=True):
            amount = min(known[vm], wanted)
            if amount <= MIN_LOAN:
                break
            plan[vm] = amount
            wanted -= amount
        return plan

    def note_left(self, vm: str, name: str, amount: float):
        """Note what a VM says that it has left."""
        self._failures.pop(vm, None)
        self._last_left[name, vm] = HeardLeft(amount, trio.current_time())

    def note_no_answer(self, vm: str, name: str, asked_at: float) -> bool:
        """Note a question that is given up now; tell whether to ask the VM again."""
        now = trio.current_time()
        failures = self._failures.get(vm)
        if failures is None or now - failures.last_at > SECOND_CHANCE_S:
            failures = self._failures[vm] = Failures()
        failures.note(asked_at)
        if failures.is_last_try():
            self._last_left[name, vm] = HeardLeft(0.0, now, is_silence=True)
            return False
        self._last_left.pop((name, vm), None)
        return True

    def _on_late_answer(self, vm: str):
        """Have a VM asked again that was taken for silent, as it is not."""
        failures = self._failures.get(vm)
        if failures is None:
            return
        failures.has_answered = True
        if failures.is_last_try():
            return
        for key, left in list(self._last_left.items()):
            if key[1] == vm and left.is_silence:
                del self._last_left[key]
