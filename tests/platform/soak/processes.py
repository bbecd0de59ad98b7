"""The gateways of a soak, each a process of its own at its own loopback IP."""

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import trio
from attrs import define

from tests.platform.daemon_support import filled_template, free_ports

from .proxy import Proxy, running_proxy
from .settings import GRACE_S, SoakSettings

RESTART_S = 0.3
# A killed process is over at once; one that was told to stop after its grace.
KILL_AFTER_S = GRACE_S + 2.0


@define
class Vm:
    """One gateway.

    Attributes
    ----------
    store : Proxy
        Its way to the store.
    process : trio.Process or None
    stopping_since : float or None
        When it was told to stop.
    ended_by_itself : int
        Times that its process ended though nobody had told it to.
    """

    name: str
    failure_domain: str
    ip: str
    store: Proxy
    settings: Path
    log: Path
    ports: list[int]
    process: trio.Process | None = None
    stopping_since: float | None = None
    ended_by_itself: int = 0
    is_told: bool = False
    revision: int = 0

    @property
    def callers(self) -> str:
        """Where callers connect."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def lookup(self) -> str:
        """Where look-ups are answered."""
        return f"{self.ip}:{self.ports[2]}"

    def send(self, number: int):
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def run(self):
        """Keep the process running until cancelled; it ends with the task."""
        try:
            while True:
                await self._run_once()
                await trio.sleep(RESTART_S)
        finally:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)

    async def _run_once(self):
        self.is_told, self.stopping_since = False, None
        with self.log.open("ab") as out:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "plantainshed_platform"],
                env={**os.environ, "PLANTAINSHED_NODE_FILE": str(self.settings)},
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        await self.process.wait()
        if not self.is_told:
            self.ended_by_itself += 1

    def kill(self):
        """End the process as a crash does."""
        self.is_told = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)

    async def stop(self):
        """Tell the process to stop, and see to it that it does."""
        if self.stopping_since is not None:
            return
        self.is_told, self.stopping_since = True, trio.current_time()
        process = self.process
        self.send(signal.SIGTERM)
        with trio.move_on_after(KILL_AFTER_S):
            await process.wait()
            return
        self.kill()

    def change_settings(self):
        """Write the settings file anew, with a field that it does not know."""
        self.revision += 1
        text = self.settings.read_text().partition("[future]")[0]
        self.settings.write_text(f"{text}[future]\nrevision = {self.revision}\n")


@contextlib.asynccontextmanager
async def running_vms(settings: SoakSettings, store_address: str, folder: Path):
    """Run all gateways for the length of a block."""
    ports = free_ports(6)
    # Soaks that run at once have each a range of loopback addresses.
    net = 1 + (os.getpid() % 250)
    domains = [f"domain-{n}" for n in range(settings.domains)]
    zones = "".join(f"{name} = region-{n % 2}\n" for n, name in enumerate(domains))
    ips = [f"127.{net}.{n % settings.domains}.{n + 1}" for n in range(settings.vms)]
    vms = []
    async with contextlib.AsyncExitStack() as stack:
        for number, ip in enumerate(ips):
            domain = number % settings.domains
            proxy = await stack.enter_async_context(running_proxy(store_address))
            file = folder / f"vm-{number}.ini"
            file.write_text(
                filled_template(
                    proxy.address,
                    ports,
                    zones,
                    nodeName=f"vm-{number}",
                    zone=domains[domain],
                    region=f"region-{domain % 2}",
                    ip=ip,
                    seeds=",".join(f"{seed}:{ports[3]}" for seed in ips[:3]),
                    **{"bounds.grace": f"{GRACE_S:g}s"},
                )
            )
            log = folder / f"vm-{number}.log"
            vms.append(Vm(f"vm-{number}", domains[domain], ip, proxy, file, log, ports))
        nursery = await stack.enter_async_context(trio.open_nursery())
        for vm in vms:
            nursery.start_soon(vm.run)
        yield vms
        nursery.cancel_scope.cancel()
