"""Errors of the entry daemon."""

from .reasons import Outcome, Reason


class EntryError(Exception):
    """Base class of the entry daemon's errors."""


class SettingsError(EntryError):
    """The settings are invalid; the error lists all faults.

    Parameters
    ----------
    faults : list of str
        Descriptions that name the section, the option, its value and the
        allowed values.
    """

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class Refusal(EntryError):
    """The daemon refuses a request instead of returning a target's answer.

    Parameters
    ----------
    reason : Reason
    message : str
        Explanation for the person who reads the answer.
    outcome : Outcome
        Whether the request may have run. `Outcome.NOT_RUN` guarantees that it
        has not run.
    retry_after_s : float, optional
        Seconds after which the caller should retry.
    """

    def __init__(self, reason, message, outcome=Outcome.NOT_RUN, retry_after_s=None):
        super().__init__(message)
        self.reason = Reason(reason)
        self.message = message
        self.outcome = Outcome(outcome)
        self.retry_after_s = retry_after_s


class AttemptFailed(EntryError):
    """One attempt at one target failed.

    Parameters
    ----------
    message : str
    outcome : Outcome
        Whether the target may have run the request.
    is_target_fault : bool
        Whether the failure counts against the target's health.
    crashed : bool
        Whether the target disconnected while it ran the request.
    """

    def __init__(self, message, outcome, is_target_fault=True, crashed=False):
        super().__init__(message)
        self.outcome = Outcome(outcome)
        self.is_target_fault = is_target_fault
        self.crashed = crashed
