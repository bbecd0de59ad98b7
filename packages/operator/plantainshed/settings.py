"""Settings of the operators' tools, read from an INI file and validated."""

import configparser
from pathlib import Path

from attrs import frozen

from plantainshed_coordination.addresses import is_address

from .errors import BadUsage

DEFAULT_CONSOLE = "127.0.0.1:8200"
MIN_CREDENTIAL_LENGTH = 8


@frozen
class OperatorSettings:
    """Settings of the operators' commands and console.

    Parameters
    ----------
    platform : str
        ``IP:PORT`` of the platform's object store.
    controls : tuple of str
        ``IP:PORT`` of the control ports of some entry VMs.
    credential : str
        The fleet's secret, which authenticates commands to VMs.
    operator : str
        Name that is recorded as the author of changes.
    console_listen : str
        ``IP:PORT`` on which the console listens.
    console_password : str
        Password with which operators log in to the console.
    """

    platform: str
    controls: tuple[str, ...] = ()
    credential: str = ""
    operator: str = "operator"
    console_listen: str = DEFAULT_CONSOLE
    console_password: str = ""


def load_operator_settings(path: str) -> OperatorSettings:
    """Read and validate a settings file.

    Raises
    ------
    BadUsage
        If the file cannot be read or is not valid, with all faults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text())
    except (OSError, configparser.Error) as error:
        raise BadUsage(f"{path}: {error}") from error
    faults = list(_find_faults(parser))
    if faults:
        raise BadUsage(f"{path} is not valid:\n  " + "\n  ".join(faults))
    return OperatorSettings(
        platform=parser["platform"]["address"],
        controls=tuple(_control_addresses(parser)),
        credential=_read_file_option(parser, "fleet", "secret_file"),
        operator=parser.get("operator", "name", fallback="operator"),
        console_listen=parser.get("console", "listen", fallback=DEFAULT_CONSOLE),
        console_password=_read_file_option(parser, "console", "password_file"),
    )


def _find_faults(parser):
    addresses = [
        ("platform", "address", parser.get("platform", "address", fallback=""))
    ]
    listen = parser.get("console", "listen", fallback=DEFAULT_CONSOLE)
    addresses.append(("console", "listen", listen))
    addresses += [
        ("fleet", "controls", control) for control in _control_addresses(parser)
    ]
    for section, option, value in addresses:
        if not is_address(value):
            yield f"[{section}] {option} = {value!r}: must be IP:PORT"
    for section, option in (("fleet", "secret_file"), ("console", "password_file")):
        path = parser.get(section, option, fallback="")
        if path and not Path(path).is_file():
            yield f"[{section}] {option} = {path!r}: must be the path of a file"
    password = _read_file_option(parser, "console", "password_file")
    if password and len(password) < MIN_CREDENTIAL_LENGTH:
        yield (
            "[console] password_file: the password must have at least "
            f"{MIN_CREDENTIAL_LENGTH} characters"
        )


def _control_addresses(parser):
    return parser.get("fleet", "controls", fallback="").split()


def _read_file_option(parser, section, option) -> str:
    path = parser.get(section, option, fallback="")
    if not path or not Path(path).is_file():
        return ""
    return Path(path).read_text().strip()
