"""Reasons for refusals, retries and failures, used in logs and metric labels."""

from enum import StrEnum


class Reason(StrEnum):
    """Why a request was refused, retried, dropped or failed."""

    NOT_CONFIGURED = "not_configured"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    NO_MEMORY = "no_memory"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_TARGET = "no_target"
    NO_ROOM = "no_room"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    TARGET_BUSY = "target_busy"
    OTHER_INSTANCE = "other_instance"
    CONNECTION_BROKEN = "connection_broken"
    SPOILT_ANSWER = "spoilt_answer"
    TARGET_ERROR = "target_error"
    TARGET_SILENT = "target_silent"
    UNENDED_ANSWER = "unended_answer"
    CALLER_LEFT = "caller_left"
    POISON = "poison"
    WAS_PAUSED = "was_paused"
    STOPPING = "stopping"
    CUT_OFF = "cut_off"
    OUTDATED = "outdated"
    RELAY_FAILED = "relay_failed"
