"""Durations as people write them: a number and its unit, ``ms`` or ``s``."""

import re

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_S = 1000.0


def parse_duration(text: str) -> float:
    """Return the seconds of ``1500ms`` or ``2.5s``, or raise `ValueError`."""
    match = DURATION.fullmatch(text.strip()) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} must be a number and its unit, ms or s")
    number = float(match[1])
    return number / MS_PER_S if match[2] == "ms" else number
