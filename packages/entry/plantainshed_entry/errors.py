"""Errors of the entry daemon."""

from .reasons import Outcome, Reason


class EntryError(Exception):
    """Base of the entry daemon's errors."""


class SettingsError(EntryError):
    """The settings file is not usable; lists every fault.

    Parameters
    ----------
    faults : list of str
        Each names section, option, value and what is allowed.
    """

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class Refusal(EntryError):
    """A request that gets no answer from a target.

    Parameters
    ----------
    reason : Reason
    message : str
        For the person who reads the answer.
    outcome : Outcome
        Whether the request can have run. `Outcome.NOT_RUN` is a promise.
    retry_after_s : float, optional
        When to come back.
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
        Whether the target can have run it.
    is_target_fault : bool
        Whether it says something about the target's health.
    crashed : bool
        Whether the target went away while it ran the request.
    """

    def __init__(self, message, outcome, is_target_fault=True, crashed=False):
        super().__init__(message)
        self.outcome = Outcome(outcome)
        self.is_target_fault = is_target_fault
        self.crashed = crashed
