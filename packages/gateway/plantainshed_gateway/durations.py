"""Parses durations such as ``1500ms`` or ``2.5s``."""

import re

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_S = 1000.0


def parse_duration(text: str) -> float:
    """Return a duration such as ``1500ms`` in seconds, or raise `ValueError`."""
    match = DURATION.fullmatch(text.strip()) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} must be a number followed by the unit ms or s")
    number = float(match[1])
    return number / MS_PER_S if match[2] == "ms" else number
