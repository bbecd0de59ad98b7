"""A nursery that raises errors without wrapping them in an exception group."""

import contextlib

import trio


@contextlib.asynccontextmanager
async def open_unwrapping_nursery():
    """Open a nursery that raises the first error itself, not an exception group.

    For functions that use a task internally while their callers catch plain
    exceptions and should not depend on that detail.
    """
    try:
        async with trio.open_nursery() as nursery:
            yield nursery
    except BaseExceptionGroup as group:
        raise _first_error(group) from None


def _first_error(group: BaseExceptionGroup) -> BaseException:
    leaves = list(_leaves(group))
    for error in leaves:
        if not isinstance(error, trio.Cancelled):
            return error
    return leaves[0]


def _leaves(error: BaseException):
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _leaves(inner)
    else:
        yield error
