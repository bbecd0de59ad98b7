"""Validation of the traffic document.

`check` reports all faults at once, so that an operator can fix them in one edit.
"""

import ipaddress
import math
from collections import Counter

from plantainshed_coordination.addresses import is_address

from .document import Document, DrainKind
from .errors import Fault, InvalidDocument

MAX_RATE = 1_000_000.0
MAX_SLOTS = 100_000
DIGEST_LENGTH = 64
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")


def require_valid(document: Document) -> Document:
    """Return the document if it is valid.

    Raises
    ------
    InvalidDocument
        With all faults of the document.
    """
    faults = check(document)
    if faults:
        raise InvalidDocument(faults)
    return document


def check(document: Document) -> list[Fault]:
    """Return all faults of the document; empty if it is valid."""
    return [
        *_check_names(document),
        *_check_topology(document),
        *_check_workspaces(document),
        *_check_pools(document),
        *_check_targets(document),
        *_check_blocks(document),
        *_check_shifts(document),
        *_check_drains(document),
    ]


def _check_names(document):
    named_lists = {
        "regions": document.regions,
        "failure_domains": document.failure_domains,
        "workspaces": document.workspaces,
        "pools": document.pools,
        "targets": document.targets,
        "shifts": document.shifts,
    }
    for path, items in named_lists.items():
        yield from _check_unique(path, [item.name for item in items])
        for item in items:
            if not item.name or not set(item.name) <= NAME_CHARACTERS:
                yield Fault(
                    f"{path}[{item.name}].name",
                    "must be lower-case letters, digits, '-', '_' or '.'",
                )
    yield from _check_unique("keys", [key.key_id for key in document.keys])
    yield from _check_unique("blocks", [block.cidr for block in document.blocks])


def _check_unique(path, names):
    for name, count in Counter(names).items():
        if count > 1:
            yield Fault(f"{path}[{name}]", f"occurs {count} times; must be unique")


def _check_topology(document):
    regions = {region.name for region in document.regions}
    for domain in document.failure_domains:
        yield from _check_known(
            f"failure_domains[{domain.name}].region", domain.region, regions, "region"
        )
    for link in document.links:
        path = f"links[{link.region_a}/{link.region_b}]"
        yield from _check_known(f"{path}.region_a", link.region_a, regions, "region")
        yield from _check_known(f"{path}.region_b", link.region_b, regions, "region")
        yield from _check_number(f"{path}.megabits_s", link.megabits_s, 0, math.inf)
        if link.region_a == link.region_b:
            yield Fault(path, "must connect two different regions")


def _check_workspaces(document):
    names = {workspace.name for workspace in document.workspaces}
    for workspace in document.workspaces:
        path = f"workspaces[{workspace.name}]"
        yield from _check_number(f"{path}.rate", workspace.rate, 0, MAX_RATE)
        yield from _check_number(f"{path}.burst", workspace.burst, 1, MAX_RATE)
        yield from _check_number(
            f"{path}.offline_limit_s", workspace.offline_limit_s, 0, 86_400
        )
    for key in document.keys:
        path = f"keys[{key.key_id}]"
        yield from _check_known(f"{path}.workspace", key.workspace, names, "workspace")
        if len(key.digest) != DIGEST_LENGTH:
            yield Fault(f"{path}.digest", "must be a SHA-256 digest in hexadecimal")


def _check_pools(document):
    yield from _check_unique("pools.prefix", [pool.prefix for pool in document.pools])
    for pool in document.pools:
        path = f"pools[{pool.name}]"
        if not pool.prefix.startswith("/"):
            yield Fault(f"{path}.prefix", f"{pool.prefix!r} must start with '/'")
        if not pool.probe_path.startswith("/"):
            yield Fault(f"{path}.probe_path", "must start with '/'")
        yield from _check_number(f"{path}.slots", pool.slots, 1, MAX_SLOTS)
        yield from _check_number(f"{path}.connections", pool.connections, 1, MAX_SLOTS)
        yield from _check_number(f"{path}.timeout_s", pool.timeout_s, 0.001, 3600)
        yield from _check_number(
            f"{path}.service_time_s", pool.service_time_s, 0.0001, 3600
        )
        yield from _check_number(f"{path}.ramp_s", pool.ramp_s, 0, 3600)


def _check_targets(document):
    pools = {pool.name for pool in document.pools}
    domains = {domain.name for domain in document.failure_domains}
    for target in document.targets:
        path = f"targets[{target.name}]"
        yield from _check_known(f"{path}.pool", target.pool, pools, "pool")
        yield from _check_known(
            f"{path}.failure_domain", target.failure_domain, domains, "failure domain"
        )
        if not is_address(target.address):
            yield Fault(
                f"{path}.address", f"{target.address!r} must be IP:PORT, such as "
                "10.0.0.1:8080"
            )  # fmt: skip


def _check_blocks(document):
    domains = {domain.name for domain in document.failure_domains}
    for block in document.blocks:
        path = f"blocks[{block.cidr}]"
        yield from _check_known(
            f"{path}.failure_domain", block.failure_domain, domains, "failure domain"
        )
        try:
            ipaddress.ip_network(block.cidr)
        except ValueError as error:
            yield Fault(
                f"{path}.cidr", f"must be a network such as 10.0.0.0/24: {error}"
            )


def _check_shifts(document):
    regions = {region.name for region in document.regions}
    pools = {pool.name for pool in document.pools}
    for shift in document.shifts:
        path = f"shifts[{shift.name}]"
        yield from _check_known(f"{path}.pool", shift.pool, pools, "pool")
        for name in ("from_region", "to_region"):
            yield from _check_known(
                f"{path}.{name}", getattr(shift, name), regions, "region"
            )
        if shift.from_region == shift.to_region:
            yield Fault(f"{path}.to_region", "must differ from from_region")
        yield from _check_number(f"{path}.cap", shift.cap, 0, MAX_RATE)


def _check_drains(document):
    known = {
        DrainKind.TARGET: {target.name for target in document.targets},
        DrainKind.FAILURE_DOMAIN: {item.name for item in document.failure_domains},
    }
    for drain in document.drains:
        names = known.get(drain.kind)
        if names is not None:
            yield from _check_known(
                f"drains[{drain.name}].name", drain.name, names, drain.kind
            )


def _check_known(path, name, known, kind):
    if name not in known:
        yield Fault(path, f"{name!r} is not a {kind} of this document")


def _check_number(path, value, lowest, highest):
    if not (math.isfinite(value) and lowest <= value <= highest):
        yield Fault(path, f"{value} must be between {lowest:g} and {highest:g}")
