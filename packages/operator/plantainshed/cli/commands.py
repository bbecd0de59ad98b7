"""The top-level commands, and the groups of subcommands."""

import sys
from pathlib import Path

import trio
from fire.decorators import SetParseFn

from plantainshed_entry.status import ExitCode

from ..errors import BadUsage
from ..report.page import FORMATS, report_as
from .check_command import check_file
from .document_commands import DocumentCommands
from .fleet_commands import DrainCommands, KeyCommands, ShiftCommands, print_status
from .session import Session

DEFAULT_SETTINGS = "operator.ini"


class Plantainshed:
    """Operate the traffic steering system.

    Parameters
    ----------
    settings : str
        Path of the operators' settings file.
    json : bool
        Print JSON instead of text.
    """

    def __init__(self, settings: str = DEFAULT_SETTINGS, json: bool = False):
        self._session = Session(settings, json)
        self.document = DocumentCommands(self._session)
        self.key = KeyCommands(self._session)
        self.drain = DrainCommands(self._session)
        self.shift = ShiftCommands(self._session)

    @SetParseFn(str, "file", "against", "regions")
    def check(self, file: str, against: str = "", regions: str = ""):
        """Check a configuration of the gateway before it is sent.

        The exit code is 0 if there are no errors, 1 if there are, and 2 if a file
        cannot be read.

        Parameters
        ----------
        file : str
            JSON in the platform's format.
        against : str
            The version in force; the command also lists what would change.
        regions : str
            Regions that have targets or failure domains, separated by commas.
        """
        check_file(file, against, regions, self._session.json)

    def status(self):
        """Show the state of each VM and the document version that it applies."""
        print_status(self._session)

    def report(self, format: str = "text", output: str = "", hours: float = 24.0):
        """Write the report of measured facts for the parent group.

        Parameters
        ----------
        format : str
            text, json or html.
        output : str
            File to write; standard output if empty.
        hours : float
            Age limit of the listed changes.
        """
        if format not in FORMATS:
            raise BadUsage(f"--format: {format!r} is not one of {', '.join(FORMATS)}")
        text = self._session.run(report_as, format, hours)
        if output:
            Path(output).write_text(text)
        else:
            print(text, end="")

    def console(self):
        """Serve the web console until interrupted."""
        from ..console.server import run_console
        from ..settings import load_operator_settings

        settings = load_operator_settings(self._session.settings)
        try:
            trio.run(run_console, settings)
        except KeyboardInterrupt:
            sys.exit(ExitCode.OK)

    def demo(self, deployment: str = "cerimonia"):
        """Run a whole fleet on loopback under a short load, and check the results.

        The exit code is not 0 if a requirement is violated.

        Parameters
        ----------
        deployment : str
            Folder under examples: cerimonia or maracas-bay.
        """
        from ..demo.story import print_outcomes, run_demo

        outcomes = trio.run(run_demo, deployment)
        print_outcomes(outcomes)
        if outcomes.violations():
            sys.exit(ExitCode.FAILED)
