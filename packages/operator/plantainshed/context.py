"""What operators' commands work with, handed in instead of globals."""

import contextlib

from attrs import evolve, frozen

from plantainshed_coordination.control import ControlClient
from plantainshed_coordination.platform import Platform
from plantainshed_coordination.versioned import DocumentStore
from plantainshed_http.platform_client import HttpPlatform

from .settings import OperatorSettings


@frozen
class OperatorContext:
    """The surroundings of one command.

    Parameters
    ----------
    settings : OperatorSettings
    platform : Platform
    store : DocumentStore
    control : ControlClient
    """

    settings: OperatorSettings
    platform: Platform
    store: DocumentStore
    control: ControlClient

    def with_operator(self, operator: str) -> "OperatorContext":
        """Return the same context with another author of changes."""
        return evolve(self, settings=evolve(self.settings, operator=operator))


@contextlib.asynccontextmanager
async def open_context(settings: OperatorSettings):
    """Have a context for the length of a block."""
    platform = HttpPlatform(settings.platform)
    control = ControlClient()
    try:
        yield OperatorContext(settings, platform, DocumentStore(platform), control)
    finally:
        control.close()
