"""Stand-in for the platform's machines: settings, processes and their restarts."""

import asyncio
import os
import re
import signal
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
RESTART_PAUSE_S = 0.3
# Values of the site solarwatch-tt, as DEPLOY.md shows them.
LIMITS = {"cpuShare": 0.86, "cores": 1, "memoryMb": 300, "linkMbps": 1000.0}
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "ttl_max": "5s",
    "configApply": "2000ms",
    "retryBudgetRatio": 0.2,
    "budgetWindow": "10s",
    "budgetSlack": 60,
    "quotaWindow": "5s",
    "quotaOver": 0.1,
    "quotaSlack": 20,
    "coldOver": 1.5,
    "coldSlack": 5,
}
SECTION = re.compile(r"\{\{#(\w+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


def render(template, fields):
    """Fill in a template as DEPLOY.md describes it, as far as gateway.ini needs."""

    def section(match):
        entries = fields[match[1]].items()
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", value)
            for key, value in entries
        )

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if isinstance(found, list):
            return ",".join(map(str, found))
        return str(found)

    return PLACEHOLDER.sub(value, SECTION.sub(section, template))


class Machine:
    """One machine with a process of the deploy file's role."""

    def __init__(
        self, name, ip, zone, zones, store, folder, record, seeds, bounds=None
    ):
        self.name = name
        self.ip = ip
        self.record = record
        self.front = f"{ip}:8389"
        self.ready = f"{ip}:8384"
        self.directory = f"{ip}:8385"
        self.process = None
        self.is_wanted = False
        self.ends_by_itself = 0
        self.is_stopping = False
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.fields = {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "region": zones[zone],
            "zones": zones,
            "internalPortRange": [7460, 7475],
            "seeds": seeds,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{ip}:8383",
                "directory": self.directory,
            },
            "limits": LIMITS,
            "bounds": BOUNDS | (bounds or {}),
            "platform": {"addr": store},
        }

    def start(self):
        """Write the settings and start the process."""
        template = (ROOT / ROLE["template"]).read_text()
        self.settings.write_text(render(template, self.fields))
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PLANTAINSHED_NODE_FILE"] = str(self.settings)
        self.is_wanted = True
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ROLE["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("started", machine=self.name, pid=self.process.pid)

    async def keep_running(self):
        """Start the process again whenever it ends, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            if not self.is_wanted:
                continue
            code = self.process.returncode
            if self.is_stopping:
                self.record("ended", machine=self.name, status=code)
            else:
                self.ends_by_itself += 1
                self.record("ended by itself", machine=self.name, status=code)
            self.is_stopping = False
            await asyncio.sleep(RESTART_PAUSE_S)
            if self.is_wanted:
                self.start()

    def signal(self, number):
        """Send a signal to the process."""
        self.record("signal", machine=self.name, number=int(number))
        self.process.send_signal(number)

    async def terminate(self, grace_s):
        """Stop the process as the platform does; it is started again."""
        self.is_stopping = True
        process = self.process
        self.signal(signal.SIGTERM)
        await asyncio.sleep(grace_s)
        if process.poll() is None:
            self.record("killed after grace", machine=self.name)
            process.kill()

    def stop(self):
        """End the process for good."""
        self.is_wanted = False
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    @property
    def memory_mb(self):
        """Resident memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.file = path.open("w")

    def __call__(self, event, **fields):
        """Write one line."""
        if self.file.closed:
            return
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at = time.monotonic() - self.began_at
        self.file.write(f"{at:8.3f} {event} {text}\n")

    def close(self):
        """End the record."""
        self.file.close()


async def is_ready(machine):
    """Ask a machine as the platform does."""
    host, port = machine.ready.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1
        )
    except OSError:
        return False
    writer.write(
        f"GET /plantainshed/ready HTTP/1.1\r\nHost: {machine.ready}\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    try:
        line = await asyncio.wait_for(reader.readline(), 1)
    except (OSError, TimeoutError):
        line = b""
    writer.close()
    return b" 200 " in line


async def until_ready(machines, timeout_s):
    """Wait until all machines are ready; return whether they are."""
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        if all([await is_ready(machine) for machine in machines]):
            return True
        await asyncio.sleep(0.2)
    return False
