"""Settings files of the daemon, rendered from the template as the platform does."""

import os
from pathlib import Path

from plantainshed.demo.deployment import free_address
from plantainshed_coordination.addresses import split_address

# Each test process has its own loopback address. On a shared address, one process
# could occasionally take a port that another has chosen but does not use yet.
PID = os.getpid()
IP = f"127.{100 + (PID >> 16) % 100}.{PID >> 8 & 255}.{1 + PID % 254}"
TEMPLATE = Path(__file__).parents[2] / "deploy" / "gateway.ini"
ZONES = "{{#zones}}\n{{@}} = {{.}}\n{{/zones}}\n"
FIELDS = {
    "nodeName": "edge-mil-a-1",
    "zone": "mil-a",
    "region": "lombardia",
    "ip": IP,
    "limits.linkMbps": "1000",
    "limits.memoryMb": "512",
    "seeds": "",
    "bounds.grace": "2s",
    "bounds.ttl_max": "5s",
    "bounds.configApply": "2s",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetSlack": "64",
    "bounds.budgetWindow": "10s",
    "bounds.quotaWindow": "5s",
    "bounds.quotaOver": "0.1",
    "bounds.quotaSlack": "20",
    "bounds.coldOver": "1.5",
    "bounds.coldSlack": "5",
}


def filled_template(
    store: str, ports: list[int], zones="mil-a = lombardia\n", **fields
) -> str:
    """Render the settings template as the platform does."""
    text = TEMPLATE.read_text()
    text = text.replace(ZONES, zones)
    values = {**FIELDS, "platform.addr": store, **fields}
    for name, port in zip(
        ("listen.front", "listen.ready", "listen.directory", "listen.control"),
        ports,
        strict=False,
    ):
        values[name] = f"{values['ip']}:{port}"
    values["internalPortRange.0"] = str(ports[4])
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", value)
    return text.replace(":9464", f":{ports[5]}")


def free_ports(count: int) -> list[int]:
    """Return ports without a listener that the system does not use for connections."""
    return [split_address(free_address())[1] for _ in range(count)]
