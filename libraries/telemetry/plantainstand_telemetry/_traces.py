"""Traces with a span for each hop, written to rotated files."""

import logging
from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager, ExitStack
from logging.handlers import RotatingFileHandler
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_MAX_FILE_BYTES = 16777216
_ROTATED_FILE_COUNT = 4
_PROPAGATOR = TraceContextTextMapPropagator()


class _FileExporter(SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, path: Path) -> None:
        self._handler = RotatingFileHandler(
            path,
            maxBytes=_MAX_FILE_BYTES,
            backupCount=_ROTATED_FILE_COUNT,
            delay=True,
        )

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            record = logging.LogRecord(
                'trace',
                logging.INFO,
                '',
                0,
                span.to_json(indent=None),
                None,
                None,
            )
            self._handler.emit(record)
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._handler.close()


class Tracing:
    """Tracer of one process; closing it writes the buffered spans."""

    def __init__(
        self,
        process: str,
        folder: Path | None = None,
        sample_ratio: float = 1,
    ) -> None:
        """Write to ``<folder>/<process>.jsonl``; without a folder, drop all."""
        self._provider = TracerProvider(
            sampler=ParentBased(
                TraceIdRatioBased(sample_ratio if folder else 0),
            ),
            resource=Resource.create({'service.instance.id': process}),
        )
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            self._provider.add_span_processor(
                BatchSpanProcessor(_FileExporter(folder / f'{process}.jsonl')),
            )
        self._tracer = self._provider.get_tracer('plantainstand')

    def close(self) -> None:
        """Write the buffered spans and close the file."""
        self._provider.shutdown()

    def span(
        self,
        name: str,
        traceparent: str = '',
        **attributes: str,
    ) -> AbstractContextManager[trace.Span]:
        """Open a span, as a child of the W3C ``traceparent`` if given."""
        context = None
        if traceparent:
            context = _PROPAGATOR.extract({'traceparent': traceparent})
        return self._tracer.start_as_current_span(
            name,
            context=context,
            attributes=attributes,
        )


def current_traceparent() -> str:
    """Return the W3C ``traceparent`` of the open span, or an empty string."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get('traceparent', '')


def set_span_attributes(attributes: Mapping[str, str]) -> None:
    """Add attributes to the open span."""
    trace.get_current_span().set_attributes(dict(attributes))


def open_tracing(
    stack: ExitStack,
    process: str,
    folder: Path | None,
    sample_ratio: float,
) -> Tracing:
    """Create a :class:`Tracing` that ``stack`` closes."""
    tracing = Tracing(process, folder, sample_ratio)
    stack.callback(tracing.close)
    return tracing
