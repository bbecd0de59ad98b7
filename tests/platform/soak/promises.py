"""Checks the records of callers and targets against the documented guarantees."""

from collections import Counter, defaultdict

from attrs import define, field

from tests.windows import most_in_window

from .callers import SentRequest
from .demands import Demand, DemandChecker
from .faults import SCOPE_ALL, Disturbance
from .processes import Vm
from .settings import (
    CONFIG_APPLY_S,
    DRAIN_S,
    GRACE_S,
    MARGIN_S,
    QUOTA_OVER,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
    REVOKE_S,
    ROUTE_TIMEOUT_S,
    STABLE_S,
)
from .signals import SIGNAL_SEQUENCES
from .world import LARGE_WORKSPACE, RATE_LIMITS, Run, World

# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Share of requests that must get status 200 after recovery.
MIN_SERVED_SHARE_AT_END = 0.9
# Longest time that a VM may take for a request.
MAX_REQUEST_S = ROUTE_TIMEOUT_S + 0.5 + MARGIN_S
# While VMs are cut off from all targets, their callers' first tries are served at least
# this often, relative to those at the other VMs, or only so many of all tries fail
# there: a number and a share.
MIN_SERVED_RATIO_AT_CUT = 2 / 3
FAILED_AT_CUT = 10
FAILED_SHARE_AT_CUT = 1 / 50
CUT_KIND = "vms_cut_from_targets"
# Disturbances that must not cut a running request.
GRACEFUL_KINDS = frozenset({"vm_stop", *SIGNAL_SEQUENCES})
# Those of them that suspend no other guarantee either.
HARMLESS_KINDS = frozenset({"hup_hup", CUT_KIND})
# Disturbances that excuse a process which exits too late.
PAUSE_KINDS = frozenset({"vm_pause", "stall"})


@define
class Findings:
    """Violations by rule, each with a line that describes it.

    Attributes
    ----------
    excused_by_waits : list of str
        Requests that took too long, but only because their VM waited for a CPU.
    cuts : list of str
        How callers were served during each cut between VMs and targets.
    """

    by_rule: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    excused_by_waits: list[str] = field(factory=list)
    cuts: list[str] = field(factory=list)

    def add(self, rule: str, line: str):
        """Record one violation."""
        self.by_rule[rule].append(line)


class InvariantChecker:
    """Checks everything that was recorded during a soak.

    Parameters
    ----------
    world : World
    vms : list of Vm
    requests : list of SentRequest
    disturbances : list of Disturbance
    demands : list of Demand
    """

    def __init__(
        self,
        world: World,
        vms: list[Vm],
        requests: list[SentRequest],
        disturbances: list[Disturbance],
        demands: list[Demand] = (),
    ):
        self.world = world
        self.vm_by_address = {vm.request_address: vm for vm in vms}
        self.vms = vms
        self.requests = requests
        self.disturbances = disturbances
        self.demands = demands
        self.findings = Findings()
        self.runs_by_request: dict[str, list[Run]] = defaultdict(list)
        for run in world.runs:
            self.runs_by_request[run.request_id].append(run)

    def check(self, settled_at: float, ended_at: float) -> Findings:
        """Check all rules and return the findings."""
        by_id = {request.request_id: request for request in self.requests}
        for request in self.requests:
            self._check_response(request)
            self._check_duration(request)
        for run in self.world.runs:
            self._check_run(run, by_id.get(run.request_id))
        self._check_quotas()
        self._check_cuts()
        self._check_demands(by_id)
        self._check_recovery(settled_at, ended_at)
        for vm in self.vms:
            self._check_processes(vm)
        return self.findings

    def _check_processes(self, vm: Vm):
        for line in vm.unexpected_exits:
            self.findings.add("EXIT", f"{vm.name} {line}")
        for line in vm.failed_starts:
            self.findings.add("START", f"{vm.name} {line}")
        for since, until in vm.late_exits:
            if not any(
                disturbance.kind in PAUSE_KINDS
                and disturbance.scope in {SCOPE_ALL, vm.name}
                and disturbance.began_at <= until
                and disturbance.ended_at >= since
                for disturbance in self.disturbances
            ):
                line = f"{vm.name} had not exited {until - since:.2f} s after SIGTERM"
                self.findings.add("EXIT", line)

    def _is_disturbed(self, scopes: set[str], since: float, until: float) -> bool:
        return any(
            (disturbance.scope in scopes or disturbance.scope == SCOPE_ALL)
            and disturbance.kind not in HARMLESS_KINDS
            and disturbance.began_at <= until
            and disturbance.ended_at + STABLE_S >= since
            for disturbance in self.disturbances
        )

    def _check_response(self, request: SentRequest):
        runs = self.runs_by_request[request.request_id]
        if request.is_booking and len(runs) > 1:
            self.findings.add("TWICE", f"{request.request_id} ran {len(runs)} times")
        if request.status in NOT_RUN_STATUSES and request.is_booking and runs:
            self.findings.add(
                "REFUSED", f"{request.request_id} got {request.status} and ran"
            )
        if 200 <= request.status < 300:
            expected = f"answer to {request.request_id}".encode()
            if request.response_body != expected or not request.is_signed:
                self.findings.add(
                    "MIXED", f"{request.request_id} got {request.response_body!r}"
                )
        if request.status == 404 and not request.path.startswith("/extra-"):
            self.findings.add(
                "DENIED", f"{request.request_id} got 404 for {request.path}"
            )
        # A new key may be refused while its VM still applies the previous
        # configuration, which it may do for CONFIG_APPLY_S.
        issued_at = self.world.issued_at.get(request.key, 0.0)
        is_in_force = request.sent_at > issued_at + CONFIG_APPLY_S
        is_valid = request.key not in self.world.revoked_at and is_in_force
        if request.status == 401 and is_valid:
            vm = self.vm_by_address.get(request.vm_address)
            scopes = {"store", vm.name if vm else ""}
            if not self._is_disturbed(
                scopes, request.sent_at - STABLE_S, request.ended_at
            ):
                self.findings.add(
                    "DENIED", f"{request.request_id} got 401 for a valid key"
                )

    def _check_duration(self, request: SentRequest):
        vm = self.vm_by_address.get(request.vm_address)
        if vm is None or not request.ended_at:
            return
        is_disturbed = self._is_disturbed({vm.name}, request.sent_at, request.ended_at)
        if request.ended_at - request.sent_at > MAX_REQUEST_S and not is_disturbed:
            self._check_overdue(request, vm)
        if request.status == 0 and self._was_cut_by_graceful_stop(request, vm):
            self.findings.add(
                "LOST", f"{request.request_id} was cut while {vm.name} got signals"
            )

    def _check_overdue(self, request: SentRequest, vm: Vm):
        """Check a request's duration less the time its VM waited for a CPU."""
        took_s = request.ended_at - request.sent_at
        waited_s = vm.waits.min_within(request.sent_at, request.ended_at)
        line = f"{request.request_id} at {vm.name}: {took_s:.2f} s"
        if waited_s:
            line += f", {waited_s:.2f} s of it waiting for a CPU"
        if took_s - waited_s > MAX_REQUEST_S:
            self.findings.add("HELD", line)
        else:
            self.findings.excused_by_waits.append(line)

    def _was_cut_by_graceful_stop(self, request: SentRequest, vm: Vm) -> bool:
        """Return whether only a graceful stop or signals can have cut the request."""
        if not self.runs_by_request[request.request_id]:
            return False
        overlapping = [
            d
            for d in self.disturbances
            if d.began_at <= request.ended_at
            and d.ended_at + STABLE_S >= request.sent_at
        ]
        targets = {run.target for run in self.runs_by_request[request.request_id]}
        relevant = [d for d in overlapping if d.scope in {SCOPE_ALL, vm.name, *targets}]
        stops = [d for d in relevant if d.kind in GRACEFUL_KINDS]
        in_time = any(request.ended_at < d.began_at + GRACE_S for d in stops)
        return in_time and len(stops) == len(relevant) == 1

    def _check_run(self, run: Run, request: SentRequest | None):
        if request is None:
            self.findings.add("UNASKED", f"{run.request_id}: no caller sent it")
            return
        if (run.path, run.body, run.workspace) != (
            request.path,
            request.body,
            request.workspace,
        ):
            self.findings.add("UNASKED", f"{run.request_id} ran as {run}")
        if run.has_key:
            self.findings.add(
                "UNASKED", f"{run.request_id}: the target received the key"
            )
        vm = self.vm_by_address.get(request.vm_address)
        scopes = {"store", vm.name if vm else ""}
        if self._is_disturbed(scopes, request.sent_at - REVOKE_S, run.started_at):
            return
        if run.draining_for_s > DRAIN_S + MARGIN_S:
            self.findings.add(
                "DRAIN",
                f"{run.request_id} by {vm.name}: {run.target} had been draining for "
                f"{run.draining_for_s:.2f} s",
            )
        revoked_at = self.world.revoked_at.get(request.key)
        if revoked_at and request.sent_at > revoked_at + REVOKE_S + MARGIN_S:
            self.findings.add("REVOKE", f"{run.request_id} ran with {request.key}")
        removed_at = self.world.removed_at.get(f"/{request.path.split('/')[1]}/")
        if removed_at and request.sent_at > removed_at + CONFIG_APPLY_S + MARGIN_S:
            self.findings.add("CONFIG", f"{run.request_id} ran on a removed route")

    def _check_quotas(self):
        times = defaultdict(list)
        for run in self.world.runs:
            times[run.workspace].append(run.started_at)
        for workspace, started_at in times.items():
            rate, burst = RATE_LIMITS[workspace]
            allowed = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVER) + QUOTA_SLACK
            peak = most_in_window(sorted(started_at), QUOTA_WINDOW_S)
            if peak > allowed:
                line = f"{workspace}: {peak} runs in a window, {allowed:.0f} allowed"
                self.findings.add("QUOTA", line)

    def _check_cuts(self):
        """Compare first tries at VMs that are cut off from the targets with others."""
        cuts = defaultdict(list)
        for disturbance in self.disturbances:
            if disturbance.kind == CUT_KIND:
                cuts[disturbance.began_at].append(disturbance)
        for began_at, parts in sorted(cuts.items()):
            names = {part.scope for part in parts}
            ended_at = min(part.ended_at for part in parts)
            at_cut, at_others = Counter(), Counter()
            for request in self.requests:
                vm = self.vm_by_address.get(request.vm_address)
                if vm is not None and self._counts(request, vm, began_at, ended_at):
                    counter = at_cut if vm.name in names else at_others
                    counter[request.status] += 1
            self._check_cut(sorted(names), began_at, at_cut, at_others)

    def _counts(self, request: SentRequest, vm: Vm, began_at, ended_at) -> bool:
        """Return whether a request shows how callers are served during a cut."""
        is_during = began_at + STABLE_S <= request.sent_at
        is_during = is_during and 0 < request.ended_at <= ended_at
        # Callers of the small workspace exceed its quota, and extra routes come and go.
        return (
            is_during
            and request.workspace == LARGE_WORKSPACE
            and request.status not in (401, 404)
            and not self._is_disturbed({vm.name}, request.sent_at, request.ended_at)
        )

    def _check_cut(self, names, began_at, at_cut: Counter, at_others: Counter):
        """Check first tries, counted by status, during one cut."""
        line = (
            f"{names} cut at {began_at:.2f}: {dict(at_cut)}, others {dict(at_others)}"
        )
        self.findings.cuts.append(line)
        sent, sent_elsewhere = at_cut.total(), at_others.total()
        failed = sent - at_cut[200]
        if failed <= FAILED_AT_CUT + FAILED_SHARE_AT_CUT * (sent + sent_elsewhere):
            return
        served_elsewhere = at_others[200] / max(1, sent_elsewhere)
        if at_cut[200] < MIN_SERVED_RATIO_AT_CUT * served_elsewhere * sent:
            self.findings.add("RECOVER", line)

    def _check_demands(self, requests: dict[str, SentRequest]):
        def vm_of(request: SentRequest) -> str | None:
            vm = self.vm_by_address.get(request.vm_address)
            return vm.name if vm is not None else None

        checker = DemandChecker(requests, vm_of, self._is_excused_from_demands)
        for demand in self.demands:
            for rule, line in checker.check(demand):
                self.findings.add(rule, line)

    def _is_excused_from_demands(self, vm: str, since: float, until: float) -> bool:
        # The requests of a VM that is cut off are sent by another one.
        return self._is_disturbed({vm}, since, until) or any(
            disturbance.kind == CUT_KIND
            and disturbance.scope == vm
            and disturbance.began_at <= until
            and disturbance.ended_at + STABLE_S >= since
            for disturbance in self.disturbances
        )

    def _check_recovery(self, settled_at: float, ended_at: float):
        final_requests = [
            request
            for request in self.requests
            if settled_at <= request.sent_at < ended_at - ROUTE_TIMEOUT_S - MARGIN_S
            and request.status != 429
        ]
        statuses = Counter(request.status for request in final_requests)
        if not final_requests or statuses[200] < MIN_SERVED_SHARE_AT_END * len(
            final_requests
        ):
            self.findings.add("RECOVER", f"statuses after all faults: {dict(statuses)}")
