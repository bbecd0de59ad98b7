"""Errors of the traffic document."""

from attrs import frozen


class ModelError(Exception):
    """Base of the document's errors."""


@frozen
class Fault:
    """One thing that is wrong with a document.

    Parameters
    ----------
    field : str
        Path of the field, such as ``workspaces[prefettura].rate``.
    message : str
        What is wrong and what is allowed.
    """

    field: str
    message: str

    def __str__(self):
        return f"{self.field}: {self.message}"


class InvalidDocument(ModelError):
    """The document has faults; all of them are listed.

    Parameters
    ----------
    faults : list of Fault
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = list(faults)


class UnknownName(ModelError):
    """An edit names something that the document does not hold."""
