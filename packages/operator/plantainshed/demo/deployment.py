"""Loading of example deployments, with addresses replaced by loopback addresses."""

import random
import socket
from pathlib import Path

from attrs import evolve, frozen

from plantainshed_entry.settings import Seed, Settings
from plantainshed_model.codec import from_text
from plantainshed_model.document import Document

from ..errors import BadUsage

LOOPBACK = "127.0.0.1"
EXAMPLES = "examples"
VMS_PER_DOMAIN = 1
# Below the ephemeral port range, from which outgoing connections get their ports.
FIRST_PORT = 15_000
LAST_PORT = 32_000
_PORTS = iter(random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT))


@frozen
class Deployment:
    """An example deployment that can run on loopback.

    Parameters
    ----------
    name : str
    document : Document
        The example's document, with loopback addresses for the targets.
    platform : str
        Address on which the platform's stand-in listens.
    vms : tuple of Settings
        The settings of each entry VM.
    """

    name: str
    document: Document
    platform: str
    vms: tuple[Settings, ...]


def load_deployment(name: str) -> Deployment:
    """Load an example by name.

    Raises
    ------
    BadUsage
        If there is no such example.
    """
    folder = _examples_folder()
    path = folder / name / "document.json"
    if not path.is_file():
        known = ", ".join(sorted(p.parent.name for p in folder.glob("*/document.json")))
        raise BadUsage(f"--deployment: {name!r} is not one of {known}")
    document = from_text(path.read_text())
    targets = tuple(
        evolve(target, address=free_address()) for target in document.targets
    )
    platform = free_address()
    return Deployment(
        name,
        evolve(document, targets=targets),
        platform,
        tuple(_settings(document, platform)),
    )


def free_address() -> str:
    """Return a loopback address with a port that is free for both TCP and UDP.

    Ports assigned by the operating system are not suitable: before the caller binds
    such a port, the system may assign it to an outgoing connection.
    """
    for port in _PORTS:
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return f"{LOOPBACK}:{port}"
    raise BadUsage(f"no port from {FIRST_PORT} to {LAST_PORT} is free on {LOOPBACK}")


def _is_free(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _examples_folder() -> Path:
    for folder in (Path.cwd(), *Path(__file__).resolve().parents):
        if (folder / EXAMPLES).is_dir():
            return folder / EXAMPLES
    raise BadUsage("folder 'examples' not found; run from the source checkout")


def _settings(document: Document, platform: str):
    names = [
        (f"{domain.name}-{number}", domain.name)
        for domain in document.failure_domains
        for number in range(1, VMS_PER_DOMAIN + 1)
    ]
    seeds = tuple(Seed(vm, domain, free_address()) for vm, domain in names)
    for seed in seeds:
        yield Settings(
            vm=seed.vm,
            failure_domain=seed.failure_domain,
            listen=free_address(),
            peer=seed.peer,
            control=free_address(),
            platform=platform,
            seeds=seeds,
            fleet_secret=b"demo",
            log_level="error",
        )
