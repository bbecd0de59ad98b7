"""Errors of the gateway; those of layers below are turned into these."""

from http import HTTPStatus

from .reasons import Reason


class GatewayError(Exception):
    """Base of the gateway's errors."""


class BadItem(GatewayError):
    """An object of the store cannot be used.

    Parameters
    ----------
    name : str
        Of the object.
    field : str
        Which field is wrong.
    problem : str
        What is wrong with it.
    """

    def __init__(self, name: str, field: str, problem: str):
        super().__init__(f"{name}: {field}: {problem}")
        self.name = name
        self.field = field
        self.problem = problem


class SettingsError(GatewayError):
    """The settings file cannot be used; says which field and why."""


class BadRequest(GatewayError):
    """A caller's request cannot be understood; names the header."""


class StoreError(GatewayError):
    """Base of the errors of the object store."""


class StoreUnavailable(StoreError):
    """The store gave no usable answer; a write may still take effect."""


class HistoryGone(StoreError):
    """The store no longer knows what changed since a revision."""


class ItemExists(StoreError):
    """An object is there already, or is not at the expected revision.

    Parameters
    ----------
    item : Item or None
        The object as it is, if the store showed it.
    """

    def __init__(self, item=None):
        super().__init__(f"{item.name if item else 'the object'} exists already")
        self.item = item


class Refusal(GatewayError):
    """A request is answered by the gateway itself.

    Parameters
    ----------
    status : HTTPStatus
    reason : Reason
    message : str
        For the person who reads the answer.
    retry_after_s : float or None
        When to come back; only for requests that have not run.
    """

    def __init__(
        self,
        status: HTTPStatus,
        reason: Reason,
        message: str,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class AttemptFailed(GatewayError):
    """A target gave no answer that can be passed on.

    Parameters
    ----------
    reason : Reason
    message : str
    may_have_run : bool
        False only if the request certainly did not run and never will.
    """

    def __init__(self, reason: Reason, message: str, may_have_run: bool):
        super().__init__(message)
        self.reason = reason
        self.may_have_run = may_have_run
