"""Structured logging: one JSON object per line on standard output."""

from __future__ import annotations

import logging
import sys
from functools import partial
from typing import TYPE_CHECKING, TextIO, cast

import structlog

from sassafrastally.core.held_lines import TIMESTAMP
from sassafrastally.core.secret import Secret

if TYPE_CHECKING:
    from sassafrastally.core.log_writer import LogWriter

REQUEST_ID = "request_id"
"""Field of lines about a single request."""


def configure_logs(level: str, writer: LogWriter | None = None) -> None:
    """Configure logging to standard output as JSON lines.

    Parameters
    ----------
    level
        Minimum level that is logged: debug, info, warning or error.
    writer
        Non-blocking writer; without it lines are written synchronously.
    """
    sampling = [partial(_sample, writer)] if writer else []
    structlog.configure(
        processors=[
            *sampling,
            structlog.processors.add_log_level,
            structlog.processors.MaybeTimeStamper(fmt="iso", utc=True),
            _hide_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=(
            structlog.WriteLoggerFactory(cast("TextIO", writer))
            if writer
            else structlog.PrintLoggerFactory(sys.stdout)
        ),
        cache_logger_on_first_use=True,
    )


def _hide_secrets(
    _logger: object, _method: str, event_dict: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    return {
        key: repr(value) if isinstance(value, Secret) else value
        for key, value in event_dict.items()
    }


def _sample(
    writer: LogWriter, _logger: object, method: str, event_dict: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Drop lines about single requests above the rate limit; never drop a warning or an error.

    Lines about the process itself are few, and each may be the only trace of what happened. A line
    that was held was subject to the limit when it was emitted.
    """
    is_sampled = method == "info" and REQUEST_ID in event_dict
    if is_sampled and TIMESTAMP not in event_dict and not writer.allows_success():
        raise structlog.DropEvent
    return event_dict
