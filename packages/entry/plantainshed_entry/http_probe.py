"""Health checks over HTTP."""

from plantainshed_http.client import fetch
from plantainshed_http.errors import HttpError

from .probing import PROBE_TIMEOUT_S
from .relay import DRAINING_HEADER, reported_load, retry_after_s
from .targets import ProbeResult, TargetState

# Maximum size of a health check's response.
MAX_PROBE_BYTES = 64 * 1024


async def probe_over_http(state: TargetState) -> ProbeResult:
    """Request a target's health endpoint; a failed request means unhealthy."""
    try:
        head, _ = await fetch(
            state.target.address,
            "GET",
            state.pool.probe_path,
            timeout_s=PROBE_TIMEOUT_S,
            max_bytes=MAX_PROBE_BYTES,
        )
    except HttpError:
        return ProbeResult(healthy=False, draining=False, load=0.0)
    seconds = retry_after_s(head)
    if seconds is not None:
        state.note_retry_after(seconds)
    return ProbeResult(
        healthy=200 <= head.status < 300,
        draining=head.header(DRAINING_HEADER) is not None,
        load=reported_load(head) or 0.0,
    )
