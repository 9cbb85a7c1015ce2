"""Logs, metrics and traces of the plantainstand processes."""

from plantainstand_telemetry._bounded_output import BoundedLogOutput
from plantainstand_telemetry._logs import LogFormat, LogLevel, configure_logs
from plantainstand_telemetry._metrics import Metrics
from plantainstand_telemetry._traces import (
    Tracing,
    current_traceparent,
    open_tracing,
    set_span_attributes,
)

__all__ = (
    'BoundedLogOutput',
    'LogFormat',
    'LogLevel',
    'Metrics',
    'Tracing',
    'configure_logs',
    'current_traceparent',
    'open_tracing',
    'set_span_attributes',
)
