"""Reads answers from the bytes of one connection to a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

import httptools

from plantainstand_http._messages import Headers, header_value
from plantainstand_http._stream import (
    BodyStream,
    ExchangeFailure,
    StreamSource,
)

DEFAULT_IDLE_LIMIT = timedelta(seconds=4)
"""Idle time after which a connection is not reused, unless the target
states a longer one."""

IDLE_TIMEOUT_FRACTION = 0.7
"""Part of a target's stated idle timeout that is used, so that a request does
not cross the target's close."""

MAX_COLLECTED_BODY_BYTES = 16 * 1024
"""Bodies up to this size are collected before they are passed on, so that the
request can still be sent to another target if the body is cut."""

MAX_FRAMING_BYTES = 64 * 1024
"""Bytes in a row that carry no body: heads, interim answers, chunk extensions,
trailers. More than four times the usual bound on a head."""

MAX_MISMATCHED_BODY_BYTES = 1024 * 1024
"""Body bytes of answers to other requests that are skipped on one connection:
a late copy of a large answer fits, an endless one does not."""

_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer."""

    status: int
    """Status code."""

    headers: Headers
    """Header fields as sent."""

    body: bytes
    """Whole body without its transfer coding; empty if there is a rest."""

    rest: BodyStream | None = None
    """Body of a large answer, which is still arriving."""


EchoedHeader = tuple[bytes, bytes | None]
"""Header that an answer echoes, in lower case, and its value."""


@dataclass(slots=True)
class _PartialResponse:
    """An answer that is being read."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    head_complete: bool = False
    is_mismatched: bool = False
    """Whether it answers another request and is skipped."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return header_value(self.headers, name)

    @property
    def is_framed(self) -> bool:
        """Whether its end is known without the end of the connection."""
        return any(name in _FRAMING for name, _content in self.headers)


class ResponseReader:
    """Parses bytes; hands over the answer to the request that was sent last.

    The callbacks named ``on_`` are the parser's.
    """

    def __init__(
        self,
        source: StreamSource,
        delivered: Callable[[Answer], None],
        completed: Callable[[], None],
    ):
        """``delivered`` is called with each answer, ``completed`` when its
        last byte has been read."""
        self.may_reuse = True
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self._source = source
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
        self._fault: str | None = None

    @property
    def is_expecting(self) -> bool:
        """Whether an answer, or a part of one, is still to come."""
        return self._expecting

    def expect(self, identity: EchoedHeader, *, head_only: bool) -> None:
        """Begin with the answer to a request."""
        self._identity = identity
        self._head_only = head_only
        self._expecting = True
        self._exchanges += 1
        self._framing_bytes = 0
        self._partial = _PartialResponse()

    def feed(self, chunk: bytes) -> str | None:
        """Take bytes; return why they are no answer, if so."""
        self._framing_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 'bytes that are no HTTP answer'
        if self._framing_bytes > MAX_FRAMING_BYTES:
            return 'head or framing without end'
        if self._foreign_bytes > MAX_MISMATCHED_BODY_BYTES:
            return 'too many bytes for other requests'
        return self._fault

    def end_input(self) -> None:
        """Complete an answer that ends with the connection."""
        partial = self._partial
        unframed = partial.head_complete and not partial.is_framed
        if self._expecting and unframed and not partial.is_mismatched:
            self.may_reuse = False
            self._complete()

    def fail(self, failure: ExchangeFailure) -> None:
        """Note that nothing more will come."""
        self.may_reuse = False
        self._expecting = False
        if self._stream is not None:
            self._stream.finish(failure)
            self._stream = None

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._partial = _PartialResponse()
        if not self._expecting:
            # A second answer has begun behind the one that was asked for.
            self.may_reuse = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._partial.head_complete:
            self._partial.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Decide how the body is read."""
        if self._is_interim or not self._expecting:
            return
        self._partial.head_complete = True
        self._check_identity()
        if self._head_only:
            self.may_reuse = False
            self._complete()
            return
        stated = self._partial.header(b'content-length')
        if stated is not None and int(stated) > MAX_COLLECTED_BODY_BYTES:
            self._begin_stream()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body, or pass it on."""
        self._framing_bytes = 0
        partial = self._partial
        wanted = self._expecting and not partial.is_mismatched
        if wanted and self._stream is not None:
            self._stream.feed(part)
        elif wanted:
            partial.body.append(part)
            partial.body_bytes += len(part)
            if partial.body_bytes > MAX_COLLECTED_BODY_BYTES:
                self._begin_stream()
        else:
            self._foreign_bytes += len(part)

    def on_message_complete(self) -> None:
        """Finish, unless this was an interim or somebody else's answer."""
        skipped = self._partial.is_mismatched or self._is_interim
        if self._expecting and skipped:
            # The answer to an earlier request came late; ours may follow.
            self._partial = _PartialResponse()
        elif self._expecting:
            self._complete()
        else:
            self.may_reuse = False

    @property
    def _is_interim(self) -> bool:
        return bool(self._parser.get_status_code() < HTTPStatus.OK)

    def _check_identity(self) -> None:
        name, expected = self._identity
        if expected is None:
            return
        echoed = self._partial.header(name)
        used = self._exchanges > 1
        if echoed is None and used:
            # It may be a late copy of an earlier answer.
            self._fault = 'answer without an id on a used connection'
        known = echoed is not None or used
        self._partial.is_mismatched = known and echoed != expected

    def _begin_stream(self) -> None:
        partial = self._partial
        if partial.is_mismatched:
            return
        self._stream = BodyStream(self._source)
        for part in partial.body:
            self._stream.feed(part)
        partial.body = []
        self._deliver()

    def _complete(self) -> None:
        if self._partial.is_mismatched:
            self._fault = 'answer to another request'
            return
        self._expecting = False
        self._note_keep_alive()
        stream = self._stream
        self._stream = None
        if stream is None:
            self._deliver()
        else:
            stream.finish()
        self._completed()

    def _deliver(self) -> None:
        partial = self._partial
        self._delivered(
            Answer(
                self._parser.get_status_code(),
                tuple(partial.headers),
                b''.join(partial.body),
                self._stream,
            ),
        )

    def _note_keep_alive(self) -> None:
        bodiless = self._parser.get_status_code() in _BODILESS
        if not (self._partial.is_framed or bodiless):
            self.may_reuse = False
        if not self._parser.should_keep_alive():
            self.may_reuse = False
        stated = self._partial.header(b'keep-alive') or b''
        name, _equals, seconds = stated.partition(b'=')
        if name.strip() == b'timeout' and seconds.strip().isdigit():
            self.idle_limit = timedelta(
                seconds=int(seconds) * IDLE_TIMEOUT_FRACTION
            )
