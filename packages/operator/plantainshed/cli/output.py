"""Output of results as text or JSON."""

import json


def print_json(value):
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, default=str))


def print_table(rows: list[dict]):
    """Print rows as aligned columns, with the keys of the first row as header."""
    if not rows:
        print("(none)")
        return
    widths = {
        name: max(len(name), *(len(str(row[name])) for row in rows)) for name in rows[0]
    }
    print("  ".join(name.ljust(width) for name, width in widths.items()).rstrip())
    for row in rows:
        cells = (str(row[name]).ljust(width) for name, width in widths.items())
        print("  ".join(cells).rstrip())


def print_rows(rows: list[dict], as_json: bool):
    """Print rows as a table or as JSON."""
    if as_json:
        print_json(rows)
    else:
        print_table(rows)


def print_revision(revision, as_json: bool):
    """Print the version and the change id of an accepted change."""
    if as_json:
        print_json({"version": revision.version, "change_id": revision.change_id})
    else:
        print(f"version {revision.version} accepted (change {revision.change_id})")
