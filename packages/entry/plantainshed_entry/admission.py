"""Whose a request is, and whether it may run: key, withdrawal, rate."""

from typing import Protocol

import trio
from attrs import frozen

from plantainshed_coordination.rumors import RumorBook
from plantainshed_http.messages import RequestHead
from plantainshed_model.document import Workspace

from .errors import Refusal
from .in_force import WORKSPACE_PREFIX, IndexedDocument
from .metrics import Metrics
from .reasons import Reason

KEY_WITHDRAWN_TOPIC = "key-withdrawn"
BEARER = "bearer "
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
NEWS_EXPECTED_S = 10.0


@frozen
class Admitted:
    """Whose a request is."""

    workspace: Workspace
    key_id: str


class RateLimiter(Protocol):
    """Says whether one more request is within a budget of the whole fleet."""

    async def take(self, name: str) -> bool:
        """Take one token of a rate budget."""


class Admission:
    """Decides whether a request may run.

    Parameters
    ----------
    rumors : RumorBook
        Withdrawn keys arrive as rumors, before the document.
    limiter : RateLimiter
    metrics : Metrics

    Attributes
    ----------
    in_force : IndexedDocument
    outside_heard_at : float
        When this failure domain last had any path to the rest.
    """

    def __init__(self, rumors: RumorBook, limiter: RateLimiter, metrics: Metrics):
        self.rumors = rumors
        self.limiter = limiter
        self.metrics = metrics
        self.in_force: IndexedDocument | None = None
        self.outside_heard_at = trio.current_time()

    def identify(self, head: RequestHead) -> Admitted:
        """Return whose key a request carries, or raise `Refusal`."""
        text = head.header(b"authorization") or ""
        if not text.lower().startswith(BEARER):
            raise Refusal(
                Reason.KEY_MISSING,
                "send your key in the header 'Authorization: Bearer KEY'",
            )
        key = self.in_force.keys.find(text[len(BEARER) :].strip())
        if key is None:
            raise Refusal(Reason.KEY_UNKNOWN, "no workspace has this key")
        if self.is_withdrawn(key.key_id):
            raise Refusal(Reason.KEY_WITHDRAWN, f"the key {key.key_id} was withdrawn")
        workspace = self.in_force.workspaces[key.workspace]
        self._require_recent_news(workspace)
        return Admitted(workspace, key.key_id)

    def is_withdrawn(self, key_id: str) -> bool:
        """Tell whether a key was withdrawn, by a rumor or in the document."""
        if self.rumors.knows(KEY_WITHDRAWN_TOPIC, key_id):
            return True
        return key_id in self.in_force.withdrawn_keys

    def _require_recent_news(self, workspace: Workspace):
        # In a failure domain that nothing reaches, a withdrawal cannot arrive.
        # Keys go on working there for as long as the document allows.
        silence_s = trio.current_time() - self.outside_heard_at
        if silence_s < NEWS_EXPECTED_S:
            return
        if silence_s > workspace.offline_limit_s:
            raise Refusal(
                Reason.OFFLINE_LIMIT,
                f"this failure domain has been cut off for {silence_s:.0f} s, longer "
                f"than workspace {workspace.name} allows",
                retry_after_s=MAX_RETRY_AFTER_S,
            )
        self.metrics.offline_uses.inc({"workspace": workspace.name})

    async def spend_rate(self, workspace: Workspace):
        """Take one request out of the workspace's rate, or raise `Refusal`."""
        if await self.limiter.take(WORKSPACE_PREFIX + workspace.name):
            return
        wait_s = 1.0 / workspace.rate if workspace.rate else MAX_RETRY_AFTER_S
        raise Refusal(
            Reason.RATE,
            f"workspace {workspace.name} is above {workspace.rate:g} requests/s "
            f"with bursts of {workspace.burst:g}",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
        )
