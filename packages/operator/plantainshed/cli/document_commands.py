"""``plantainshed document``: the whole document as a text."""

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
    """Show, check, compare and change the document."""

    def __init__(self, session: Session):
        self._session = session

    def show(self, version: int = 0):
        """Print the stored document, or an older version of it."""
        if version:
            shown = self._session.run(load_version, version)
        else:
            shown = self._session.run(load_current)
        print(to_text(shown.document), end="")

    @SetParseFn(str, "file")
    def check(self, file: str):
        """Say whether a file is a valid document; name every fault."""
        require_valid(from_text(_read(file)))
        print(f"{file}: valid")

    @SetParseFn(str, "file")
    def diff(self, file: str):
        """Show what applying a file would change."""
        document = from_text(_read(file))
        stored = self._session.run(load_current)
        self._print_differences(differences(stored.document, document))

    @SetParseFn(str, "file", "reason", "change_id")
    def apply(self, file: str, reason: str, base: int = 0, change_id: str = ""):
        """Put a file's document in force, whole or not at all.

        Parameters
        ----------
        file : str
        reason : str
            Kept in the history.
        base : int
            Version that the file was made from; refused if it is not the
            newest any more. The newest if 0.
        change_id : str
            Of an earlier try whose outcome is unknown.
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
        """Make an older version the newest again, as a new version."""

        async def go_back(context):
            old = await load_version(context, version)
            newest = await load_current(context)
            return await replace(context, newest, old.document, reason)

        print_revision(self._session.run(go_back), self._session.json)

    def history(self, limit: int = HISTORY_ROWS):
        """List who changed what, when and why, newest first."""
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
