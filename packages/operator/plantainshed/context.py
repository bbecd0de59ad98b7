"""The dependencies of operators' commands, passed in instead of globals."""

import contextlib

from attrs import evolve, frozen

from plantainshed_coordination.control import ControlClient
from plantainshed_coordination.platform import Platform
from plantainshed_coordination.versioned import DocumentStore
from plantainshed_http.platform_client import HttpPlatform

from .settings import OperatorSettings


@frozen
class OperatorContext:
    """The dependencies of one command.

    Parameters
    ----------
    settings : OperatorSettings
    platform : Platform
        Client of the platform's object store.
    store : DocumentStore
        The traffic documents on the platform.
    control : ControlClient
        Sends commands to the control ports of entry VMs.
    """

    settings: OperatorSettings
    platform: Platform
    store: DocumentStore
    control: ControlClient

    def with_operator(self, operator: str) -> "OperatorContext":
        """Return a copy of the context that records changes under another author."""
        return evolve(self, settings=evolve(self.settings, operator=operator))


@contextlib.asynccontextmanager
async def open_context(settings: OperatorSettings):
    """Create a context; close its connections when the block ends."""
    platform = HttpPlatform(settings.platform)
    control = ControlClient()
    try:
        yield OperatorContext(settings, platform, DocumentStore(platform), control)
    finally:
        control.close()
