"""Errors of the operators' side, written for the person at the terminal."""


class OperatorError(Exception):
    """Base of the operators' errors."""


class BadUsage(OperatorError):
    """The command was not given what it needs."""


class EditConflict(OperatorError):
    """Somebody else changed the document meanwhile.

    Parameters
    ----------
    message : str
    differences : list of plantainshed_model.queries.Difference
        What changed under the edit.
    """

    def __init__(self, message, differences):
        super().__init__(message)
        self.differences = differences


class Unreachable(OperatorError):
    """The platform or the fleet could not be reached; nothing was changed."""


class Unconfirmed(OperatorError):
    """Whether the change took effect is not known; ask again with its id."""
