"""Traces, in a separate module because OpenTelemetry is slow to import."""

from plantainstand_telemetry._traces import (
    Tracing,
    current_traceparent,
    open_tracing,
    set_span_attributes,
)

__all__ = (
    'Tracing',
    'current_traceparent',
    'open_tracing',
    'set_span_attributes',
)
