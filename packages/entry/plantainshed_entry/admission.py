"""Admission of requests: authentication by key, withdrawn keys and rate limits."""

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
OFFLINE_AFTER_S = 10.0


@frozen
class Admitted:
    """The workspace and the key that a request was authenticated with."""

    workspace: Workspace
    key_id: str


class RateLimiter(Protocol):
    """Limits the rate of requests across the whole fleet."""

    async def take(self, name: str) -> bool:
        """Take one token from a rate budget; return False if there is none."""


class Admission:
    """Decides whether a request may run.

    Parameters
    ----------
    rumors : RumorBook
        Rumors report withdrawn keys before the new document arrives.
    limiter : RateLimiter
    metrics : Metrics

    Attributes
    ----------
    in_force : IndexedDocument
    outside_contact_at : float
        When this failure domain was last in contact with another one or the store.
    """

    def __init__(self, rumors: RumorBook, limiter: RateLimiter, metrics: Metrics):
        self.rumors = rumors
        self.limiter = limiter
        self.metrics = metrics
        self.in_force: IndexedDocument | None = None
        self.outside_contact_at = trio.current_time()

    def authenticate(self, head: RequestHead) -> Admitted:
        """Return the workspace and key of a request, or raise `Refusal`."""
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
        self._check_offline_limit(workspace)
        return Admitted(workspace, key.key_id)

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether a key was withdrawn, by a rumor or in the document."""
        if self.rumors.knows(KEY_WITHDRAWN_TOPIC, key_id):
            return True
        return key_id in self.in_force.withdrawn_keys

    def _check_offline_limit(self, workspace: Workspace):
        # A failure domain that is cut off does not learn of withdrawn keys. Its
        # keys stay valid only for the time that the document allows.
        silence_s = trio.current_time() - self.outside_contact_at
        if silence_s < OFFLINE_AFTER_S:
            return
        if silence_s > workspace.offline_limit_s:
            raise Refusal(
                Reason.OFFLINE_LIMIT,
                f"this failure domain has been cut off for {silence_s:.0f} s, longer "
                f"than workspace {workspace.name} allows",
                retry_after_s=MAX_RETRY_AFTER_S,
            )
        self.metrics.offline_uses.inc({"workspace": workspace.name})

    async def take_rate_token(self, workspace: Workspace):
        """Take one token from the workspace's rate limit, or raise `Refusal`."""
        if await self.limiter.take(WORKSPACE_PREFIX + workspace.name):
            return
        wait_s = 1.0 / workspace.rate if workspace.rate else MAX_RETRY_AFTER_S
        raise Refusal(
            Reason.RATE,
            f"workspace {workspace.name} is above {workspace.rate:g} requests/s "
            f"with bursts of {workspace.burst:g}",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
        )
