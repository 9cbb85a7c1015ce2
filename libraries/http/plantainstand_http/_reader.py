"""Parses requests from the bytes of one connection."""

from collections.abc import Callable
from datetime import timedelta

import httptools
from plantainstand_core import Clock

from plantainstand_http._budget import LINE_COST
from plantainstand_http._messages import Request, header_value
from plantainstand_http._pacing import SMALL_PIECE_BYTES
from plantainstand_http._parser_bytes import UnreportedBytes

LONG_PART_BYTES = 64 * 1024
"""Length of the parts that a long body is held in. One growing buffer would be
copied while it grows, and again into the request; and blocks of one length are
reused once they are free, whatever was freed around them."""

SHORT_BODY_BYTES = 16 * 1024
"""Size up to which a body has a buffer that grows with it."""


class _BodyParts:
    """A body that arrives, in parts of one length."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self._short = bytearray()
        self._parts: list[bytearray] = []
        self._room = memoryview(b'')
        """What is free of the last part."""

    def append(self, piece: bytes) -> None:
        """Add the next piece, which is no longer than a part."""
        if not self._parts:
            if len(self._short) + len(piece) <= SHORT_BODY_BYTES:
                self._short += piece
                self.held_bytes = len(self._short)
                return
            self._add_part()
            self._fill(self._short)
            self._short = bytearray()
        self._fill(piece)

    def take(self) -> tuple[bytes | bytearray, ...]:
        """Return the parts; only one if the body is not long."""
        if not self._parts:
            return (bytes(self._short),)
        last_bytes = LONG_PART_BYTES - len(self._room)
        last = bytes(memoryview(self._parts.pop())[:last_bytes])
        return (*self._parts, last) if last else tuple(self._parts)

    def _add_part(self) -> None:
        part = bytearray(LONG_PART_BYTES)
        self._parts.append(part)
        self._room = memoryview(part)
        self.held_bytes = len(self._parts) * LONG_PART_BYTES

    def _fill(self, piece: bytes | bytearray) -> None:
        room = self._room
        kept = min(len(piece), len(room))
        room[:kept] = piece[:kept]  # noqa: WPS362
        self._room = room[kept:]
        if not self._room:
            self._add_part()
            self._fill(piece[kept:])


class RequestReader:
    """Parses bytes and delivers each whole request.

    The methods named ``on_`` are called by the parser.
    """

    def __init__(
        self,
        clock: Clock,
        completed: Callable[[Request], None],
        expects_continue: Callable[[], None],
    ):
        """``completed`` is called with each request, ``expects_continue`` for a
        client that waits for 100 Continue before it sends a body."""
        self._clock = clock
        self._completed = completed
        self._expects_continue = expects_continue
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._unreported = UnreportedBytes()
        self._small_pieces = 0
        self._begin()

    @property
    def header_lines(self) -> int:
        """Number of header lines of the request that is being read."""
        return len(self._headers)

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes which is being read.

        A line that is not complete is held by the parser, also in trailers.
        """
        lines_bytes = len(self._headers) * LINE_COST
        head_bytes = lines_bytes + self._reported_head_bytes
        return head_bytes + self._body.held_bytes + self._unreported.count

    def discard(self) -> None:
        """Free the request that is being read; nothing more is parsed.

        The parser refers to this reader. Without this, what both hold is freed
        only when the garbage collector finds the cycle, long after the
        connection has ended.
        """
        self._parser = None
        self._begin()
        self._unreported.clear()

    def take_small_pieces(self) -> int:
        """Return the number of small pieces since the last call."""
        count = self._small_pieces
        self._small_pieces = 0
        return count

    def feed(self, chunk: bytes | memoryview) -> bool:
        """Parse bytes; return False if they are no valid HTTP."""
        parser = self._parser
        if parser is None:
            return True
        if self.reading_head:
            self.head_bytes += len(chunk)
        self.framing_bytes += len(chunk)
        self.received_bytes += len(chunk)
        self._unreported.feed(len(chunk))
        try:
            parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as offer:
            if self._parser is not parser:
                # It came behind a request after which nothing is read.
                self.discard()
                return True
            return self._decline_upgrade(parser, chunk[offer.args[0] :])
        except httptools.HttpParserError:
            return False
        if self._parser is None:
            # What came behind a request after which nothing is read.
            self.discard()
        elif not self.started:
            # Empty lines before a request are skipped, not kept.
            self._unreported.clear()
        return True

    def on_message_begin(self) -> None:
        """Start a request."""
        self._begin()
        self.started = True

    def on_url(self, part: bytes) -> None:
        """Collect a part of path and query."""
        self._target += part
        self._report_head(len(part))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; ignore trailers."""
        size = len(name) + len(content)
        if not self.reading_head:
            self._unreported.report(size)
            self._small_pieces += 1
            return
        self._report_head(size)
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Record when the request arrived."""
        if self._parser is None or self._parser.should_upgrade():
            # The parser goes no further; the head is parsed once more.
            return
        self.reading_head = False
        self._received_at = self._clock.monotonic()
        if header_value(self._headers, b'expect') is not None:
            self._expects_continue()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._small_pieces += len(part) < SMALL_PIECE_BYTES
        self._unreported.report(len(part))
        self.framing_bytes = 0
        self._body.append(part)
        self.body_bytes += len(part)

    def on_message_complete(self) -> None:
        """Deliver the request, which is now whole."""
        parser = self._parser
        if parser is None or parser.should_upgrade():
            return
        parts = self._body.take()
        is_long = len(parts) > 1
        request = Request(
            method=parser.get_method(),
            request_target=self._target,
            headers=tuple(self._headers),
            body=b'' if is_long else bytes(b''.join(parts)),
            received_at=self._received_at,
            keep_alive=parser.should_keep_alive(),
            accepts_chunked=parser.get_http_version() != '1.0',
            long_body=parts if is_long else (),
        )
        self._begin()
        self._completed(request)

    def _begin(self) -> None:
        self.reading_head = True
        self.started = False
        self.begun_at: timedelta = self._clock.monotonic()
        self.head_bytes = 0
        self._reported_head_bytes = 0
        self.framing_bytes = 0
        self.received_bytes = 0
        self.body_bytes = 0
        self._received_at = self.begun_at
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = _BodyParts()

    def _decline_upgrade(
        self, parser: httptools.HttpRequestParser, rest: bytes | memoryview
    ) -> bool:
        """Read a request that offers an upgrade like one that does not.

        The parser does not read the body of such a request. So its head, less
        the offer, is parsed once more. Return False for CONNECT, which makes a
        tunnel of its connection.
        """
        if parser.get_method() == b'CONNECT':
            return False
        begun_at = self.begun_at
        version = parser.get_http_version().encode()
        lines = [
            b'%s %s HTTP/%s' % (parser.get_method(), self._target, version)
        ]
        lines.extend(
            b'%s: %s' % header
            for header in self._headers
            if header[0] != b'upgrade'
        )
        self._parser = httptools.HttpRequestParser(self)
        is_valid = self.feed(b'\r\n'.join((*lines, b'', b'')))
        if self.started:
            self.begun_at = begun_at
        return is_valid and self.feed(rest)

    def _report_head(self, size: int) -> None:
        self._unreported.report(size)
        self._reported_head_bytes += size
