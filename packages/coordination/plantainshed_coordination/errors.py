"""Errors of the coordination parts.

Each layer turns the errors of the layer below into its own: a platform client
raises `PlatformError`, and what uses it raises one of the others.
"""


class CoordinationError(Exception):
    """Base of every error that this library raises on purpose."""


class PlatformError(CoordinationError):
    """The platform's object store did not do what was asked."""


class VersionConflict(PlatformError):
    """A conditional write was refused: the object has another version by now."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class PlatformUnavailable(PlatformError):
    """The store refused or could not be reached; nothing was changed."""


class OutcomeUnknown(PlatformError):
    """No answer came to a write; it may or may not have taken effect."""


class DocumentError(CoordinationError):
    """A versioned document could not be read or changed."""


class StaleBase(DocumentError):
    """The document was changed by somebody else since it was read.

    Parameters
    ----------
    base_version : int
        Version that the change started from.
    current_version : int
        Version that is stored now.
    """

    def __init__(self, base_version, current_version):
        super().__init__(
            f"the document is at version {current_version}, "
            f"but the change started from version {base_version}"
        )
        self.base_version = base_version
        self.current_version = current_version


class SegmentMissing(DocumentError):
    """A segment that a revision names is nowhere to be had."""


class CommitUnconfirmed(DocumentError):
    """The store did not say whether the change took effect; ask again later."""


class PeerError(CoordinationError):
    """A peer could not be asked."""


class PeerTimeout(PeerError):
    """A peer did not answer in time."""


class PeerRefused(PeerError):
    """A peer answered that it does not have what was asked for."""
