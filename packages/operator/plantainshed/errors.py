"""Errors of the operators' tools. Their messages are shown to the operator."""


class OperatorError(Exception):
    """Base class of the errors of this package."""


class BadUsage(OperatorError):
    """An argument or a setting is missing or not valid."""


class EditConflict(OperatorError):
    """The document was changed by someone else since the edit was started.

    Parameters
    ----------
    message : str
    differences : list of plantainshed_model.queries.Difference
        The other change.
    """

    def __init__(self, message, differences):
        super().__init__(message)
        self.differences = differences


class Unreachable(OperatorError):
    """The platform or the fleet could not be reached; nothing was changed."""


class Unconfirmed(OperatorError):
    """It is unknown whether the change took effect; retry it with the same id."""
