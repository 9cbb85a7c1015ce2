"""Configures structured logs."""

import logging
import sys
from enum import Enum
from typing import TextIO

import msgspec
import structlog

from plantainstand_telemetry._bounded_output import BoundedLogOutput


class LogFormat(Enum):
    """Encoding of log lines."""

    JSON = 'json'
    CONSOLE = 'console'


class LogLevel(Enum):
    """Lowest level of the lines that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


def configure_logs(
    log_format: LogFormat,
    level: LogLevel,
    output: TextIO | BoundedLogOutput | None = None,
) -> None:
    """Log to ``output``, or to standard error without one."""
    renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer()
    if log_format is LogFormat.JSON:
        renderer = structlog.processors.JSONRenderer(_encode_line)
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
        logger_factory=structlog.WriteLoggerFactory(
            # structlog only calls write and flush.
            output or sys.stderr,  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=output is not None,
    )


def _encode_line(event: object, **_options: object) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()
