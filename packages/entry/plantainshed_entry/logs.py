"""Logging in JSON lines to standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "plantainshed"
FORMAT = "%(asctime)s %(levelname)s %(message)s"


def open_log(vm: str, level: str, stream=None) -> logging.LoggerAdapter:
    """Return a logger that adds the VM's name to each line.

    API keys are never logged, only their public key ids.
    """
    logger = logging.getLogger(f"{LOGGER_NAME}.{vm}")
    logger.setLevel(level.upper())
    logger.propagate = False
    if not logger.handlers:
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                FORMAT, rename_fields={"asctime": "time", "levelname": "level"}
            )
        )
        logger.addHandler(handler)
    return _MergingAdapter(logger, {"vm": vm})


class _MergingAdapter(logging.LoggerAdapter):
    """Merges the fields of a log call with those of the adapter."""

    def process(self, msg, kwargs):
        kwargs["extra"] = {**self.extra, **kwargs.get("extra", {})}
        return msg, kwargs
