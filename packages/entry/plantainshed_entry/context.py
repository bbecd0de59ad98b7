"""What a daemon works with: its settings and its ways to the outside.

One `Context` is made at the start and handed to the parts, instead of globals;
tests hand in one with stand-ins.
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
    """The surroundings of one daemon.

    Parameters
    ----------
    settings : Settings
    identity : Identity
    platform : Platform
    transport : Transport
    bulk : BulkSource
    log : logging.LoggerAdapter
    """

    settings: Settings
    identity: Identity
    platform: Platform
    transport: Transport
    bulk: BulkSource
    log: logging.LoggerAdapter
    metrics: Metrics = field(factory=Metrics)
