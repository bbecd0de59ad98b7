"""The exchange of load reports in a simulation, at the intervals of the messages.

Heartbeats carry a VM's report to the other VMs of its failure domain. Summaries carry
the sum over a failure domain to the VMs of all others.
"""

import random
from collections.abc import Callable
from typing import Protocol

import trio

from plantainshed_gateway.selection.load_reports import FleetLoad

HEARTBEAT_INTERVAL_S = 0.5
SUMMARY_INTERVAL_S = 1.0
# Time in which a VM handles a message, in addition to half a round trip.
PROCESSING_S = 0.01


class ReportingVm(Protocol):
    """The part of a VM that takes part in the exchange."""

    name: str
    failure_domain: str
    load: FleetLoad


async def exchange_reports(
    vms: list[ReportingVm],
    round_trip_s: Callable[[str, str], float],
    rng: random.Random,
):
    """Exchange the reports of all VMs until cancelled.

    Parameters
    ----------
    vms : list of ReportingVm
    round_trip_s : callable
        Returns the round-trip time between two failure domains.
    rng : random.Random
        Draws when each VM sends its first message.
    """
    by_domain: dict[str, list[ReportingVm]] = {}
    for vm in vms:
        by_domain.setdefault(vm.failure_domain, []).append(vm)
    async with trio.open_nursery() as nursery:
        for vm in vms:
            delay_s = round_trip_s(vm.failure_domain, vm.failure_domain) / 2
            others = [one for one in by_domain[vm.failure_domain] if one is not vm]
            first_s = rng.uniform(0.0, HEARTBEAT_INTERVAL_S)
            nursery.start_soon(_send_heartbeats, vm, others, delay_s, first_s)
        for domain, (speaker, *_) in by_domain.items():
            by_delay: dict[float, list[ReportingVm]] = {}
            for other, receivers in by_domain.items():
                if other != domain:
                    delay_s = round_trip_s(domain, other) / 2
                    by_delay.setdefault(delay_s, []).extend(receivers)
            first_s = rng.uniform(0.0, SUMMARY_INTERVAL_S)
            nursery.start_soon(_send_summaries, speaker, by_delay, first_s)


async def _send_heartbeats(
    vm: ReportingVm, others: list[ReportingVm], delay_s: float, first_s: float
):
    next_at = trio.current_time() + first_s
    while True:
        await trio.sleep_until(next_at)
        report = vm.load.own.report()
        await trio.sleep(delay_s + PROCESSING_S)
        for other in others:
            other.load.record_vm(vm.name, report)
        next_at += HEARTBEAT_INTERVAL_S


async def _send_summaries(
    speaker: ReportingVm, by_delay: dict[float, list[ReportingVm]], first_s: float
):
    next_at = trio.current_time() + first_s
    while True:
        await trio.sleep_until(next_at)
        report = speaker.load.of_own_domain()
        for delay_s in sorted(by_delay):
            await trio.sleep_until(next_at + delay_s + PROCESSING_S)
            for other in by_delay[delay_s]:
                # The receivers don't know the age on arrival, which is the delay.
                other.load.record_domain(speaker.failure_domain, report, age_s=0.0)
        next_at += SUMMARY_INTERVAL_S
