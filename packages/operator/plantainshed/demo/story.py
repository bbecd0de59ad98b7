"""The sequence of the demo from start to end."""

import json
import random

import trio
from attrs import evolve

from plantainshed_model import commands
from plantainshed_model.document import Document, DrainKind
from plantainshed_model.keys import issue_key

from ..changes import edit, issue, replace, withdraw
from ..context import OperatorContext, open_context
from ..settings import OperatorSettings
from ..views import load_current
from .callers import Caller, CallerRequest
from .deployment import load_deployment
from .fleet import Fleet, open_fleet
from .outcomes import Outcomes, Tally

SETTLE_S = 4.0
STEP_S = 2.0
MAX_CALLER_RATE = 25.0
RATE_FRACTION = 0.4
READ_FRACTION = 0.8
POLL_PERIOD_S = 0.05
SEED = 20261203


async def run_demo(deployment_name: str, write_line=print) -> Outcomes:
    """Run a deployment under load while an operator changes it.

    The operations are the drain of a target, the withdrawal of a key, a change of the
    configuration and the graceful stop of a VM.

    Parameters
    ----------
    deployment_name : str
        Name of a folder under ``examples``.
    write_line : callable
        Called with each line of progress output.
    """
    deployment = load_deployment(deployment_name)
    outcomes = Outcomes(Tally())
    async with open_fleet(deployment) as fleet:
        settings = OperatorSettings(
            platform=deployment.platform,
            controls=tuple(vm.control for vm in deployment.vms),
            credential="demo",
            operator="demo",
        )
        async with open_context(settings) as context:
            callers = await _prepare(context, fleet, outcomes.tally, write_line)
            async with trio.open_nursery() as load:
                load_ended = trio.Event()
                for caller in callers:
                    load.start_soon(
                        _generate_load, caller, deployment.document, load_ended
                    )
                await _run_operations(context, fleet, outcomes, write_line)
                load_ended.set()
            await _count_runs(fleet, outcomes)
    return outcomes


async def _prepare(context, fleet: Fleet, tally: Tally, write_line) -> list[Caller]:
    document = fleet.deployment.document
    keys = [issue_key(workspace.name) for workspace in document.workspaces]
    document = evolve(document, keys=tuple(key.entry for key in keys))
    revision = await replace(context, await load_current(context), document, "first")
    write_line(f"document version {revision.version}: {len(document.targets)} targets")
    with trio.fail_after(30):
        await fleet.wait_ready()
        await fleet.wait_in_force(revision.version)
    await trio.sleep(SETTLE_S)
    write_line(f"{len(fleet.running())} entry VMs are ready")
    return [
        Caller(
            _client_address(document, index),
            key.text,
            _bootstrap(fleet),
            tally,
            rate=min(MAX_CALLER_RATE, RATE_FRACTION * workspace.rate),
        )
        for index, (workspace, key) in enumerate(
            zip(document.workspaces, keys, strict=True)
        )
    ]


def _bootstrap(fleet: Fleet):
    return lambda: list(fleet.running().values())


def _client_address(document: Document, index: int) -> str:
    block = document.blocks[index * 5 % len(document.blocks)]
    return block.cidr.partition("/")[0]


async def _generate_load(caller: Caller, document: Document, load_ended: trio.Event):
    """Send reads and bookings at a constant average rate, without awaiting answers.

    Requests that are in flight when the load ends are still completed.
    """
    rng = random.Random(f"{SEED}/{caller.client}")
    reads, *bookings = [pool.prefix for pool in document.pools]
    async with trio.open_nursery() as requests:
        while not load_ended.is_set():
            await trio.sleep(rng.expovariate(caller.rate))
            if rng.random() < READ_FRACTION:
                request = CallerRequest("GET", f"{reads}/day/{rng.randrange(365)}")
            else:
                path = f"{rng.choice(bookings)}/{rng.getrandbits(48):x}"
                request = CallerRequest("POST", path, b'{"seats": 1}', is_booking=True)
            requests.start_soon(caller.send, request)


async def _run_operations(
    context: OperatorContext, fleet: Fleet, outcomes: Outcomes, write_line
):
    await trio.sleep(STEP_S)
    outcomes.drain_s = await _drain_target(context, fleet, write_line)
    outcomes.key_withdrawn_s = await _withdraw_key(context, fleet, write_line)
    outcomes.config_in_force_s = await _change_rate(context, fleet, write_line)
    await _stop_vm(fleet, write_line)
    await trio.sleep(STEP_S)


async def _drain_target(context, fleet: Fleet, write_line) -> float:
    name = fleet.deployment.document.targets[0].name
    await edit(
        context,
        lambda document: commands.start_drain(document, DrainKind.TARGET, name),
        "planned work",
    )
    ordered_at = trio.current_time()
    last_run_at = ordered_at
    runs = fleet.targets[name].runs.total()
    with trio.move_on_after(STEP_S):
        while True:
            await trio.sleep(POLL_PERIOD_S)
            if fleet.targets[name].runs.total() > runs:
                runs = fleet.targets[name].runs.total()
                last_run_at = trio.current_time()
    seconds = round(last_run_at - ordered_at, 2)
    write_line(f"drained {name}: last new request after {seconds} s")
    return seconds


async def _withdraw_key(context, fleet: Fleet, write_line) -> float:
    workspace = fleet.deployment.document.workspaces[0].name
    key, revision = await issue(context, workspace, "a key to be withdrawn")
    await fleet.wait_in_force(revision.version)
    tally = Tally()
    pool = fleet.deployment.document.pools[0]
    request = CallerRequest("GET", f"{pool.prefix}/withdrawn")
    callers = [
        Caller("127.0.0.1", key.text, (lambda a: lambda: [a])(address), tally)
        for address in fleet.running().values()
    ]
    for caller in callers:
        await caller.send(request)
    accepted_before = tally.answered
    withdrawn_at = trio.current_time()
    await withdraw(context, key.entry.key_id, "demo")
    last_accepted_at = withdrawn_at
    while trio.current_time() < withdrawn_at + STEP_S:
        for caller in callers:
            accepted = tally.answered
            await caller.send(request)
            if tally.answered > accepted:
                last_accepted_at = trio.current_time()
        await trio.sleep(POLL_PERIOD_S)
    if not accepted_before or not tally.refused["key_withdrawn"]:
        # The key was never accepted, or never refused. Returns a time that exceeds
        # the allowed maximum, so that the check of the outcomes fails.
        return STEP_S * 10
    seconds = round(last_accepted_at - withdrawn_at, 2)
    write_line(f"withdrew a key: last accepted by any VM after {seconds} s")
    return seconds


async def _change_rate(context, fleet: Fleet, write_line) -> float:
    def raise_rate(document: Document) -> Document:
        workspace = document.workspaces[0]
        return commands.put_workspace(
            document, evolve(workspace, rate=workspace.rate + 1)
        )

    revision = await edit(context, raise_rate, "a little more")
    accepted_at = trio.current_time()
    with trio.fail_after(30):
        await fleet.wait_in_force(revision.version)
    seconds = round(trio.current_time() - accepted_at, 2)
    write_line(f"version {revision.version} is in force on every VM after {seconds} s")
    return seconds


async def _stop_vm(fleet: Fleet, write_line):
    vm = next(iter(fleet.running()))
    fleet.stops[vm].set()
    with trio.fail_after(60):
        await fleet.stopped[vm].wait()
    write_line(f"stopped {vm} gracefully")


async def _count_runs(fleet: Fleet, outcomes: Outcomes):
    runs: dict[str, int] = {}
    for target in fleet.targets.values():
        outcomes.keys_seen_by_targets += target.keys_seen
        for name, count in target.runs.items():
            runs[name] = runs.get(name, 0) + count
    answered = outcomes.tally.bookings
    outcomes.run_twice = sum(1 for name in runs if "~" in name and runs[name] > 1)
    outcomes.not_run = sum(1 for name in answered if runs.get(name, 0) < 1)


def print_outcomes(outcomes: Outcomes, write_line=print):
    """Print the results as a table, and on the last line as one JSON object."""
    fields = outcomes.as_fields()
    width = max(len(name) for name in fields)
    write_line("")
    for name, value in fields.items():
        write_line(f"  {name:<{width}}  {value}")
    for violation in outcomes.violations():
        write_line(f"  VIOLATION: {violation}")
    write_line("")
    write_line(json.dumps(fields))
