"""Checks what callers and targets saw against what the platform's pages promise."""

from collections import Counter, defaultdict

from attrs import define, field

from .callers import Seen
from .faults import ALL, Disturbance
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
from .signals import SERIES
from .world import RATES, Run, World

# Statuses that promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
LEAST_SERVED_AT_END = 0.9
# What a request may take at a VM.
LONGEST_S = ROUTE_TIMEOUT_S + 0.5 + MARGIN_S
# What cuts no request, and of it what takes nothing from any other promise.
CUTS_NOTHING = frozenset({"vm_stop", *SERIES})
DISTURBS_NOTHING = frozenset({"hup_hup"})
# What keeps a process from ending in its time.
STANDS_STILL = frozenset({"vm_pause", "stall"})


@define
class Findings:
    """Violations by rule, each with a line on what was seen.

    Attributes
    ----------
    waited : list of str
        Requests past their time, of which their VM waited long enough for a processor.
    """

    by_rule: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    waited: list[str] = field(factory=list)

    def add(self, rule: str, line: str):
        """Record one violation."""
        self.by_rule[rule].append(line)


class Promises:
    """Everything that was seen in a soak.

    Parameters
    ----------
    world : World
    vms : list of Vm
    seen : list of Seen
    disturbances : list of Disturbance
    """

    def __init__(
        self,
        world: World,
        vms: list[Vm],
        seen: list[Seen],
        disturbances: list[Disturbance],
    ):
        self.world = world
        self.vm_at = {vm.callers: vm for vm in vms}
        self.vms = vms
        self.seen = seen
        self.disturbances = disturbances
        self.findings = Findings()
        self.runs_of: dict[str, list[Run]] = defaultdict(list)
        for run in world.runs:
            self.runs_of[run.request_id].append(run)

    def check(self, settled_at: float, ended_at: float) -> Findings:
        """Check all promises."""
        by_id = {one.request_id: one for one in self.seen}
        for one in self.seen:
            self._check_answer(one)
            self._check_time(one)
        for run in self.world.runs:
            self._check_run(run, by_id.get(run.request_id))
        self._check_quotas()
        self._check_recovery(settled_at, ended_at)
        for vm in self.vms:
            self._check_processes(vm)
        return self.findings

    def _check_processes(self, vm: Vm):
        for line in vm.wrong_ends:
            self.findings.add("EXIT", f"{vm.name} {line}")
        for line in vm.not_ready:
            self.findings.add("START", f"{vm.name} {line}")
        for since, until in vm.late:
            if not any(
                one.kind in STANDS_STILL
                and one.scope in {ALL, vm.name}
                and one.began_at <= until
                and one.ended_at >= since
                for one in self.disturbances
            ):
                line = f"{vm.name} had not ended {until - since:.2f} s after its stop"
                self.findings.add("EXIT", line)

    def _is_disturbed(self, scopes: set[str], since: float, until: float) -> bool:
        return any(
            (one.scope in scopes or one.scope == ALL)
            and one.kind not in DISTURBS_NOTHING
            and one.began_at <= until
            and one.ended_at + STABLE_S >= since
            for one in self.disturbances
        )

    def _check_answer(self, one: Seen):
        runs = self.runs_of[one.request_id]
        if one.is_booking and len(runs) > 1:
            self.findings.add("TWICE", f"{one.request_id} ran {len(runs)} times")
        if one.status in NOT_RUN and one.is_booking and runs:
            self.findings.add("REFUSED", f"{one.request_id} got {one.status} and ran")
        if 200 <= one.status < 300:
            expected = f"answer to {one.request_id}".encode()
            if one.answer != expected or not one.is_signed:
                self.findings.add("MIXED", f"{one.request_id} got {one.answer!r}")
        if one.status == 404 and not one.path.startswith("/extra-"):
            self.findings.add("DENIED", f"{one.request_id} got 404 for {one.path}")
        # Until a key's configuration must be in force, the one before, which does
        # not have it, may be.
        issued_at = self.world.issued_at.get(one.key, 0.0)
        is_in_force = one.sent_at > issued_at + CONFIG_APPLY_S
        is_valid = one.key not in self.world.revoked_at and is_in_force
        if one.status == 401 and is_valid:
            vm = self.vm_at.get(one.vm)
            scopes = {"store", vm.name if vm else ""}
            if not self._is_disturbed(scopes, one.sent_at - STABLE_S, one.ended_at):
                self.findings.add("DENIED", f"{one.request_id} got 401 for a valid key")

    def _check_time(self, one: Seen):
        vm = self.vm_at.get(one.vm)
        if vm is None or not one.ended_at:
            return
        is_disturbed = self._is_disturbed({vm.name}, one.sent_at, one.ended_at)
        if one.ended_at - one.sent_at > LONGEST_S and not is_disturbed:
            self._check_held(one, vm)
        if one.status == 0 and self._was_cut_by_stop(one, vm):
            self.findings.add(
                "LOST", f"{one.request_id} was cut while {vm.name} got signals"
            )

    def _check_held(self, one: Seen, vm: Vm):
        """Judge a request by the time beyond what its VM waited for a processor."""
        took_s = one.ended_at - one.sent_at
        waited_s = vm.waits.least_within(one.sent_at, one.ended_at)
        line = f"{one.request_id} at {vm.name}: {took_s:.2f} s"
        if waited_s:
            line += f", {waited_s:.2f} s of it without a processor"
        if took_s - waited_s > LONGEST_S:
            self.findings.add("HELD", line)
        else:
            self.findings.waited.append(line)

    def _was_cut_by_stop(self, one: Seen, vm: Vm) -> bool:
        """Tell whether only a planned stop or signals can have cut what ran."""
        if not self.runs_of[one.request_id]:
            return False
        near = [
            d
            for d in self.disturbances
            if d.began_at <= one.ended_at and d.ended_at + STABLE_S >= one.sent_at
        ]
        targets = {run.target for run in self.runs_of[one.request_id]}
        others = [d for d in near if d.scope in {ALL, vm.name, *targets}]
        stops = [d for d in others if d.kind in CUTS_NOTHING]
        in_time = any(one.ended_at < d.began_at + GRACE_S for d in stops)
        return in_time and len(stops) == len(others) == 1

    def _check_run(self, run: Run, one: Seen | None):
        if one is None:
            self.findings.add("UNASKED", f"{run.request_id}: nobody sent it")
            return
        if (run.path, run.body, run.workspace) != (one.path, one.body, one.workspace):
            self.findings.add("UNASKED", f"{run.request_id} ran as {run}")
        if run.has_key:
            self.findings.add("UNASKED", f"{run.request_id}: the target saw the key")
        vm = self.vm_at.get(one.vm)
        scopes = {"store", vm.name if vm else ""}
        if self._is_disturbed(scopes, one.sent_at - REVOKE_S, run.at):
            return
        if run.was_leaving_for_s > DRAIN_S + MARGIN_S:
            self.findings.add(
                "DRAIN",
                f"{run.request_id} by {vm.name}: {run.target} had been leaving for "
                f"{run.was_leaving_for_s:.2f} s",
            )
        revoked_at = self.world.revoked_at.get(one.key)
        if revoked_at and one.sent_at > revoked_at + REVOKE_S + MARGIN_S:
            self.findings.add("REVOKE", f"{run.request_id} ran with {one.key}")
        dropped_at = self.world.dropped_at.get(f"/{one.path.split('/')[1]}/")
        if dropped_at and one.sent_at > dropped_at + CONFIG_APPLY_S + MARGIN_S:
            self.findings.add("CONFIG", f"{run.request_id} ran on a dropped route")

    def _check_quotas(self):
        times = defaultdict(list)
        for run in self.world.runs:
            times[run.workspace].append(run.at)
        for workspace, at in times.items():
            rate, burst = RATES[workspace]
            allowed = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVER) + QUOTA_SLACK
            most = _most_in_window(sorted(at), QUOTA_WINDOW_S)
            if most > allowed:
                line = f"{workspace}: {most} in a window, {allowed:.0f} allowed"
                self.findings.add("QUOTA", line)

    def _check_recovery(self, settled_at: float, ended_at: float):
        late = [
            one
            for one in self.seen
            if settled_at <= one.sent_at < ended_at - ROUTE_TIMEOUT_S - MARGIN_S
            and one.status != 429
        ]
        statuses = Counter(one.status for one in late)
        if not late or statuses[200] < LEAST_SERVED_AT_END * len(late):
            self.findings.add("RECOVER", f"after all faults: {dict(statuses)}")


def _most_in_window(times: list[float], window_s: float) -> int:
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
