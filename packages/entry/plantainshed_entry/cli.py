"""The command ``plantainshed-entry``."""

import sys

import fire
import trio

from plantainshed_coordination.errors import PeerError

from .daemon import run_until_signalled
from .errors import SettingsError
from .settings import load_settings
from .status import ExitCode


def run(settings: str, check: bool = False):
    """Run an entry daemon with a settings file.

    Parameters
    ----------
    settings : str
        Path of an INI file.
    check : bool
        Check the settings file and exit without starting the daemon.
    """
    try:
        loaded = load_settings(settings)
        if check:
            print(f"{settings}: ok; would start {loaded.vm} on {loaded.listen}")
            return
        trio.run(run_until_signalled, loaded)
    except SettingsError as error:
        print(f"plantainshed-entry: {settings} cannot be used:", file=sys.stderr)
        for fault in error.faults:
            print(f"  {fault}", file=sys.stderr)
        sys.exit(ExitCode.BAD_SETTINGS)
    except PeerError as error:
        print(f"plantainshed-entry: {error}", file=sys.stderr)
        sys.exit(ExitCode.BAD_SETTINGS)


def run_command():
    """Run the command line."""
    fire.Fire(run, name="plantainshed-entry")
