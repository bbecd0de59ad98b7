"""The command ``plantainshed``."""

import sys

import fire
import trio

from plantainshed_entry.status import ExitCode

from ..errors import BadUsage, EditConflict, OperatorError, Unconfirmed, Unreachable


class Plantainshed:
    """Steer traffic: the operators' command line."""

    def demo(self, deployment: str = "cerimonia"):
        """Run a whole fleet on loopback under a short load, and judge it.

        Parameters
        ----------
        deployment : str
            Folder under examples: cerimonia or maracas-bay.
        """
        from ..demo.story import run_demo, show

        outcomes = trio.run(run_demo, deployment)
        show(outcomes)
        if outcomes.violations():
            sys.exit(ExitCode.FAILED)


EXIT_CODES = {
    BadUsage: ExitCode.USAGE,
    EditConflict: ExitCode.CONFLICT,
    Unreachable: ExitCode.UNREACHABLE,
    Unconfirmed: ExitCode.UNKNOWN_OUTCOME,
}


def main():
    """Run the command line."""
    try:
        fire.Fire(Plantainshed, name="plantainshed")
    except OperatorError as error:
        print(f"plantainshed: {error}", file=sys.stderr)
        sys.exit(EXIT_CODES.get(type(error), ExitCode.FAILED))
