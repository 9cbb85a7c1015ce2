"""Pooled connections to a target."""

import io
import math
import socket
import time
from http.client import HTTPResponse, IncompleteRead, LineTooLong
from typing import Any, BinaryIO, cast

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

# A device on the network path, such as a NAT gateway, may have dropped a
# connection that was idle for longer, without either end noticing.
_MAX_IDLE_SECONDS = 15.0

_MAX_LINE_BYTES = 65_536
"""Longest line of a response: of its head, or before a chunk of its body."""

_READ_CHUNK_BYTES = 65_536


class _DeadlineSource(io.RawIOBase):
    """Bytes of a socket until the deadline of the whole response.

    The timeout of a socket starts again with each byte that arrives.
    """

    def __init__(self, source: socket.socket):
        """Take the timeout of ``source`` for the whole response."""
        super().__init__()
        seconds = source.gettimeout()
        self._socket = source
        if seconds is None:
            seconds = math.inf
        self._end_s = time.monotonic() + seconds
        # Keeps the socket open after the connection has released it.
        self._file = source.makefile('rb', buffering=0)

    def readable(self) -> bool:
        """See :meth:`io.IOBase.readable`."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """See :meth:`io.RawIOBase.readinto`."""
        left_s = self._end_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('the response is not whole at its deadline')
        self._socket.settimeout(None if math.isinf(left_s) else left_s)
        return self._file.readinto(buffer)

    def close(self) -> None:
        """See :meth:`io.IOBase.close`."""
        self._file.close()
        super().close()


class _ResponseSource(io.BufferedReader):
    """Bytes of a response, whose lines have a limit."""

    def readline(self, size: int | None = -1) -> bytes:
        """See :meth:`io.IOBase.readline`; raise LineTooLong."""
        if size is not None and size >= 0:
            return super().readline(size)
        line = super().readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise LineTooLong('line of a response')
        return line


class _HeadLines:
    """Lines of a response head; remembers the last one."""

    def __init__(self, source: BinaryIO):
        self.last = b''
        self._source = source

    def readline(self, limit: int = -1) -> bytes:
        """See :meth:`io.IOBase.readline`."""
        self.last = self._source.readline(limit)
        return self.last

    def close(self) -> None:
        """See :meth:`io.IOBase.close`."""
        self._source.close()


class _Response(HTTPResponse):
    """Response that ends at its deadline, and is rejected if its head is cut.

    The base class takes the end of the connection for the end of the head.
    Without the rest of the head, the body seems to end with the connection, and
    an empty or truncated one would look whole.
    """

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        super().__init__(sock, *args, **kwargs)  # type: ignore[arg-type]
        self.fp.close()
        self.fp = _ResponseSource(_DeadlineSource(sock))

    def begin(self) -> None:
        """See :meth:`HTTPResponse.begin`."""
        source = cast(BinaryIO, self.fp)
        head = _HeadLines(source)
        self.fp = cast(BinaryIO, head)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            # The base class closes and drops the source of an invalid head.
            if self.fp is not None:
                self.fp = source  # type: ignore[assignment]
        if not head.last:
            raise IncompleteRead(b'')


class _Connection(HTTPConnection):
    """Connection that is not reused after a long idle time."""

    response_class = _Response

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._last_used_s = time.monotonic()

    @property
    def is_connected(self) -> bool:
        """Whether the pool may reuse the connection."""
        idle_s = time.monotonic() - self._last_used_s
        return idle_s <= _MAX_IDLE_SECONDS and super().is_connected

    def request(self, *args: object, **kwargs: object) -> None:
        """Send a request and record the time."""
        self._last_used_s = time.monotonic()
        super().request(*args, **kwargs)  # type: ignore[arg-type]


class TargetPool(urllib3.HTTPConnectionPool):
    """Connections to one target."""

    ConnectionCls = _Connection  # noqa: WPS115


def read_body(
    response: urllib3.BaseHTTPResponse,
    limit_bytes: int,
) -> bytes | None:
    """Return the body; None if it is cut, late or longer than ``limit_bytes``.

    The connection can be used again only if the body is whole.
    """
    parts = bytearray()
    try:
        for part in response.stream(_READ_CHUNK_BYTES, decode_content=False):
            parts += part
            if len(parts) > limit_bytes:
                response.close()
                return None
    except (HTTPError, OSError):
        response.close()
        return None
    response.release_conn()
    return bytes(parts)
