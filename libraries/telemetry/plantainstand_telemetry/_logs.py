"""Set-up of structured logs."""

import logging
import sys
from enum import Enum

import structlog


class LogFormat(Enum):
    """How log lines are written."""

    JSON = 'json'
    CONSOLE = 'console'


class LogLevel(Enum):
    """Lowest level that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


def configure_logs(log_format: LogFormat, level: LogLevel) -> None:
    """Send the log lines of the process to standard error."""
    renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer()
    if log_format is LogFormat.JSON:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.name],
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
