"""Pooled connections to a target."""

import time
from http.client import HTTPResponse, IncompleteRead
from typing import BinaryIO, cast

import urllib3
from urllib3.connection import HTTPConnection

# A device on the network path, such as a NAT gateway, may have dropped a
# connection that was idle for longer, without either end noticing.
_MAX_IDLE_SECONDS = 15.0


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
    """Response that is rejected if the connection ends within its head.

    The base class takes the end of the connection for the end of the head.
    Without the rest of the head, the body seems to end with the connection, and
    an empty or truncated one would look whole.
    """

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
