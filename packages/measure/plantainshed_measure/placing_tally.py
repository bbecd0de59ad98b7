"""The outcomes of a simulation's requests, and figures computed from them."""

from collections.abc import Iterable
from itertools import groupby

from attrs import define, field, frozen


@define
class Outcome:
    """What became of one request of a caller.

    Parameters
    ----------
    began_s : float
        When it was first sent, since the start of the simulation.
    region, priority, workspace
        Of the caller.

    Attributes
    ----------
    took_s : float or None
        From the first attempt to the answer; None if it was refused.
    refusals : int
        How often it was refused.
    is_crossed : bool
        Whether it ran in another region.
    is_first_run : bool
        Whether the target did not remember the object.
    """

    began_s: float
    region: int
    priority: int
    workspace: str | None
    took_s: float | None = None
    refusals: int = 0
    is_crossed: bool = False
    is_first_run: bool = False


@frozen
class Second:
    """Shares of the requests that were first sent in one second."""

    second: int
    in_time: float
    refused: float
    late: float


@define
class Tally:
    """Collects the outcomes of the callers' requests.

    Parameters
    ----------
    objective_s, timeout_s : float
    count_from_s : float
        Requests that were first sent before this time count in no figure.

    Attributes
    ----------
    outcomes : list of Outcome
    opened : int
        Connections that were opened.
    """

    objective_s: float
    timeout_s: float
    count_from_s: float = 0.0
    outcomes: list[Outcome] = field(factory=list)
    opened: int = 0

    def figures(self) -> dict[str, float]:
        """Return shares of all counted requests, and the mean response time in ms.

        Late requests are answered after the objective, unanswered ones after the
        timeout. A request that was refused and answered later counts as answered.
        If there are several priorities, the shares of each are named like
        ``in_time_priority_0``. If there are workspaces, `worst_workspace` is the lowest
        share in time of one.
        """
        counted = [o for o in self.outcomes if o.began_s >= self.count_from_s]
        took_s = [o.took_s for o in counted if o.took_s is not None]
        figures = {
            "in_time": self._in_time(counted),
            "late": self._late(counted),
            "unanswered": _share(
                o.took_s is not None and o.took_s > self.timeout_s for o in counted
            ),
            "refused": _refused(counted),
            "refused_first": _share(o.refusals > 0 for o in counted),
            "crossed": _share(o.is_crossed for o in counted),
            "first_runs": _share(o.is_first_run for o in counted),
            "opened": self.opened / max(1, len(self.outcomes)),
            "mean_ms": 1000 * sum(took_s) / max(1, len(took_s)),
        }
        by_priority = dict(_grouped(counted, lambda o: o.priority))
        for priority, outcomes in by_priority.items() if len(by_priority) > 1 else ():
            figures[f"in_time_priority_{priority}"] = self._in_time(outcomes)
            figures[f"refused_priority_{priority}"] = _refused(outcomes)
        by_workspace = [
            self._in_time(outcomes)
            for workspace, outcomes in _grouped(counted, lambda o: o.workspace or "")
            if workspace
        ]
        if by_workspace:
            figures["worst_workspace"] = min(by_workspace)
        return figures

    def by_second(self) -> list[Second]:
        """Return the shares by second, uncounted seconds included."""
        return [
            Second(
                second,
                self._in_time(outcomes),
                _refused(outcomes),
                self._late(outcomes),
            )
            for second, outcomes in _grouped(self.outcomes, lambda o: int(o.began_s))
        ]

    def _in_time(self, outcomes: list[Outcome]) -> float:
        return _share(
            o.took_s is not None and o.took_s <= self.objective_s for o in outcomes
        )

    def _late(self, outcomes: list[Outcome]) -> float:
        return _share(
            o.took_s is not None and self.objective_s < o.took_s <= self.timeout_s
            for o in outcomes
        )


def _refused(outcomes: list[Outcome]) -> float:
    return _share(o.took_s is None for o in outcomes)


def _share(flags: Iterable[bool]) -> float:
    values = list(flags)
    return sum(values) / max(1, len(values))


def _grouped(outcomes: list[Outcome], key) -> Iterable:
    for value, group in groupby(sorted(outcomes, key=key), key):
        yield value, list(group)
