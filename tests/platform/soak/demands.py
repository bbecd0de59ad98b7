"""What targets ask for in their answers, and checks that VMs comply with it."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from attrs import define

from tests.windows import most_in_window

from .callers import SentRequest
from .settings import DRAIN_S, STABLE_S
from .world import Target

LIMIT, TURN_AWAY, LEAVE = "target_limits", "target_turns_away", "target_says_it_leaves"
DEMAND_KINDS = (LIMIT, TURN_AWAY, LEAVE)
# Requests per second that targets in need take.
LIMITS_PER_S = (2.0, 10.0)
RETRY_AFTER_S = 2.0
# Window in which requests to a target with a limit are counted, and how far the limit
# may be exceeded: by a factor, plus a fixed number of requests.
LIMIT_WINDOW_S = 4.0
LIMIT_OVER = 1.5
LIMIT_SLACK = 5
# Requests that arrive this soon after a VM was told were on their way.
UNDERWAY_S = 0.5
# Requests that may arrive later although a target wants none.
UNWANTED = 2


@define
class Demand:
    """What a target asks for during a time.

    Attributes
    ----------
    kind : str
    target : Target
    began_at, ended_at : float
    limit_per_s : float
        Only of a limit.
    """

    kind: str
    target: Target
    began_at: float
    ended_at: float = float("inf")
    limit_per_s: float = 0.0


@define
class SentTo:
    """A request that arrived at a target, and when."""

    at: float
    request: SentRequest


class DemandChecker:
    """Checks what arrived at targets against what they asked for.

    Parameters
    ----------
    requests : dict of str to SentRequest
        By request id.
    vm_of : callable
        Returns the name of the VM to which a request was sent, or None.
    is_excused : callable
        Returns whether a VM was disturbed between two moments.
    """

    def __init__(
        self,
        requests: dict[str, SentRequest],
        vm_of: Callable[[SentRequest], str | None],
        is_excused: Callable[[str, float, float], bool],
    ):
        self.requests = requests
        self.vm_of = vm_of
        self.is_excused = is_excused

    def check(self, demand: Demand) -> Iterator[tuple[str, str]]:
        """Yield a rule and a line for each violation."""
        by_vm = self._arrivals_by_vm(demand)
        name = demand.target.instance
        if demand.kind == LIMIT:
            times = sorted(
                sent.at
                for arrivals in by_vm.values()
                for sent in arrivals
                if sent.at > arrivals[0].at + UNDERWAY_S
            )
            allowed = LIMIT_OVER * LIMIT_WINDOW_S * demand.limit_per_s + LIMIT_SLACK
            most = most_in_window(times, LIMIT_WINDOW_S, demand.began_at + STABLE_S)
            if most > allowed:
                line = f"{name}: {most} in {LIMIT_WINDOW_S:g} s, {allowed:.0f} allowed"
                yield "LIMIT", f"{line} from {demand.began_at:.2f}"
            return
        for vm, arrivals in by_vm.items():
            if demand.kind == TURN_AWAY:
                late = max(_count_unwanted(arrivals, sent.at) for sent in arrivals)
                if late > UNWANTED:
                    yield "BUDGET", f"{name}: {late} unwanted requests from {vm}"
                continue
            told_at = arrivals[0].at + UNDERWAY_S
            late = sum(sent.request.sent_at > told_at + DRAIN_S for sent in arrivals)
            if late:
                yield "DRAIN", f"{name} said that it leaves: {late} late from {vm}"

    def _arrivals_by_vm(self, demand: Demand) -> dict[str, list[SentTo]]:
        by_vm = defaultdict(list)
        for arrival in demand.target.arrivals:
            request = self.requests.get(arrival.request_id)
            if request is None or not demand.began_at < arrival.at < demand.ended_at:
                continue
            vm = self.vm_of(request)
            if vm and not self.is_excused(vm, demand.began_at, arrival.at):
                by_vm[vm].append(SentTo(arrival.at, request))
        return by_vm


def _count_unwanted(arrivals: list[SentTo], told_at: float) -> int:
    since, until = told_at + UNDERWAY_S, told_at + RETRY_AFTER_S
    return sum(since < sent.at < until for sent in arrivals)
