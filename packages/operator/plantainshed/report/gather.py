"""Collection of the report's data from the fleet and the document's history."""

from collections import Counter
from datetime import UTC, datetime, timedelta

import orjson
import trio
from attrs import define, field

from plantainshed_coordination.errors import PeerError
from plantainshed_coordination.versioned import Revision
from plantainshed_entry.commands import FACTS

from ..context import OperatorContext
from ..errors import OperatorError
from ..views import fleet_status, history

HISTORY_LIMIT = 2000
WITHIN_RATE_REASONS = ("no_room", "no_target", "not_ready", "offline_limit", "stopping")


@define
class Report:
    """The data of the report. Counts are since the start of each VM.

    Attributes
    ----------
    made_at : str
    unknown : list of str
        Sources that did not answer, each with the error.
    answered : dict of str to int
        Number of answered requests, by workspace.
    refused : list of dict
        Refused requests. Each item has ``reason``, ``outcome``, ``workspace`` and
        ``count``.
    headroom : dict of str to dict of str to float
        Lowest fraction of free slots, by failure domain and pool.
    drains : dict of str to float
        Seconds until a drained target was idle, by target; the maximum over all
        VMs.
    incidents : list of dict
        Incidents, each with the VM that recorded it as ``seen_by``.
    changes : list of Revision
        Changes of the document in the reported period.
    """

    made_at: str
    unknown: list[str] = field(factory=list)
    answered: dict[str, int] = field(factory=dict)
    refused: list[dict] = field(factory=list)
    headroom: dict[str, dict[str, float]] = field(factory=dict)
    drains: dict[str, float] = field(factory=dict)
    incidents: list[dict] = field(factory=list)
    changes: list[Revision] = field(factory=list)

    def refused_within_rate(self) -> int:
        """Return how many requests were refused although within their rate limit."""
        return sum(
            row["count"] for row in self.refused if row["reason"] in WITHIN_RATE_REASONS
        )

    def served_shares(self) -> dict[str, float]:
        """Return the fraction of answered requests by workspace, lowest first."""
        refused = Counter()
        for row in self.refused:
            refused[row["workspace"]] += row["count"]
        shares = {}
        for workspace in self.answered.keys() | refused.keys():
            answered = self.answered.get(workspace, 0)
            total = answered + refused[workspace]
            if workspace and total:
                shares[workspace] = round(answered / total, 4)
        return dict(sorted(shares.items(), key=lambda item: (item[1], item[0])))


async def gather(context: OperatorContext, hours: float) -> Report:
    """Query all VMs and the store; list in the report those that do not answer.

    Parameters
    ----------
    hours : float
        Age limit of the listed changes.
    """
    report = Report(datetime.now(UTC).isoformat(timespec="seconds"))
    await _collect_fleet_facts(context, report)
    try:
        since = datetime.now(UTC) - timedelta(hours=hours)
        report.changes = [
            revision
            for revision in await history(context, HISTORY_LIMIT)
            if datetime.fromisoformat(revision.changed_at) >= since
        ]
    except OperatorError as error:
        report.unknown.append(f"history of changes: {error}")
    return report


async def _collect_fleet_facts(context: OperatorContext, report: Report):
    try:
        status = await fleet_status(context)
    except OperatorError as error:
        report.unknown.append(f"all VMs: {error}")
        return
    async with trio.open_nursery() as nursery:
        for vm in status["vms"]:
            nursery.start_soon(_collect_vm_facts, context, vm, report)


async def _collect_vm_facts(context: OperatorContext, vm: dict, report: Report):
    try:
        value = await context.control.command(
            vm["control"], FACTS, b"{}", context.settings.credential
        )
    except PeerError as error:
        report.unknown.append(f"{vm['vm']}: {error}")
        return
    _merge_facts(report, orjson.loads(value))


def _merge_facts(report: Report, facts: dict):
    for workspace, count in facts["answered"].items():
        report.answered[workspace] = report.answered.get(workspace, 0) + count
    _merge_refusals(report, facts["refused"])
    domain = report.headroom.setdefault(facts["failure_domain"], {})
    for pool, free in facts["headroom_min"].items():
        domain[pool] = min(free, domain.get(pool, 1.0))
    for target, seconds in facts["drain_s"].items():
        report.drains[target] = max(seconds, report.drains.get(target, 0.0))
    for incident in facts["incidents"]:
        report.incidents.append({"seen_by": facts["vm"], **incident})


def _merge_refusals(report: Report, rows: list[dict]):
    for row in rows:
        for known in report.refused:
            if all(known[k] == row[k] for k in ("reason", "outcome", "workspace")):
                known["count"] += row["count"]
                break
        else:
            report.refused.append(dict(row))
