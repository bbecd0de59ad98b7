"""Health checks of targets, with one prober per target.

Probes put load on a target, so only one VM of its failure domain probes it. The VM is
chosen by rendezvous hashing and sends the results to the other VMs in its heartbeats.
"""

from collections.abc import Awaitable, Callable

import trio

from plantainshed_coordination.digests import rendezvous_order
from plantainshed_coordination.membership import Membership

from .targets import ProbeResult, TargetState, TargetTable

PROBE_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 1.0

Probe = Callable[[TargetState], Awaitable[ProbeResult]]


class Probing:
    """Probes the targets that are assigned to this VM.

    Parameters
    ----------
    membership : Membership
    targets : TargetTable
    probe : callable
        Checks one target; returns an unhealthy result instead of raising an error.

    Attributes
    ----------
    results : dict of str to ProbeResult
        Latest results of this VM by target, sent to other VMs.
    probes : int
        Number of probes that this VM has started.
    """

    def __init__(self, membership: Membership, targets: TargetTable, probe: Probe):
        self.membership = membership
        self.targets = targets
        self.probe = probe
        self.results: dict[str, ProbeResult] = {}
        self.probes = 0

    async def run(self):
        """Probe the assigned targets periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                assigned = self._assigned_targets()
                self.results = {n: r for n, r in self.results.items() if n in assigned}
                for state in assigned.values():
                    if state.wants_requests:
                        nursery.start_soon(self._probe_one, state)
                await trio.sleep(PROBE_PERIOD_S)

    def _assigned_targets(self) -> dict[str, TargetState]:
        identity = self.membership.identity
        live = self.membership.live_in_domain(identity.failure_domain)
        return {
            name: state
            for name, state in self.targets.states.items()
            if state.target.failure_domain == identity.failure_domain
            and rendezvous_order(name, live)[0] == identity.vm
        }

    async def _probe_one(self, state: TargetState):
        self.probes += 1
        result = ProbeResult(healthy=False, draining=False, load=0.0)
        with trio.move_on_after(PROBE_TIMEOUT_S):
            result = await self.probe(state)
        self.results[state.target.name] = result
        self.targets.note_probe(state.target.name, result)
