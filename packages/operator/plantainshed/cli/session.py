"""Execution of one command, with the dependencies that it needs."""

import trio

from ..context import open_context
from ..settings import load_operator_settings


class Session:
    """The options of one invocation, shared by all command groups.

    Parameters
    ----------
    settings : str
        Path of the operators' settings file.
    json : bool
        Whether to print JSON instead of text.
    """

    def __init__(self, settings: str, json: bool):
        self.settings = settings
        self.json = json

    def run(self, function, *arguments):
        """Call an async function with a new `OperatorContext` as first argument."""

        async def run_in_context():
            async with open_context(load_operator_settings(self.settings)) as context:
                return await function(context, *arguments)

        return _run_and_unwrap_errors(run_in_context)


def _run_and_unwrap_errors(async_function):
    # Nurseries wrap errors in exception groups, which `main` does not handle. Raises
    # the first error of a group instead.
    try:
        return trio.run(async_function)
    except BaseExceptionGroup as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
