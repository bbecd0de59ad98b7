"""Running one command against a platform and a fleet."""

import trio

from ..context import open_context
from ..settings import load_operator_settings


class Session:
    """What all commands of one invocation share.

    Parameters
    ----------
    settings : str
        Path of the operators' settings file.
    json : bool
        Whether to print JSON for programs instead of text for people.
    """

    def __init__(self, settings: str, json: bool):
        self.settings = settings
        self.json = json

    def run(self, function, *arguments):
        """Run an async function that takes a context first; return its result."""

        async def run_in_context():
            async with open_context(load_operator_settings(self.settings)) as context:
                return await function(context, *arguments)

        return _run_and_unwrap_errors(run_in_context)


def _run_and_unwrap_errors(async_function):
    try:
        return trio.run(async_function)
    except BaseExceptionGroup as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
