"""State of a caller's request while the gateway handles it."""

import trio
from attrs import define, field

from plantainshed_http.messages import RequestHead

from .model import Route, Workspace
from .ports import CallerRequest
from .relay_messages import RelayedRequest
from .response_progress import ResponseProgress
from .selection.registry import TargetState


@define
class Call:
    """A request with its route and, unless the route is public, its workspace.

    Parameters
    ----------
    head : RequestHead
    request : CallerRequest
    route : Route
    workspace : Workspace or None
    body : bytes
    deadline : float
        The route's timeout or the caller's deadline, whichever is earlier.
    cancel_at : float
        When the request is cancelled. Until then, a target's answer is accepted,
        also after the route's timeout.
    pool : str
        The pool of the route that this request goes to.
    began_at : float

    Attributes
    ----------
    quota_taken_at : float or None
        When this VM took a token from the workspace's quota; None if it took none.
    relayed_for : str or None
        The VM that admitted the request, if this VM forwards it for that one.
    attempts : int
        Number of attempts so far.
    attempted_at : float
        When the last attempt to send it to a target began.
    may_have_run : bool
        False only if every attempt so far certainly did not run.
    tried : list of str
        Instances chosen for its attempts, for the log.
    load, load_age_s : float or None
        Expected load of the instance chosen last, at that time, and the age of its
        load report. `load_age_s` is None if there was no report.
    owner_rank : int or None
        Rank of the chosen target among the object's owners; see `selection.choice`.
        None if it was not chosen by rank.
    expected_wait_s, expected_s : float or None
        Expected wait in the chosen target's queue and expected time until its answer.
        None if it was not chosen by the load that all VMs report.
    progress : ResponseProgress
        How far the response to the last attempt has got.
    rank : int
        Rank in which requests are admitted to a short pool; see `selection.shedding`.
    is_shed : bool
        Whether it was refused because its pool is short of room.
    fingerprint : str
        Identifies the same request when it is repeated; see `PoisonTracker`.
    """

    head: RequestHead
    request: CallerRequest
    route: Route
    workspace: Workspace | None
    body: bytes
    deadline: float
    cancel_at: float
    pool: str
    began_at: float
    quota_taken_at: float | None = None
    relayed_for: str | None = None
    attempts: int = 0
    attempted_at: float = 0.0
    may_have_run: bool = False
    tried: list[str] = field(factory=list)
    load: float | None = None
    load_age_s: float | None = None
    owner_rank: int | None = None
    expected_wait_s: float | None = None
    expected_s: float | None = None
    progress: ResponseProgress = field(factory=ResponseProgress)
    rank: int = 0
    is_shed: bool = False
    fingerprint: str = ""

    def apply_relayed(self, relayed: RelayedRequest):
        """Take over what the VM that admitted the request knows about it."""
        now = trio.current_time()
        self.relayed_for = relayed.vm
        self.deadline = min(self.deadline, now + relayed.deadline_s)
        self.cancel_at = min(self.cancel_at, now + relayed.cancel_s)
        self.attempts = relayed.attempts
        if any(relayed.pool == weighted.pool for weighted in self.route.pools):
            self.pool = relayed.pool

    def note_chosen(self, state: TargetState):
        """Record the target chosen for an attempt, and its load at that time."""
        self.tried.append(state.entry.instance)
        self.load = round(state.expected_load, 1)
        self.load_age_s = None
        if state.load is not None:
            self.load_age_s = round(trio.current_time() - state.load_at, 2)

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def home_regions(self) -> frozenset[str]:
        """The only regions that may run this request; empty for any region.

        If both the route and the workspace restrict the regions, the intersection
        applies. If the intersection is empty, the result is a set that matches no
        region.
        """
        of_route = self.route.home_regions
        of_workspace = self.workspace.home_regions if self.workspace else frozenset()
        if of_route and of_workspace:
            return (of_route & of_workspace) or frozenset({""})
        return of_route or of_workspace

    @property
    def priority(self) -> int:
        """Priority of the workspace, or else of the route; 0 is the highest."""
        of_workspace = self.workspace.priority if self.workspace else None
        return self.route.priority if of_workspace is None else of_workspace

    @property
    def object_key(self) -> str | None:
        """Identifies the object that it concerns; None if targets do not cache it."""
        if not self.route.is_sticky or self.request.affinity is None:
            return None
        return f"{self.route.name}/{self.request.affinity}"

    @property
    def workspace_name(self) -> str | None:
        """Name of the workspace; None if the request has no workspace."""
        return self.workspace.name if self.workspace else None
