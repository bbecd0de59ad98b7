"""``plantainshed check``: checks a gateway's configuration before it is sent."""

import sys
from importlib.metadata import entry_points
from pathlib import Path

from plantainshed_entry.status import ExitCode

from ..errors import BadUsage
from .output import print_json, print_table

# Group of entry points of packages that know the format of a configuration. This
# package must not import them: they are adapters of the gateway to a platform.
CHECKERS = "plantainshed.configuration_checkers"


def check_file(file: str, against: str, regions: str, as_json: bool):
    """Print what is wrong with a file; exit with a status other than 0 for errors.

    Raises
    ------
    BadUsage
        If a file cannot be read, or no installed package knows its format.
    """
    check = _load_checker()
    names = frozenset(filter(None, (name.strip() for name in regions.split(","))))
    text = _read(file)
    in_force = _read(against) if against else None
    try:
        result = check(text, regions=names, against=in_force)
    except ValueError as error:
        raise BadUsage(f"{file}: {error}") from error
    if as_json:
        print_json(result)
    else:
        _print_result(file, result)
    if result["has_errors"]:
        sys.exit(ExitCode.FAILED)


def _read(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as error:
        raise BadUsage(f"{file}: {error.strerror}") from error


def _load_checker():
    for entry_point in entry_points(group=CHECKERS):
        return entry_point.load()
    raise BadUsage(
        "no installed package knows the format of configurations; install the "
        "platform's adapter, in this repository the folder platform/"
    )


def _print_result(file: str, result: dict):
    version = result["version"]
    print(f"{file}: " + ("invalid" if version is None else f"version {version}"))
    if result["findings"]:
        print_table(result["findings"])
    else:
        print("no findings")
    changes = result["changes"]
    if changes is not None:
        print("\nchanges:" if changes else "\nno changes")
        if changes:
            print_table(changes)
