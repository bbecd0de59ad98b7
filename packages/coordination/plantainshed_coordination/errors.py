"""Errors of the coordination library.

Each layer converts the errors of the layer below into its own. A platform client
raises `PlatformError`, and the code that uses it raises one of the other errors.
"""


class CoordinationError(Exception):
    """Base class of all errors that this library raises deliberately."""


class PlatformError(CoordinationError):
    """The platform's object store did not complete a request."""


class VersionConflict(PlatformError):
    """A conditional write was rejected because the object's version differs."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class PlatformUnavailable(PlatformError):
    """The store was unreachable or rejected the request; nothing was changed."""


class OutcomeUnknown(PlatformError):
    """The answer to a write was lost; the write may or may not have taken effect."""


class DocumentError(CoordinationError):
    """A versioned document could not be read or changed."""


class StaleBase(DocumentError):
    """The document was changed by another author since it was read.

    Parameters
    ----------
    base_version : int
        Version that the change is based on.
    current_version : int
        Version that is stored now.
    """

    def __init__(self, base_version, current_version):
        super().__init__(
            f"the document is at version {current_version}, "
            f"but the change is based on version {base_version}"
        )
        self.base_version = base_version
        self.current_version = current_version


class SegmentMissing(DocumentError):
    """A segment of a revision is missing or cannot be read."""


class CommitUnconfirmed(DocumentError):
    """The store did not confirm the change; the change can be retried later."""


class PeerError(CoordinationError):
    """A request to a peer failed."""


class PeerTimeout(PeerError):
    """A peer did not reply in time."""


class PeerRefused(PeerError):
    """A peer replied that it does not have the requested value."""
