"""Requests and responses, and their encoding."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import msgspec

from plantainstand_http._stream import BodyStream

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields: names in lower case and values, in the order received."""

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@dataclass(frozen=True, slots=True)
class Request:
    """A request that has been received whole."""

    method: bytes
    """Method in upper case."""

    request_target: bytes
    """Path and query as sent."""

    headers: Headers
    body: bytes
    """Body without its transfer coding; empty if it is in ``long_body``."""

    received_at: timedelta
    """Monotonic time at which the head was complete."""

    keep_alive: bool = True
    """Whether the client may send further requests on the connection."""

    accepts_chunked: bool = True
    """Whether the client accepts chunked bodies: HTTP/1.1, not 1.0."""

    long_body: tuple[bytes | bytearray, ...] = ()
    """Parts of a body above 64 KiB. They are never joined for a
    target, so that the body is held only once."""

    @property
    def body_bytes(self) -> int:
        """Size of the body."""
        return len(self.body) + sum(len(part) for part in self.long_body)

    @property
    def whole_body(self) -> bytes:
        """Body in one piece; a copy if it is long."""
        return b''.join(self.long_body) if self.long_body else self.body

    @property
    def head_bytes(self) -> int:
        """Size of path, query and headers."""
        sizes = (len(name) + len(content) for name, content in self.headers)
        return len(self.request_target) + sum(sizes)

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.request_target.partition(b'?')[0]

    @property
    def query(self) -> bytes:
        """Query without its question mark."""
        return self.request_target.partition(b'?')[2]


@dataclass(frozen=True, slots=True)
class Response:
    """A response, whole or with a body that is still arriving."""

    status: int
    headers: Headers = ()
    """Header fields; the server adds those that frame the body."""

    body: bytes = b''
    """Body without a transfer coding."""

    close: bool = False
    """Whether the connection ends after this response."""

    rest: BodyStream | None = None
    """Body that is forwarded while it arrives, instead of ``body``. The server
    closes the stream."""

    fallback: 'Response | None' = None
    """Whole response that is sent instead if ``rest`` fails before that."""


def header_value(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    for header, content in headers:
        if header == name:
            return content
    return None


def json_response(status: int, document: object) -> Response:
    """Return a response with a JSON body."""
    headers = ((b'content-type', b'application/json'),)
    return Response(status, headers, msgspec.json.encode(document))


def end_to_end_headers(headers: Headers, extra: Collection[bytes]) -> Headers:
    """Remove hop-by-hop headers and those named in ``extra``."""
    named = header_value(headers, b'connection') or b''
    dropped = {name.strip().lower() for name in named.split(b',')}
    dropped.update(extra)
    return tuple(
        (name, content)
        for name, content in headers
        if name not in _HOP_BY_HOP and name not in dropped
    )


def encode_request(
    request: Request, added: Headers, removed: Collection[bytes] = ()
) -> bytes:
    """Encode a request to be forwarded, with headers added and removed.

    The parts of ``request.long_body`` are to be sent after what is returned. An
    added header replaces those of the client with the same name.
    """
    replaced = {*removed, *(name for name, _content in added)}
    lines = [b'%s %s HTTP/1.1' % (request.method, request.request_target)]
    kept = end_to_end_headers(request.headers, replaced)
    lines.extend(b'%s: %s' % header for header in (*kept, *added))
    size = request.body_bytes
    if size or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % size)
    lines.extend((b'', request.body))
    return b'\r\n'.join(lines)


def encode_response(
    response: Response,
    *,
    close: bool,
    head_only: bool,
) -> bytes:
    """Encode a whole response."""
    framing: Headers = ()
    if response.status not in _BODILESS_STATUSES:
        length = _body_length(response, head_only=head_only)
        framing = ((b'content-length', length),)
    head = _encode_head(response, framing, close=close)
    return head if head_only else head + response.body


def encode_stream_head(
    response: Response,
    *,
    close: bool,
    chunked: bool,
) -> bytes:
    """Encode the head of a response whose body is streamed.

    A body without a stated length is sent in chunks if ``chunked``, else it
    ends with the connection.
    """
    framing: Headers = ()
    length = stated_length(response)
    if length is not None:
        framing = ((b'content-length', b'%d' % length),)
    elif chunked:
        framing = ((b'transfer-encoding', b'chunked'),)
    return _encode_head(response, framing, close=close)


def encode_chunk(part: bytes) -> bytes:
    """Encode one chunk of a body; an empty chunk ends the body."""
    return b'%x\r\n%s\r\n' % (len(part), part)


def stated_length(response: Response) -> int | None:
    """Return the value of the Content-Length header, or None."""
    stated = header_value(response.headers, b'content-length')
    return None if stated is None else int(stated)


def _encode_head(response: Response, framing: Headers, *, close: bool) -> bytes:
    status = response.status
    lines = [b'HTTP/1.1 %d %s' % (status, _reason(status))]
    kept = end_to_end_headers(response.headers, ())
    lines.extend(b'%s: %s' % header for header in (*kept, *framing))
    if close:
        lines.append(b'connection: close')
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)


def _body_length(response: Response, *, head_only: bool) -> bytes:
    # A response to HEAD states the length of the response to GET.
    stated = header_value(response.headers, b'content-length')
    if head_only and stated is not None:
        return stated
    return b'%d' % len(response.body)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
