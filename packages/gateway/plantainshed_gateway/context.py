"""Dependencies shared by the gateway's components, created once at startup."""

from attrs import define, field

from .logs import DecisionLog
from .metrics import Metrics
from .ports import PlatformAdapter
from .settings import Settings


@define
class Context:
    """Settings, adapters, log and metrics of one daemon.

    Parameters
    ----------
    settings : Settings
    platform_adapter : PlatformAdapter
        The platform's wire formats and store.
    log : DecisionLog
    incarnation : int
        Increases with each start of this VM's process.
    """

    settings: Settings
    platform_adapter: PlatformAdapter
    log: DecisionLog
    incarnation: int
    metrics: Metrics = field(factory=Metrics)
