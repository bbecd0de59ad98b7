"""Settings of the entry daemon, read from an INI file and validated."""

import configparser
from pathlib import Path

from attrs import frozen

from plantainshed_coordination.addresses import is_address

from .errors import SettingsError

KNOWN_OPTIONS = {
    "vm": {"name", "failure_domain", "listen", "peer", "control"},
    "platform": {"address"},
    "fleet": {"seeds", "secret_file"},
    "log": {"level"},
}
REQUIRED_OPTIONS = {
    "vm": ("name", "failure_domain", "listen", "peer", "control"),
    "platform": ("address",),
}
LOG_LEVELS = ("debug", "info", "warning", "error")
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")


@frozen
class Seed:
    """A VM to contact at startup, which may or may not be running.

    Parameters
    ----------
    vm : str
    failure_domain : str
    peer : str
        ``IP:PORT`` for datagrams from other VMs.
    """

    vm: str
    failure_domain: str
    peer: str


@frozen
class Settings:
    """Settings that a daemon needs before it can contact other processes.

    Parameters
    ----------
    vm : str
        Name of this VM.
    failure_domain : str
    listen : str
        ``IP:PORT`` for callers.
    peer : str
        ``IP:PORT`` for datagrams from other VMs.
    control : str
        ``IP:PORT`` for snapshots to other VMs and for operators.
    platform : str
        ``IP:PORT`` of the platform's object store.
    seeds : tuple of Seed
        VMs to contact before the platform's list of VMs is known.
    fleet_secret : bytes
        Secret shared by all VMs to authenticate datagrams and operators'
        commands; empty for none.
    log_level : str
    """

    vm: str
    failure_domain: str
    listen: str
    peer: str
    control: str
    platform: str
    seeds: tuple[Seed, ...] = ()
    fleet_secret: bytes = b""
    log_level: str = "info"


def load_settings(path: str) -> Settings:
    """Read a settings file; raise `SettingsError` with all faults found."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse settings from INI text; raise `SettingsError` with all faults found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError([f"not an INI file: {error}"]) from error
    faults = [
        *_unknown_options(parser),
        *_missing_options(parser),
        *_invalid_values(parser),
    ]
    if faults:
        raise SettingsError(faults)
    return _settings(parser)


def _settings(parser) -> Settings:
    vm = parser["vm"]
    return Settings(
        vm=vm["name"],
        failure_domain=vm["failure_domain"],
        listen=vm["listen"],
        peer=vm["peer"],
        control=vm["control"],
        platform=parser["platform"]["address"],
        seeds=tuple(_seeds(parser)),
        fleet_secret=_secret(parser),
        log_level=parser.get("log", "level", fallback="info"),
    )


def _unknown_options(parser):
    for section in parser.sections():
        if section not in KNOWN_OPTIONS:
            allowed = ", ".join(KNOWN_OPTIONS)
            yield f"[{section}]: unknown section; allowed are {allowed}"
            continue
        for option in parser[section]:
            if option not in KNOWN_OPTIONS[section]:
                allowed = ", ".join(sorted(KNOWN_OPTIONS[section]))
                yield f"[{section}] {option}: unknown option; allowed are {allowed}"


def _missing_options(parser):
    for section, options in REQUIRED_OPTIONS.items():
        for option in options:
            if not parser.get(section, option, fallback="").strip():
                yield f"[{section}] {option}: missing; this option is required"


def _invalid_values(parser):
    for option in ("name", "failure_domain"):
        value = parser.get("vm", option, fallback="")
        if not set(value) <= NAME_CHARACTERS:
            yield _format_fault(
                "vm", option, value, "lower-case letters, digits and '-_.'"
            )
    for section, option in (
        ("vm", "listen"),
        ("vm", "peer"),
        ("vm", "control"),
        ("platform", "address"),
    ):
        value = parser.get(section, option, fallback="")
        if value and not is_address(value):
            yield _format_fault(
                section, option, value, "IP:PORT, such as 10.0.0.1:8080"
            )
    level = parser.get("log", "level", fallback="info")
    if level not in LOG_LEVELS:
        yield _format_fault("log", "level", level, "one of " + ", ".join(LOG_LEVELS))
    for line in _seed_lines(parser):
        parts = line.split()
        if len(parts) != 3 or not is_address(parts[2]):
            yield _format_fault(
                "fleet", "seeds", line, "lines of VM FAILURE_DOMAIN IP:PORT"
            )
    secret_file = parser.get("fleet", "secret_file", fallback="")
    if secret_file and not Path(secret_file).is_file():
        yield _format_fault("fleet", "secret_file", secret_file, "the path of a file")


def _format_fault(section, option, value, allowed):
    return f"[{section}] {option} = {value!r}: must be {allowed}"


def _seed_lines(parser):
    text = parser.get("fleet", "seeds", fallback="")
    return [line.strip() for line in text.splitlines() if line.strip()]


def _seeds(parser):
    return [Seed(*line.split()) for line in _seed_lines(parser)]


def _secret(parser) -> bytes:
    secret_file = parser.get("fleet", "secret_file", fallback="")
    return Path(secret_file).read_bytes().strip() if secret_file else b""
