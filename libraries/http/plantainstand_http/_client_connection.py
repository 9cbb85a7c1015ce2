"""One client's connection: reads its requests."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock

from plantainstand_http._messages import Headers, Request, Response
from plantainstand_http._output import ClientOutput
from plantainstand_http._pipeline import (
    PipelineCallbacks,
    RequestPipeline,
    ServerState,
)
from plantainstand_http._reader import RequestReader

_log = structlog.get_logger()

MAX_BUFFERED_BODY_BYTES = 80 * 1024 * 1024
"""Request bodies that one server holds: the largest one that is usual, and
some smaller ones beside it."""

RETRY_AFTER_SECONDS = b'0.5'
"""Seconds after which a client may return whose body found no room."""


class ClientConnection(asyncio.Protocol):
    """Reads the requests of one connection and has them answered."""

    def __init__(self, server: ServerState, clock: Clock):
        """Wait for the connection to be made."""
        self._server = server
        self._clock = clock
        events = PipelineCallbacks(
            self._stop_reading,
            self._end_output,
            self._progress,
        )
        self._pipeline = RequestPipeline(server, events)
        self._reader = RequestReader(
            clock,
            self._queue,
            self._pipeline.send_continue,
        )
        self._transport: asyncio.Transport | None = None
        self._output: ClientOutput | None = None
        self._last_activity = clock.monotonic()
        self._counted_bytes = 0

    @property
    def busy(self) -> bool:
        """Whether a request is read or answered, or an answer is leaving."""
        reading = self._reader.started and not self._pipeline.input_ended
        leaving = self._output is not None and self._output.is_flushing
        return self._pipeline.is_answering or reading or leaving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._output = ClientOutput(transport, self._clock)
        self._pipeline.open(self._output)
        self._server.connections.add(self)

    def connection_lost(self, _problem: Exception | None) -> None:
        """Cancel what the client no longer waits for."""
        self._server.connections.discard(self)
        self._transport = None
        self._output = None
        self._pipeline.cancel()
        self._server.buffered_body_bytes -= self._counted_bytes
        self._counted_bytes = 0

    def eof_received(self) -> bool:
        """Treat a half-closed connection as one that the client left."""
        return False

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._output is not None:
            self._output.pause_streams()

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._output is not None:
            self._output.resume_streams()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the client."""
        if self._pipeline.input_ended:
            return
        self._last_activity = self._clock.monotonic()
        if not self._reader.feed(chunk):
            self._refuse(HTTPStatus.BAD_REQUEST)
        self._check_size()

    def check_timeouts(self, now: timedelta) -> None:
        """Close a connection that is idle, or whose client is slow."""
        limits = self._server.limits
        output = self._output
        if output is None:
            return
        output.check_timeouts(now, limits.idle_timeout)
        if self._pipeline.is_answering or not output.is_open:
            return
        reader = self._reader
        idle = now - self._last_activity > limits.idle_timeout
        late = now - reader.begun_at > limits.head_timeout
        if reader.started and (idle or (late and reader.reading_head)):
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif idle:
            self._end_output()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if not self.busy:
            self._end_output()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _check_size(self) -> None:
        limits = self._server.limits
        reader = self._reader
        if reader.reading_head and reader.head_bytes > limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif reader.body_bytes > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self._count_bodies() and reader.body_bytes:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _queue(self, request: Request) -> None:
        if self._pipeline.input_ended:
            return
        if request.head_bytes > self._server.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        # Without keep-alive reading goes on, which shows when the client
        # leaves.
        self._pipeline.add(request)
        if self._pipeline.is_full and self._transport is not None:
            self._transport.pause_reading()

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, behind those before it."""
        if self._pipeline.input_ended:
            return
        self._stop_reading()
        headers: Headers = ()
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            held = self._server.buffered_body_bytes
            _log.warning('no room for request bodies', held_bytes=held)
            headers = ((b'retry-after', RETRY_AFTER_SECONDS),)
        unread = Request(b'', b'', (), b'', self._clock.monotonic())
        self._pipeline.add(unread, Response(status, headers, close=True))

    def _count_bodies(self) -> bool:
        """Count this connection's bodies; tell whether all are too many."""
        held = self._reader.body_bytes + self._pipeline.body_bytes
        self._server.buffered_body_bytes += held - self._counted_bytes
        self._counted_bytes = held
        return self._server.buffered_body_bytes > MAX_BUFFERED_BODY_BYTES

    def _progress(self) -> None:
        self._last_activity = self._clock.monotonic()
        if self._transport is None:
            return
        self._count_bodies()
        if not self._pipeline.input_ended and not self._pipeline.is_full:
            self._transport.resume_reading()

    def _stop_reading(self) -> None:
        """Read nothing more: what follows counts as not read."""
        self._pipeline.end_input()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _end_output(self) -> None:
        self._stop_reading()
        if self._output is not None:
            self._output.end()
