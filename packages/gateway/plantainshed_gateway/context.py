"""What the gateway's parts work with; one object, handed in at the start."""

from attrs import define, field

from .logs import DecisionLog
from .metrics import Metrics
from .ports import PlatformAdapter
from .settings import Settings


@define
class Context:
    """The surroundings of one daemon.

    Parameters
    ----------
    settings : Settings
    surroundings : PlatformAdapter
        The platform's wire formats and store.
    log : DecisionLog
    incarnation : int
        Grows with each start of this VM's process.
    """

    settings: Settings
    surroundings: PlatformAdapter
    log: DecisionLog
    incarnation: int
    metrics: Metrics = field(factory=Metrics)
