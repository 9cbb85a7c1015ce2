"""Reads the requests of one client connection."""

import asyncio
import random
from datetime import timedelta
from functools import partial
from http import HTTPStatus

import structlog
from plantainstand_core import Clock

from plantainstand_http._body_buffer import BodyBufferShare
from plantainstand_http._budget import MemoryAccount
from plantainstand_http._client_share import (
    ClientParts,
    ClientShare,
    ShareCallbacks,
)
from plantainstand_http._messages import Headers, Request, Response
from plantainstand_http._output import ClientOutput
from plantainstand_http._pacing import PacedInput
from plantainstand_http._pipeline import (
    ClientLimits,
    PipelineCallbacks,
    RequestPipeline,
    ServerState,
)
from plantainstand_http._reader import RequestReader
from plantainstand_http._shared_buffer import SharedBufferProtocol
from plantainstand_http._socket_queues import (
    SocketQueues,
    discard_unread,
    read_queues,
)

_log = structlog.get_logger()

MAX_FRAMING_BYTES = 64 * 1024
"""Longest run of bytes of a request without body content: chunk extensions and
trailers, which have no end of their own."""

MAX_FRAMING_PER_BODY_BYTE = 16
"""Further bytes of a request for each byte of its body: three times what chunks
of one byte take. Otherwise each byte would pay for another run of framing."""

MIN_BODY_BYTE_TIME = timedelta(milliseconds=1)
"""Time that a byte of a request body may take, beside the idle timeout. A body
that comes more slowly than 1,000 bytes per second is rejected."""

SLICE_BYTES = 4096
"""Bytes that are parsed at once: some two hundred of the shortest requests."""

MAX_LOGGED_REQUESTS = 8
"""Ids of unanswered requests in one log line."""

RETRY_AFTER_SECONDS = (0.3, 0.9)
"""Range of Retry-After of a request that does not fit into the memory. Many are
rejected at the same moment, and must not all return at one."""


class ClientConnection(SharedBufferProtocol):
    """Reads the requests of one connection and queues them for responses."""

    def __init__(self, server: ServerState, clock: Clock):
        """Create a protocol whose connection is opened by the event loop."""
        super().__init__(server.read_buffer)
        self._server = server
        self._clock = clock
        events = PipelineCallbacks(
            self._stop_reading,
            self._finish_reading,
            self._end_output,
            self._handle_progress,
        )
        account = MemoryAccount(server.clients)
        self._pipeline = RequestPipeline(server, events, account)
        self._reader = RequestReader(
            clock,
            self._enqueue,
            self._pipeline.send_continue,
        )
        self._input = PacedInput(server.budget, SLICE_BYTES, self._parse)
        self._transport: asyncio.Transport | None = None
        self._output: ClientOutput | None = None
        self._last_activity = clock.monotonic()
        self._body_share = BodyBufferShare(server)
        self._is_aborted = False
        self._is_finishing = False
        self._share = ClientShare(
            server,
            account,
            ClientParts(self._pipeline, self._reader, self._input),
            ShareCallbacks(
                partial(self._reject, HTTPStatus.SERVICE_UNAVAILABLE),
                self.abort,
            ),
        )

    @property
    def busy(self) -> bool:
        """Whether a request is unfinished or a response is not fully sent."""
        if not _is_idle(self._pipeline, self._reader, self._input):
            return True
        return self._output is not None and self._output.is_flushing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._input.open(transport)
        if not self._share.try_open(self._clock.monotonic()):
            # Nothing that the client has sent was read, so nothing has run.
            self._is_aborted = True
            transport.abort()
            return
        self._output = ClientOutput(transport, self._clock)
        self._pipeline.open(self._output)
        self._server.connections.add(self)

    def connection_lost(self, _problem: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected."""
        if self._transport is not None and not self._is_aborted:
            queues = read_queues(self._transport)
            is_ended = self._output is not None and self._output.is_ended
            cause = 'closed by this VM' if is_ended else 'client left'
            if (
                queues.unsent_bytes
                or queues.unread_bytes
                or self._pipeline.is_answering
            ):
                _log_cut(cause, queues, self._server, self._pipeline)
        self._server.connections.discard(self)
        self._share.close()
        self._transport = None
        self._input.close()
        self._reader.discard()
        self._output = None
        self._pipeline.cancel()
        self._body_share.update(0)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the client."""
        return False

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._output is not None:
            self._output.pause_streams()

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._output is not None:
            self._output.resume_streams()

    def data_received(self, chunk: bytes | memoryview) -> None:
        """Parse bytes from the client, within its share of the loop."""
        now = self._clock.monotonic()
        self._share.record_received(len(chunk), now)
        self._input.receive(chunk)
        if not _is_idle(self._pipeline, self._reader, self._input):
            # Empty lines before a request do not keep a connection open.
            self._last_activity = now

    def check_timeouts(self, now: timedelta) -> None:
        """Close a connection that is idle or whose client is too slow."""
        limits = self._server.limits
        output = self._output
        if output is None or self._transport is None:
            return
        self._share.check(self._transport.get_write_buffer_size())
        output.check_timeouts(now, limits.idle_timeout)
        if self._pipeline.is_answering or not output.is_open:
            return
        reader = self._reader
        idle = now - self._last_activity > limits.idle_timeout
        late = now > _latest_end(reader, limits)
        if reader.started and (idle or late):
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif idle:
            self._end_output()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if not _is_idle(self._pipeline, self._reader, self._input):
            return
        transport = self._transport
        if transport is not None and not self._pipeline.input_ended:
            # What the kernel holds is read in the next turn, and the
            # connection closes with the answer to it.
            if read_queues(transport).unread_bytes:
                return
        self._end_output()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is None:
            return
        queues = read_queues(self._transport)
        is_idle = _is_idle(self._pipeline, self._reader, self._input)
        if not is_idle or queues.unsent_bytes or queues.unread_bytes:
            _log_cut('process ends', queues, self._server, self._pipeline)
        self._is_aborted = True
        if queues.unsent_bytes and self._output and self._output.is_ended:
            # A close with unread input would reset the connection, and the
            # kernel would drop the rest of the answer.
            discard_unread(self._transport)
        self._stop_reading()
        self._transport.abort()

    def _parse(self, part: bytes | memoryview) -> int:
        if self._pipeline.input_ended:
            return 0
        reader = self._reader
        problem = None
        if not reader.feed(part):
            problem = HTTPStatus.BAD_REQUEST
        problem = problem or _size_problem(reader, self._server.limits)
        held = reader.body_bytes + self._pipeline.body_bytes
        is_full = self._body_share.update(held) and reader.body_bytes > 0
        if problem is None and is_full:
            held_bytes = self._server.buffered_body_bytes
            _log.warning('request body buffer full', held_bytes=held_bytes)
            problem = HTTPStatus.SERVICE_UNAVAILABLE
        if problem is not None:
            self._reject(problem)
        elif self._is_finishing:
            self._finish_reading()
        self._share.update_reading()
        return reader.take_small_pieces()

    def _enqueue(self, request: Request) -> None:
        if self._pipeline.input_ended:
            return
        limits = self._server.limits
        is_long = len(request.headers) > limits.header_lines
        if is_long or request.head_bytes > limits.header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        # Reading goes on without keep-alive, since it detects that the client
        # disconnects.
        self._pipeline.add(request)
        self._input.begin_message()
        if self._pipeline.is_full:
            self._input.pause()

    def _reject(self, status: HTTPStatus) -> None:
        """Reject a request that cannot be read, after earlier responses."""
        if self._pipeline.input_ended:
            return
        self._stop_reading()
        headers: Headers = ()
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            seconds = random.uniform(*RETRY_AFTER_SECONDS)
            headers = ((b'retry-after', b'%.2f' % seconds),)
        placeholder = Request(b'', b'', (), b'', self._clock.monotonic())
        self._pipeline.add(placeholder, Response(status, headers, close=True))

    def _handle_progress(self) -> None:
        self._last_activity = self._clock.monotonic()
        if self._transport is None:
            return
        held = self._reader.body_bytes + self._pipeline.body_bytes
        self._body_share.update(held)
        self._share.update_output(self._transport.get_write_buffer_size())
        if not self._pipeline.input_ended and not self._pipeline.is_full:
            self._input.resume()
        if not self._server.listening:
            self.close_if_idle()

    def _finish_reading(self) -> None:
        """Receive nothing more and stop after what has been received."""
        self._is_finishing = True
        self._input.end_receiving()
        if self._input.rest_bytes:
            return
        if self._pipeline.is_answering:
            self._stop_reading()
        else:
            self._end_output()

    def _stop_reading(self) -> None:
        """Stop reading; bytes that follow count as not received."""
        self._pipeline.end_input()
        self._input.discard()
        self._input.pause()
        self._reader.discard()

    def _end_output(self) -> None:
        self._stop_reading()
        if self._output is not None:
            self._output.end()


def _log_cut(
    cause: str,
    queues: SocketQueues,
    server: ServerState,
    pipeline: RequestPipeline,
) -> None:
    """Log a connection that ends with something left to be done."""
    unanswered = pipeline.unanswered
    answered = pipeline.last_answered
    logged = unanswered[:MAX_LOGGED_REQUESTS]
    _log.info(
        'client connection cut',
        cause=cause,
        unanswered=[server.log_id(request) for request in logged],
        unanswered_count=len(unanswered),
        last_answered=answered and server.log_id(answered),
        unsent_bytes=queues.unsent_bytes,
        unread_bytes=queues.unread_bytes,
    )


def _is_idle(
    pipeline: RequestPipeline,
    reader: RequestReader,
    received: PacedInput,
) -> bool:
    """Tell whether no request is being read or answered."""
    is_reading = reader.started or received.rest_bytes > 0
    is_reading = is_reading and not pipeline.input_ended
    return not (pipeline.is_answering or is_reading)


def _latest_end(reader: RequestReader, limits: ClientLimits) -> timedelta:
    """Return the time at which the rest of a request must have come."""
    if reader.reading_head:
        return reader.begun_at + limits.head_timeout
    body_time = reader.body_bytes * MIN_BODY_BYTE_TIME
    return reader.begun_at + limits.idle_timeout + body_time


def _size_problem(
    reader: RequestReader,
    limits: ClientLimits,
) -> HTTPStatus | None:
    framing_limit = max(MAX_FRAMING_BYTES, limits.header_bytes)
    if reader.framing_bytes > framing_limit:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    content_bytes = limits.header_bytes + reader.body_bytes
    framing_allowance = reader.body_bytes * MAX_FRAMING_PER_BODY_BYTE
    whole_limit = content_bytes + framing_limit + framing_allowance
    if reader.received_bytes > whole_limit:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if reader.header_lines > limits.header_lines:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if reader.reading_head and reader.head_bytes > limits.header_bytes:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if reader.body_bytes > limits.body_bytes:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return None
