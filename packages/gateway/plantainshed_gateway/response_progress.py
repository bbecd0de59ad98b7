"""How far the response to one attempt has got, and who held it up."""

from collections.abc import AsyncIterator

import trio
from attrs import define


@define
class ResponseProgress:
    """Progress of the response to one attempt.

    Attributes
    ----------
    has_begun : bool
        Whether the head of a response has arrived whose body has not ended.
    has_ended : bool
        Whether a whole response has arrived.
    handed_over_at : float or None
        When the part that arrived last was handed over to be sent to the caller; None
        while the target's next part is awaited.
    handed_over_s : float
        How long parts took to be sent to the caller.
    """

    has_begun: bool = False
    has_ended: bool = False
    handed_over_at: float | None = None
    handed_over_s: float = 0.0

    async def track(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield the chunks of a body and measure how long their consumer takes."""
        async for chunk in chunks:
            self.handed_over_at = trio.current_time()
            yield chunk
            self.handed_over_s += trio.current_time() - self.handed_over_at
            self.handed_over_at = None
        self.has_begun = False
        self.has_ended = True

    def target_s(self, sent_at: float) -> float:
        """Return how long the target took for what has arrived since `sent_at`."""
        now = trio.current_time()
        handed_over_s = self.handed_over_s
        if self.handed_over_at is not None:
            handed_over_s += now - self.handed_over_at
        return now - sent_at - handed_over_s
