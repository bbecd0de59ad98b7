"""The servers of the demo: platform, targets and entry daemons."""

import contextlib

import orjson
import trio
from attrs import define, field

from plantainshed_coordination.addresses import split_address
from plantainshed_coordination.platform import ListedVm
from plantainshed_entry.daemon import run_daemon
from plantainshed_http.client import fetch
from plantainshed_http.errors import HttpError
from plantainshed_http.server import Stopping
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer
from plantainshed_standins.target_server import TargetServer

from .deployment import Deployment

READY_POLL_S = 0.05


@define
class Fleet:
    """A running deployment.

    Attributes
    ----------
    deployment : Deployment
    platform : MemoryPlatform
    targets : dict of str to TargetServer
        By target name.
    stops : dict of str to trio.Event
        By VM; setting the event stops the VM gracefully.
    stopped : dict of str to trio.Event
        By VM; the event is set when the VM has stopped.
    """

    deployment: Deployment
    platform: MemoryPlatform
    targets: dict[str, TargetServer] = field(factory=dict)
    stops: dict[str, trio.Event] = field(factory=dict)
    stopped: dict[str, trio.Event] = field(factory=dict)

    def running(self) -> dict[str, str]:
        """Return the address for callers of each VM that has not been stopped."""
        return {
            vm.vm: vm.listen
            for vm in self.deployment.vms
            if not self.stops[vm.vm].is_set()
        }

    async def versions(self) -> dict[str, int]:
        """Return the document version that each running VM reports as in force.

        The version of a VM that does not answer is 0.
        """
        versions = {}
        for vm, address in self.running().items():
            try:
                _, body = await fetch(address, "GET", "/readyz", timeout_s=1.0)
            except HttpError:
                versions[vm] = 0
                continue
            versions[vm] = orjson.loads(body)["document_version"]
        return versions

    async def wait_in_force(self, version: int):
        """Wait until every running VM applies the given or a newer version."""
        while min((await self.versions()).values()) < version:
            await trio.sleep(READY_POLL_S)

    async def wait_ready(self):
        """Wait until every running VM reports that it is ready."""
        for address in self.running().values():
            while not await _is_ready(address):
                await trio.sleep(READY_POLL_S)


@contextlib.asynccontextmanager
async def open_fleet(deployment: Deployment):
    """Start a deployment; stop its VMs and servers when the block ends."""
    platform = MemoryPlatform()
    fleet = Fleet(deployment, platform)
    async with trio.open_nursery() as nursery:
        await _start_platform(nursery, fleet)
        await _start_targets(nursery, fleet)
        for settings in deployment.vms:
            platform.vms[settings.vm] = ListedVm(settings.vm, leaving=False)
            fleet.stops[settings.vm] = trio.Event()
            fleet.stopped[settings.vm] = trio.Event()
            nursery.start_soon(_run_vm, fleet, settings)
        yield fleet
        for stop in fleet.stops.values():
            stop.set()
        for stopped in fleet.stopped.values():
            await stopped.wait()
        nursery.cancel_scope.cancel()


async def _run_vm(fleet: Fleet, settings):
    await run_daemon(settings, fleet.stops[settings.vm], trio.Event())
    fleet.platform.vms.pop(settings.vm, None)
    fleet.stopped[settings.vm].set()


async def _start_platform(nursery, fleet: Fleet):
    listeners = await _listen(fleet.deployment.platform)
    nursery.start_soon(PlatformServer(fleet.platform).serve, listeners, Stopping())


async def _start_targets(nursery, fleet: Fleet):
    pools = {pool.name: pool for pool in fleet.deployment.document.pools}
    for target in fleet.deployment.document.targets:
        pool = pools[target.pool]
        server = TargetServer(target.name, pool.slots, pool.service_time_s)
        fleet.targets[target.name] = server
        listeners = await _listen(target.address)
        nursery.start_soon(server.serve, listeners, Stopping())


async def _listen(address: str):
    host, port = split_address(address)
    return await trio.open_tcp_listeners(port, host=host)


async def _is_ready(address: str) -> bool:
    try:
        head, _ = await fetch(address, "GET", "/readyz", timeout_s=1.0)
    except HttpError:
        return False
    return head.status == 200
