"""Health checks of targets: one prober for each target, its findings shared.

A probe takes a target's time, so that each target is probed by just one VM of
its failure domain, chosen by rendezvous hashing. The others learn what it
found from its heartbeats.
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
    """Probes the targets that fall to this VM.

    Parameters
    ----------
    membership : Membership
    targets : TargetTable
    probe : callable
        Checks one target; never raises for a broken one.

    Attributes
    ----------
    results : dict of str to ProbeResult
        What this VM found, to be shared.
    probes : int
        How often this VM probed.
    """

    def __init__(self, membership: Membership, targets: TargetTable, probe: Probe):
        self.membership = membership
        self.targets = targets
        self.probe = probe
        self.results: dict[str, ProbeResult] = {}
        self.probes = 0

    async def run(self):
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                mine = self._own_targets()
                self.results = {n: f for n, f in self.results.items() if n in mine}
                for state in mine.values():
                    nursery.start_soon(self._probe_one, state)
                await trio.sleep(PROBE_PERIOD_S)

    def _own_targets(self) -> dict[str, TargetState]:
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
        news = ProbeResult(healthy=False, draining=False, load=0.0)
        with trio.move_on_after(PROBE_TIMEOUT_S):
            news = await self.probe(state)
        self.results[state.target.name] = news
        self.targets.note_probe(state.target.name, news)
