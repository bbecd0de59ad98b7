"""Settings and external interfaces of a daemon, for dependency injection.

One `Context` is created at startup and passed to the components, which use no
globals. Tests pass one with fakes.
"""

import logging

from attrs import define, field

from plantainshed_coordination.identity import Identity
from plantainshed_coordination.platform import Platform
from plantainshed_coordination.transport import BulkSource, Transport

from .metrics import Metrics
from .settings import Settings


@define
class Context:
    """Settings and external interfaces of one daemon.

    Parameters
    ----------
    settings : Settings
    identity : Identity
    platform : Platform
        Access to the object store and the list of VMs.
    transport : Transport
        Sends and receives datagrams between VMs.
    bulk : BulkSource
        Fetches documents from other VMs.
    log : logging.LoggerAdapter
    metrics : Metrics
    """

    settings: Settings
    identity: Identity
    platform: Platform
    transport: Transport
    bulk: BulkSource
    log: logging.LoggerAdapter
    metrics: Metrics = field(factory=Metrics)
