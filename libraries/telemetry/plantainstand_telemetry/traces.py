"""Traces; a module of its own, since its library is slow to load."""

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
