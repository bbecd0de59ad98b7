"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that the commands return to the shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    INVALID_DOCUMENT = 4
    CONFLICT = 5
    UNREACHABLE = 6
    UNKNOWN_OUTCOME = 7
