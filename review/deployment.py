"""A small deployment: three machines in three zones, one store, some servers."""

import asyncio
import contextlib
import os
import random
import tempfile
from pathlib import Path

from client import Client, Directory
from machines import Machine, Record
from server import Server
from store import Store

ZONES = {
    "pos-laventille": "port-of-spain",
    "sf-marabella": "san-fernando",
    "sc-lowlands": "scarborough",
}
HOST = "jepu9.example"
KEY = "tnfzs989anu6wsjnbanf"
SERVICE = "huvo11a"
READ = "/lepu270/"
WRITE = "/xapu221/"
MAX_SEEDS = 3
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


def configuration(version=7, **changes):
    """Return a configuration with an idempotent and a non-idempotent route."""
    route = {"timeout": "4000ms", "targetLatency": "600ms", "priority": 1}
    route |= {"attempts": 2, "public": False, "sticky": False, "homeRegions": []}
    route |= {"service": SERVICE}
    paths = [
        {**route, "name": "r-read", "prefix": READ, "kind": "idempotent"},
        {**route, "name": "r-write", "prefix": WRITE, "kind": "non_idempotent"},
    ]
    tenant = {"name": "yefi830", "apiKeys": [KEY], "priority": 0}
    tenant |= {"ratePerS": 0, "burst": 0, "homeRegions": []}
    service = {"name": SERVICE, "healthPath": "/health", "maxConns": 360}
    service |= {"protocol": "h1", "tls": False, "warmup": "0s", "warmupPerS": 0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    limits |= {"headerTimeout": "3000ms", "idleTimeout": "15000ms"}
    return {
        "version": version,
        "services": [service],
        "limits": limits,
        "tenants": [tenant],
        "baseVersion": version - 1,
        "hosts": [{"host": HOST, "paths": paths}],
        **changes,
    }


class Deployment:
    """All parts of the deployment, and a record of what happens."""

    def __init__(
        self,
        folder,
        work,
        servers_per_zone=2,
        bounds=None,
        slots=4,
        machines=(1, 1, 1),
        make_server=Server,
        first_configuration=None,
    ):
        self.record = Record(folder / "record.txt")
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 200}"
        self.store = Store(f"{net}.1")
        self.net = net
        self.work = work
        self.servers_per_zone = servers_per_zone
        self.bounds = bounds
        self.slots = slots
        self.machines_per_zone = machines
        self.make_server = make_server
        self.first_configuration = first_configuration or configuration()
        self.servers = []
        self.machines = []
        self.clients = []
        self.tasks = []

    async def start_platform(self):
        """Start the store and the servers, and write the first configuration."""
        await self.store.start()
        self.store.put("config", "main", self.first_configuration)
        number = 0
        for zone in ZONES:
            for _ in range(self.servers_per_zone):
                number += 1
                server = self.make_server(
                    f"i-7f3a91c{number}",
                    SERVICE,
                    zone,
                    f"{self.net}.{50 + number}",
                    self.store,
                    self.record,
                    self.slots,
                )
                await server.start()
                self.servers.append(server)

    def start_machines(self):
        """Start the machines of all zones."""
        places = [
            (zone, number + 1)
            for zone, count in zip(ZONES, self.machines_per_zone, strict=True)
            for number in range(count)
        ]
        ips = [f"{self.net}.{10 + n}" for n in range(len(places))]
        seeds = [f"{ip}:8383" for ip in ips[:MAX_SEEDS]]
        for (zone, number), ip in zip(places, ips, strict=True):
            machine = Machine(
                f"edge-{zone}-{number}",
                ip,
                zone,
                ZONES,
                self.store.address,
                self.work,
                self.record,
                seeds,
                self.bounds,
            )
            machine.start()
            self.machines.append(machine)
            self.tasks.append(asyncio.create_task(machine.keep_running()))

    def start_clients(
        self, per_s, write_share=0.3, deadline_ms=4000, keeps=(1,), zones=ZONES
    ):
        """Send requests from some zones at a steady rate.

        `keeps` names, for each client of a zone, how many times as long as they say it
        keeps the answers of the directory.
        """
        rate = per_s / len(zones) / len(keeps)
        for zone in zones:
            region = ZONES[zone]
            near = sorted(self.machines, key=lambda m: m.fields["region"] != region)
            for times in keeps:
                directory = Directory(near, HOST, region, zone, times)
                client = Client(directory, KEY, self.record)
                self.clients.append(client)
                load = self._load(client, rate, write_share, deadline_ms)
                self.tasks.append(asyncio.create_task(load))

    async def _load(self, client, per_s, write_share, deadline_ms):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            number = random.randrange(40)
            if random.random() < write_share:
                request = client.request(
                    f"POST {WRITE}{number}", False, deadline_ms, b"order"
                )
            else:
                request = client.request(f"GET {READ}{number}", True, deadline_ms)
            task = asyncio.create_task(request)
            self.tasks.append(task)

    async def stop(self):
        """End all processes and tasks."""
        for machine in self.machines:
            machine.stop()
        for server in self.servers:
            server.end()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.record.close()


@contextlib.asynccontextmanager
async def running(folder, **options):
    """Run a deployment; all its processes end with the block."""
    with tempfile.TemporaryDirectory() as work:
        deployment = Deployment(folder, Path(work), **options)
        try:
            await deployment.start_platform()
            yield deployment
        finally:
            await deployment.stop()
