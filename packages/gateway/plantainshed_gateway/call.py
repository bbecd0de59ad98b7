"""A caller's request on its way through the gateway."""

import trio
from attrs import define, field

from plantainshed_http.messages import RequestHead

from .model import Route, Workspace
from .ports import CallerRequest
from .registry import TargetState


@define
class Call:
    """One request that has a route and, unless it is public, a workspace.

    Parameters
    ----------
    head : RequestHead
    request : CallerRequest
    route : Route
    workspace : Workspace or None
    body : bytes
    deadline : float
        When the route's timeout, or the caller before it, gives up.
    cancel_at : float
        Until when an answer that a target is making is still taken.
    pool : str
        The one of the route's pools that this request goes to.
    began_at : float

    Attributes
    ----------
    taken_at : float
        When its token of the workspace's quota was taken.
    attempts : int
        Targets that it was sent to.
    may_have_run : bool
        Whether some attempt ended without saying that it did not run.
    tried : list of str
        Instances that it was meant for, for the log.
    load, load_age_s : float or None
        Requests that were expected at the last of them when it was chosen, and
        how old its own report was; None if it had none.
    mark : str
        Recognises the same request when it is sent again.
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
    taken_at: float = 0.0
    attempts: int = 0
    may_have_run: bool = False
    tried: list[str] = field(factory=list)
    load: float | None = None
    load_age_s: float | None = None
    mark: str = ""

    def note_chosen(self, state: TargetState):
        """Note a target that it goes to, and what was known of it."""
        self.tried.append(state.entry.instance)
        self.load = round(state.expected_load, 1)
        self.load_age_s = None
        if state.load is not None:
            self.load_age_s = round(trio.current_time() - state.load_at, 2)

    @property
    def seconds_left(self) -> float:
        """Time until the caller or the route gives up."""
        return self.deadline - trio.current_time()

    @property
    def home_regions(self) -> frozenset[str]:
        """The only regions that may serve it; empty for any.

        Where route and workspace both name regions, both bind. Regions that
        have none in common leave a set that no region is in.
        """
        of_route = self.route.home_regions
        of_workspace = self.workspace.home_regions if self.workspace else frozenset()
        if of_route and of_workspace:
            return (of_route & of_workspace) or frozenset({""})
        return of_route or of_workspace

    @property
    def workspace_name(self) -> str | None:
        """Name of the workspace, None for a public request without a key."""
        return self.workspace.name if self.workspace else None
