"""``plantainshed document``: commands on the whole document as JSON text."""

from pathlib import Path

from fire.decorators import SetParseFn

from plantainshed_model.checks import require_valid
from plantainshed_model.codec import from_text, to_text
from plantainshed_model.queries import differences

from ..changes import replace
from ..errors import BadUsage
from ..views import history, load_current, load_version
from .output import print_json, print_revision, print_rows
from .session import Session

HISTORY_ROWS = 20


class DocumentCommands:
    """Show, validate, compare and replace the document."""

    def __init__(self, session: Session):
        self._session = session

    def show(self, version: int = 0):
        """Print the stored document; the newest version if VERSION is 0."""
        if version:
            shown = self._session.run(load_version, version)
        else:
            shown = self._session.run(load_current)
        print(to_text(shown.document), end="")

    @SetParseFn(str, "file")
    def check(self, file: str):
        """Check whether a file is a valid document; list all faults."""
        require_valid(from_text(_read(file)))
        print(f"{file}: valid")

    @SetParseFn(str, "file")
    def diff(self, file: str):
        """Show the changes that applying a file would make."""
        document = from_text(_read(file))
        stored = self._session.run(load_current)
        self._print_differences(differences(stored.document, document))

    @SetParseFn(str, "file", "reason", "change_id")
    def apply(self, file: str, reason: str, base: int = 0, change_id: str = ""):
        """Replace the stored document by a file, atomically.

        Parameters
        ----------
        file : str
        reason : str
            Recorded in the history.
        base : int
            Version that the file is based on. The command fails if it is no longer
            the newest version. 0 stands for the newest.
        change_id : str
            Id of an earlier attempt whose outcome is unknown.
        """
        document = require_valid(from_text(_read(file)))

        async def apply(context):
            start = await (
                load_version(context, base) if base else load_current(context)
            )
            return await replace(context, start, document, reason, change_id)

        print_revision(self._session.run(apply), self._session.json)

    @SetParseFn(str, "reason")
    def back(self, version: int, reason: str):
        """Roll back to an older version, by storing it as a new version."""

        async def go_back(context):
            old = await load_version(context, version)
            newest = await load_current(context)
            return await replace(context, newest, old.document, reason)

        print_revision(self._session.run(go_back), self._session.json)

    def history(self, limit: int = HISTORY_ROWS):
        """List the revisions with author, time and reason, newest first."""
        rows = [
            {
                "version": revision.version,
                "changed_at": revision.changed_at,
                "author": revision.author,
                "reason": revision.reason,
                "change_id": revision.change_id,
            }
            for revision in self._session.run(history, limit)
        ]
        print_rows(rows, self._session.json)

    def _print_differences(self, found):
        if self._session.json:
            rows = [
                {"path": d.path, "before": d.before, "after": d.after} for d in found
            ]
            print_json(rows)
            return
        if not found:
            print("no difference")
        for difference in found:
            print(difference.path)
            if difference.before:
                print(f"  - {difference.before}")
            if difference.after:
                print(f"  + {difference.after}")


def _read(file: str) -> str:
    try:
        return Path(file).read_text()
    except OSError as error:
        raise BadUsage(f"{file}: {error.strerror}") from error
