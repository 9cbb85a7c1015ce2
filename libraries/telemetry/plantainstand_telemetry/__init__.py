"""Logs and metrics of the plantainstand processes; traces in ``traces``."""

from plantainstand_telemetry._bounded_output import BoundedLogOutput
from plantainstand_telemetry._logs import LogFormat, LogLevel, configure_logs
from plantainstand_telemetry._metrics import Metrics

__all__ = (
    'BoundedLogOutput',
    'LogFormat',
    'LogLevel',
    'Metrics',
    'configure_logs',
)
