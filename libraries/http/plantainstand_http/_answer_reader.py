"""Parses responses from the bytes of one connection to a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

import httptools

from plantainstand_http._messages import Headers, header_value
from plantainstand_http._pacing import SMALL_PIECE_BYTES
from plantainstand_http._stream import (
    BodyStream,
    ExchangeFailure,
    StreamSource,
)

DEFAULT_IDLE_LIMIT = timedelta(seconds=4)
"""Idle time after which a connection is not reused, unless the target states
another one in a Keep-Alive header."""

IDLE_TIMEOUT_FRACTION = 0.7
"""Fraction of a target's stated idle timeout that is used, so that a request is
not sent while the target closes the connection."""

MAX_COLLECTED_BODY_BYTES = 16 * 1024
"""Size up to which a body is collected before it is forwarded, so that the
request can still be sent to another target if the body is truncated."""

MAX_FRAMING_BYTES = 64 * 1024
"""Longest run of bytes without body content: heads, interim responses, chunk
extensions, trailers. More than four times the usual limit of a head."""

MAX_HEADERS = 256
"""Headers of one response. Each costs memory far beyond its bytes."""

MAX_MISMATCHED_BODY_BYTES = 1024 * 1024
"""Body bytes of responses to other requests that are skipped on one connection:
enough for a late copy of a large response, but not for an endless one."""

MAX_MISMATCHED_RESPONSES = 64
"""Responses to other requests that are skipped while one response is awaited.
Small ones without end would take processor time rather than memory."""

MAX_INTERIM_RESPONSES = 32
"""Interim responses before one response. Servers that send them at all send a
few; the deadline alone would let a target hold the request with them."""

_STATUSES = range(100, 600)
_VERSIONS = frozenset(('1.0', '1.1'))
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """A target's response."""

    status: int
    headers: Headers
    body: bytes
    """Whole body without its transfer coding; empty if ``rest`` is set."""

    rest: BodyStream | None = None
    """Body of a large response, which is still arriving."""


EchoedHeader = tuple[bytes, bytes | None]
"""Lower-case name and value of the header that a response must echo; with None
as the value, any response is accepted, and one with the header is taken for
that to an earlier request."""


@dataclass(slots=True)
class _PartialResponse:
    """A response that is being read."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    head_complete: bool = False
    is_mismatched: bool = False
    """Whether the response is to another request and is skipped."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lower-case name."""
        return header_value(self.headers, name)

    @property
    def is_framed(self) -> bool:
        """Whether its headers say where the body ends."""
        return any(name in _FRAMING for name, _content in self.headers)


class ResponseReader:
    """Parses bytes and delivers the response to the request sent last.

    The methods named ``on_`` are called by the parser.
    """

    def __init__(
        self,
        delivered: Callable[[TargetResponse], None],
        completed: Callable[[], None],
    ):
        """``delivered`` is called with each response, ``completed`` when the
        last byte of that response has been read."""
        self.may_reuse = True
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self._source: StreamSource | None = None
        self._delivered = delivered
        self._completed = completed
        self._parser = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()
        self._stream: BodyStream | None = None
        self._expecting = False
        self._exchanges = 0
        self._identity: EchoedHeader = (b'', None)
        self._head_only = False
        self._framing_bytes = 0
        self._foreign_bytes = 0
        self._foreign_responses = 0
        self._interim_responses = 0
        self._fault: str | None = None
        self._small_pieces = 0

    @property
    def is_expecting(self) -> bool:
        """Whether a response, or the rest of one, has yet to arrive."""
        return self._expecting

    def expect(
        self,
        identity: EchoedHeader,
        source: StreamSource,
        *,
        head_only: bool,
    ) -> None:
        """Expect the response to a request that is sent now.

        ``source`` controls the exchange from the stream of a large body.
        """
        self._identity = identity
        self._source = source
        self._head_only = head_only
        self._expecting = True
        self._exchanges += 1
        self._framing_bytes = 0
        self._foreign_responses = 0
        self._interim_responses = 0
        self._partial = _PartialResponse()

    def feed(self, chunk: bytes | memoryview) -> str | None:
        """Parse bytes; return the fault if they are no valid response."""
        self._framing_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # The callbacks end the parser with a fault of their own.
            return self._fault or 'bytes that are no HTTP answer'
        if self._framing_bytes > MAX_FRAMING_BYTES:
            return 'head or framing without end'
        if self._foreign_responses > MAX_MISMATCHED_RESPONSES:
            return 'too many answers to other requests'
        if self._foreign_bytes > MAX_MISMATCHED_BODY_BYTES:
            return 'too many bytes for other requests'
        return self._fault

    def take_small_pieces(self) -> int:
        """Return the number of small pieces since the last call."""
        count = self._small_pieces
        self._small_pieces = 0
        return count

    def end_input(self) -> None:
        """Complete a response whose body ends with the connection."""
        partial = self._partial
        unframed = partial.head_complete and not partial.is_framed
        if self._expecting and unframed and not partial.is_mismatched:
            self.may_reuse = False
            self._complete()

    def fail(self, failure: ExchangeFailure) -> None:
        """End the exchange, and its body stream, with a failure."""
        self.may_reuse = False
        self._expecting = False
        self._partial = _PartialResponse()
        if self._stream is not None:
            self._stream.finish(failure)
            self._stream = None

    def on_message_begin(self) -> None:
        """Start a response."""
        self._small_pieces += 1
        self._partial = _PartialResponse()
        if not self._expecting:
            # A second response to the same request has begun.
            self.may_reuse = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; ignore trailers."""
        partial = self._partial
        if partial.head_complete:
            return
        if len(partial.headers) < MAX_HEADERS:
            partial.headers.append((name.lower(), content))
        else:
            self._fault = 'too many headers'

    def on_headers_complete(self) -> None:
        """Check the response's identity and decide how to read its body.

        An error ends the parser, so that nothing of the response is delivered.
        """
        self._check_status_line()
        if _is_interim(self._parser) or not self._expecting:
            return
        self._partial.head_complete = True
        self._check_identity()
        if self._head_only:
            self.may_reuse = False
            self._complete()
            return
        stated_length = self._partial.header(b'content-length')
        if (
            stated_length is not None
            and int(stated_length) > MAX_COLLECTED_BODY_BYTES
        ):
            self._begin_stream()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body, stream it, or skip it."""
        self._framing_bytes = 0
        self._small_pieces += len(part) < SMALL_PIECE_BYTES
        partial = self._partial
        is_expected = self._expecting and not partial.is_mismatched
        if is_expected and self._stream is not None:
            self._stream.feed(part)
        elif is_expected:
            partial.body += part
            if len(partial.body) > MAX_COLLECTED_BODY_BYTES:
                self._begin_stream()
        else:
            self._foreign_bytes += len(part)

    def on_message_complete(self) -> None:
        """Complete the response unless it is interim or mismatched."""
        is_skipped = self._partial.is_mismatched or _is_interim(self._parser)
        if self._expecting and is_skipped:
            # The expected response may follow a late or interim one.
            self._partial = _PartialResponse()
        elif self._expecting:
            self._complete()
        else:
            self.may_reuse = False

    def _check_status_line(self) -> None:
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        self._interim_responses += _is_interim(self._parser)
        if status not in _STATUSES or version not in _VERSIONS:
            self._fault = f'status line with HTTP/{version} {status}'
        elif self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fault = 'interim answers without end'
        else:
            return
        raise ValueError(self._fault)

    def _check_identity(self) -> None:
        name, expected = self._identity
        echoed = self._partial.header(name)
        used = self._exchanges > 1
        if expected is None:
            if echoed is not None and used:
                # The own response may follow this copy of an earlier one.
                self.may_reuse = False
            return
        if echoed is None and used:
            # It may be a late copy of an earlier response.
            self._fault = 'answer without an id on a used connection'
        known = echoed is not None or used
        if known and echoed != expected:
            self._partial.is_mismatched = True
            self._foreign_responses += 1

    def _begin_stream(self) -> None:
        partial = self._partial
        if partial.is_mismatched:
            return
        assert self._source is not None  # noqa: S101
        self._stream = BodyStream(self._source)
        if partial.body:
            self._stream.feed(bytes(partial.body))
        partial.body = bytearray()
        self._deliver()

    def _complete(self) -> None:
        if self._partial.is_mismatched:
            self._fault = 'answer to another request'
            return
        self._expecting = False
        self._apply_keep_alive()
        stream = self._stream
        self._stream = None
        if stream is None:
            self._deliver()
        else:
            stream.finish()
        # An idle connection keeps nothing of its last response.
        self._partial = _PartialResponse()
        self._completed()

    def _deliver(self) -> None:
        partial = self._partial
        self._delivered(
            TargetResponse(
                self._parser.get_status_code(),
                tuple(partial.headers),
                bytes(partial.body),
                self._stream,
            ),
        )

    def _apply_keep_alive(self) -> None:
        bodiless = self._parser.get_status_code() in _BODILESS
        if not (self._partial.is_framed or bodiless):
            self.may_reuse = False
        if not self._parser.should_keep_alive():
            self.may_reuse = False
        keep_alive = self._partial.header(b'keep-alive') or b''
        name, _equals, seconds = keep_alive.partition(b'=')
        if name.strip() == b'timeout' and seconds.strip().isdigit():
            self.idle_limit = timedelta(
                seconds=int(seconds) * IDLE_TIMEOUT_FRACTION
            )


def _is_interim(parser: httptools.HttpResponseParser) -> bool:
    return bool(parser.get_status_code() < HTTPStatus.OK)
