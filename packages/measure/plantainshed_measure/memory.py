"""Measures the memory of a daemon with client blocks loaded, in a new process.

``python -m plantainshed_measure.memory FOLDER`` loads the document segments that
`write_segments` wrote to the folder, as a starting daemon loads those of a peer. It
prints its resident memory in megabytes before and after.
"""

import gc
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from plantainshed_coordination.digests import content_digest
from plantainshed_coordination.versioned import Revision

STATUS_FILE = Path("/proc/self/status")


def write_segments(folder: Path, segments: dict[str, bytes]):
    """Write document segments to a folder for the measuring process."""
    for name, text in segments.items():
        (folder / name).write_bytes(text)


def measure_in_new_process(segments: dict[str, bytes]) -> dict:
    """Load segments in a new process and return its figures, such as ``loaded_mb``.

    ``imported_mb`` is the memory before loading.
    """
    with tempfile.TemporaryDirectory() as folder:
        write_segments(Path(folder), segments)
        command = [sys.executable, "-m", "plantainshed_measure.memory", folder]
        output = subprocess.run(command, check=True, capture_output=True, text=True)
        return json.loads(output.stdout)


def resident_mb() -> float:
    """Return the current resident memory of this process in megabytes."""
    for line in STATUS_FILE.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    raise OSError(f"{STATUS_FILE} has no VmRSS")


def main():
    """Load the segments of a folder and print the memory used."""
    import plantainshed_entry.daemon  # noqa: F401
    from plantainshed_entry.in_force import empty_indexed_document, index_document

    gc.collect()
    imported_mb = resident_mb()
    paths = sorted(Path(sys.argv[1]).iterdir())
    segments = {path.name: path.read_bytes() for path in paths}
    digests = {name: content_digest(text) for name, text in segments.items()}
    revision = Revision(1, "c", "", digests, "", "", "")
    in_force = index_document(revision, segments, empty_indexed_document())
    gc.collect()
    figures = {
        "imported_mb": imported_mb,
        "loaded_mb": resident_mb(),
        "blocks": len(in_force.blocks),
        "segment_mb": round(sum(map(len, segments.values())) / 1e6, 2),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
