"""Structured logs: one JSON object a line on standard output."""

from __future__ import annotations

import logging
import sys

import structlog

from sassafrastally.core.secret import Secret


def configure_logs(level: str) -> None:
    """Send the events of this process to standard output as JSON lines.

    Parameters
    ----------
    level
        Least level that is written: debug, info, warning or error.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _hide_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )


def _hide_secrets(
    _logger: object, _method: str, event_dict: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    return {
        key: repr(value) if isinstance(value, Secret) else value
        for key, value in event_dict.items()
    }
