"""Runs the gateways of a soak, each as a process with its own loopback IP."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import trio
from attrs import define, field

from plantainshed_coordination.addresses import split_address
from tests.platform.daemon_support import filled_template, free_ports

from .gateway import CUT_FILE_VARIABLE, IP_VARIABLE
from .proxy import Proxy, running_proxy
from .settings import GRACE_S, SoakSettings
from .waits import CpuWaits, cpu_times_s

GATEWAY_COMMAND = (sys.executable, "-m", "tests.platform.soak.gateway")
RESTART_DELAY_S = 0.3
STARTED_MESSAGE = b'"message":"start"'
READY_MESSAGE = b'"message":"ready"'
# A gateway that was asked to stop is killed if it outlives its grace period by 2 s.
KILL_AFTER_S = GRACE_S + 2.0


@define
class Vm:
    """One gateway process and its restarts.

    Attributes
    ----------
    store_proxy : Proxy
        Proxy through which it reaches the store.
    process : trio.Process or None
    stopping_since : float or None
        When the current process was sent SIGTERM to stop.
    was_starting : bool
        Whether it had not yet logged its first line at that time.
    sent_signals : list of str
        Names of the signals sent to the current process.
    unexpected_exits : list of str
        Descriptions of exits that were not requested or had an unexpected status.
    late_exits : list of tuple
        Times of SIGTERM and SIGKILL of each process that did not stop in time.
    failed_starts : list of str
        Processes that received SIGHUP during startup and did not become ready.
    stops : list of tuple
        Start and end of each requested stop.
    waits : CpuWaits
        How long its processes waited for a CPU.
    """

    name: str
    failure_domain: str
    ip: str
    store_proxy: Proxy
    settings_file: Path
    log_file: Path
    ports: list[int]
    command: tuple[str, ...] = GATEWAY_COMMAND
    process: trio.Process | None = None
    stopping_since: float | None = None
    was_starting: bool = False
    is_killed: bool = False
    settings_revision: int = 0
    log_offset: int = 0
    sent_signals: list[str] = field(factory=list)
    unexpected_exits: list[str] = field(factory=list)
    late_exits: list[tuple[float, float]] = field(factory=list)
    failed_starts: list[str] = field(factory=list)
    stops: list[tuple[float, float]] = field(factory=list)
    waits: CpuWaits = field(factory=CpuWaits)

    @property
    def request_address(self) -> str:
        """Address for callers' requests."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def lookup_address(self) -> str:
        """Address that answers look-ups."""
        return f"{self.ip}:{self.ports[2]}"

    @property
    def cut_file(self) -> Path:
        """File that cuts its links to the targets while it exists."""
        return self.settings_file.with_suffix(".cut")

    @property
    def is_running(self) -> bool:
        """Whether the gateway process is running."""
        return self.process is not None and self.process.returncode is None

    @property
    def is_ready(self) -> bool:
        """Whether the current process has logged that it is ready."""
        return self.is_running and self.has_logged(READY_MESSAGE)

    @property
    def waited_s(self) -> float:
        """How long the current process has waited for a CPU."""
        return cpu_times_s(self.process.pid)[1] if self.is_running else 0.0

    def has_logged(self, line: bytes) -> bool:
        """Return whether the log of the current process contains a text."""
        with self.log_file.open("rb") as log:
            log.seek(self.log_offset)
            return line in log.read()

    def send(self, number: int):
        """Send a signal if the process is running."""
        if self.is_running:
            self.sent_signals.append(signal.Signals(number).name)
            self.process.send_signal(number)

    async def run(self):
        """Run the process, restarting it on exit, and kill it on cancellation."""
        try:
            while True:
                await self._run_once()
                await trio.sleep(RESTART_DELAY_S)
        finally:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            with trio.CancelScope(shield=True):
                await self._wait_for_exit()

    async def _wait_for_exit(self):
        if self.process is not None:
            await self.process.wait()

    async def _run_once(self):
        with self.log_file.open("ab") as out:
            self.log_offset = out.tell()
            self.waits.start_process()
            process = await trio.lowlevel.open_process(
                self.command,
                env={
                    **os.environ,
                    "PLANTAINSHED_NODE_FILE": str(self.settings_file),
                    IP_VARIABLE: self.ip,
                    CUT_FILE_VARIABLE: str(self.cut_file),
                },
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        # Set only now: signals sent before were for the previous process or for none.
        self.process, self.stopping_since, self.is_killed = process, None, False
        self.sent_signals = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.waits.watch, process)
            await process.wait()
            nursery.cancel_scope.cancel()
        self.record_exit(process.returncode)

    def record_exit(self, status: int):
        """Record the exit of the process and check its status.

        A process that was asked to stop exits with 0, whatever other signals it got.
        The exception is SIGTERM before its first log line: its handlers may not be
        installed yet, so the default action ends it.
        """
        sent = " ".join(self.sent_signals[-6:]) or "no signal"
        line = f"ended with status {status} after {sent}"
        if self.stopping_since is None:
            if not (self.is_killed and status == -signal.SIGKILL):
                self.unexpected_exits.append(f"{line}, without a request to stop")
            return
        now = trio.current_time()
        self.stops.append((self.stopping_since, now))
        is_expected = (
            status == 0
            or (self.is_killed and status == -signal.SIGKILL)
            or (self.was_starting and status == -signal.SIGTERM)
        )
        if not is_expected:
            since_s = now - self.stopping_since
            self.unexpected_exits.append(
                f"{line}, {since_s:.2f} s after it was asked to stop"
            )

    def kill(self):
        """Kill the process with SIGKILL, as a crash would."""
        self.is_killed = self.is_killed or self.is_running
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)

    async def stop(self):
        """Stop the process with SIGTERM; kill it if it does not exit in time."""
        if self.stopping_since is not None or not self.is_running:
            return
        process, self.stopping_since = self.process, trio.current_time()
        self.was_starting = not self.has_logged(STARTED_MESSAGE)
        self.send(signal.SIGTERM)
        with trio.move_on_after(KILL_AFTER_S):
            await process.wait()
            return
        self.late_exits.append((self.stopping_since, trio.current_time()))
        self.kill()

    def cut_from(self, targets: list[str], black_hole: str | None):
        """Make its new connections to targets fail; see `gateway.link_connections`."""
        addresses = [split_address(address) for address in targets]
        hole = black_hole and split_address(black_hole)
        written = self.cut_file.with_suffix(".new")
        written.write_text(json.dumps({"targets": addresses, "black_hole": hole}))
        written.rename(self.cut_file)

    def end_cut(self):
        """Let it connect to the targets again."""
        self.cut_file.unlink(missing_ok=True)

    def change_settings(self):
        """Rewrite the settings file with a field that the gateway does not know."""
        self.settings_revision += 1
        text = self.settings_file.read_text().partition("[future]")[0]
        self.settings_file.write_text(
            f"{text}[future]\nrevision = {self.settings_revision}\n"
        )


@contextlib.asynccontextmanager
async def running_vms(settings: SoakSettings, store_address: str, folder: Path):
    """Run all gateways for the duration of a block."""
    ports = free_ports(6)
    # The process ID selects a loopback range, so that concurrent soaks do not clash.
    subnet = 1 + (os.getpid() % 250)
    domains = [f"domain-{n}" for n in range(settings.domains)]
    zones = "".join(f"{name} = region-{n % 2}\n" for n, name in enumerate(domains))
    ips = [f"127.{subnet}.{n % settings.domains}.{n + 1}" for n in range(settings.vms)]
    vms = []
    async with contextlib.AsyncExitStack() as stack:
        for number, ip in enumerate(ips):
            domain = number % settings.domains
            proxy = await stack.enter_async_context(running_proxy(store_address))
            settings_file = folder / f"vm-{number}.ini"
            settings_file.write_text(
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
            log_file = folder / f"vm-{number}.log"
            vms.append(
                Vm(
                    f"vm-{number}",
                    domains[domain],
                    ip,
                    proxy,
                    settings_file,
                    log_file,
                    ports,
                )
            )
        nursery = await stack.enter_async_context(trio.open_nursery())
        for vm in vms:
            nursery.start_soon(vm.run)
        yield vms
        nursery.cancel_scope.cancel()
