"""Errors of the traffic document."""

from attrs import frozen


class ModelError(Exception):
    """Base class of the errors of this package."""


@frozen
class Fault:
    """One validation error in a document.

    Parameters
    ----------
    field : str
        Path of the invalid field, such as ``workspaces[prefettura].rate``.
    message : str
        Description of the error, and of the allowed values.
    """

    field: str
    message: str

    def __str__(self):
        return f"{self.field}: {self.message}"


class InvalidDocument(ModelError):
    """The document failed validation.

    Parameters
    ----------
    faults : list of Fault
        All errors that were found.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = list(faults)


class UnknownName(ModelError):
    """An edit refers to an object that the document does not contain."""
