"""The command ``plantainshed``."""

import sys

import fire

from plantainshed_entry.status import ExitCode
from plantainshed_model.errors import InvalidDocument, ModelError

from ..errors import BadUsage, EditConflict, OperatorError, Unconfirmed, Unreachable
from .commands import Plantainshed

EXIT_CODES = {
    BadUsage: ExitCode.USAGE,
    EditConflict: ExitCode.CONFLICT,
    Unreachable: ExitCode.UNREACHABLE,
    Unconfirmed: ExitCode.UNKNOWN_OUTCOME,
    InvalidDocument: ExitCode.INVALID_DOCUMENT,
}


def main():
    """Run the command line; print errors without a traceback and set the exit code."""
    try:
        fire.Fire(Plantainshed, name="plantainshed")
    except (OperatorError, ModelError) as error:
        _print_error(error)
        sys.exit(EXIT_CODES.get(type(error), ExitCode.FAILED))


def _print_error(error: Exception):
    if isinstance(error, InvalidDocument):
        print("plantainshed: the document is not valid:", file=sys.stderr)
        for fault in error.faults:
            print(f"  {fault}", file=sys.stderr)
        return
    print(f"plantainshed: {error}", file=sys.stderr)
    if isinstance(error, EditConflict):
        for difference in error.differences:
            print(f"  {difference.path}", file=sys.stderr)
            print(f"    before  {difference.before or '-'}", file=sys.stderr)
            print(f"    now     {difference.after or '-'}", file=sys.stderr)
