"""Reasons for refusals and retries, and the outcome that a refusal reports."""

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a refused request may have run on a target."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused; each reason has a counter and an HTTP status."""

    UNKNOWN_PATH = "unknown_path"
    BAD_REQUEST = "bad_request"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    OFFLINE_LIMIT = "offline_limit"
    RATE = "rate"
    NO_ROOM = "no_room"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    POISON = "poison"
    DEADLINE = "deadline"
    TARGET_FAILED = "target_failed"
    OPERATION_IN_PROGRESS = "operation_in_progress"
    OPERATION_UNKNOWN = "operation_unknown"


class RetryReason(StrEnum):
    """Why a request was sent to another target."""

    CONNECT_FAILED = "connect_failed"
    SHED = "shed"
    IDEMPOTENT = "idempotent"


STATUS = {
    Reason.UNKNOWN_PATH: 404,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.OFFLINE_LIMIT: 503,
    Reason.RATE: 429,
    Reason.NO_ROOM: 503,
    Reason.NO_TARGET: 503,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.POISON: 503,
    Reason.DEADLINE: 504,
    Reason.TARGET_FAILED: 502,
    Reason.OPERATION_IN_PROGRESS: 409,
    Reason.OPERATION_UNKNOWN: 409,
}
