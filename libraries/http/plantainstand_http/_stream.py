"""A body that is forwarded while it arrives."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

STREAM_BUFFER_BYTES = 64 * 1024
"""Unread bytes of one body above which the source is paused: a quarter of a
second on the slowest links."""

_JOINED_PART_BYTES = 4096
"""Parts below this length are joined to one part, so that neither memory nor
the number of writes grows with the number of parts."""


class FailureKind(Enum):
    """How an exchange failed, and whether the request may have run."""

    NOT_SENT = 'not sent'
    """No byte of the request was sent, so the request has not run."""

    BROKEN = 'broken'
    """The connection closed or carried no valid response; the request may have
    run."""

    TIMED_OUT = 'timed out'
    """No whole response in time; the request may have run."""

    ABANDONED = 'abandoned'
    """The reader closed the stream before the end of the body."""


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why there is no response, or no more of its body."""

    kind: FailureKind
    detail: str
    """Cause, for log lines."""


StreamEnd = Result[int, ExchangeFailure]
"""Size of a whole body in bytes, or why the body is truncated."""

_ABANDONED = ExchangeFailure(FailureKind.ABANDONED, 'reader left')


@dataclass(frozen=True)
class StreamSource:
    """Callbacks of a stream to the connection that feeds it."""

    pause: Callable[[], None]
    resume: Callable[[], None]
    abort: Callable[[], None]
    """Ends the source, since the stream needs no more bytes."""


def _never() -> bool:
    return False


class BodyStream:
    """Parts of one body in order; pauses the source while too many wait.

    The reader must close the stream, even after it has read all parts.
    """

    def __init__(self, source: StreamSource):
        """Create a stream without parts."""
        self._source = source
        self._parts: deque[bytes | bytearray] = deque()
        self._buffered_bytes = 0
        self._total_bytes = 0
        self._end: StreamEnd | None = None
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[StreamEnd], None]] = []
        self.has_followers: Callable[[], bool] = _never
        """Whether responses behind this one are lost if it is truncated."""

    @property
    def has_failed(self) -> bool:
        """Whether the body is known to be truncated."""
        return isinstance(self._end, Err)

    @property
    def is_unread(self) -> bool:
        """Whether the reader has yet to take what the source has sent."""
        return self._buffered_bytes > STREAM_BUFFER_BYTES // 2

    @property
    def total_bytes(self) -> int:
        """Bytes that the source has sent."""
        return self._total_bytes

    def when_closed(self, listener: Callable[[StreamEnd], None]) -> None:
        """Call ``listener`` once, when the reader closes the stream."""
        self._listeners.append(listener)

    def feed(self, part: bytes) -> None:
        """Add bytes from the source."""
        self._append(part)
        self._buffered_bytes += len(part)
        self._total_bytes += len(part)
        self._changed.set()
        if self._buffered_bytes > STREAM_BUFFER_BYTES:
            self._source.pause()

    def finish(self, failure: ExchangeFailure | None = None) -> None:
        """Record the end of the body, or why the body is truncated."""
        if self._end is None:
            whole: StreamEnd = Ok(self._total_bytes)
            self._end = whole if failure is None else Err(failure)
        self._changed.set()

    async def next_part(self) -> Result[bytes, ExchangeFailure]:
        """Wait for the next bytes; return ``b''`` at the end of the body."""
        while not self._parts and self._end is None:
            self._changed.clear()
            await self._changed.wait()
        if self._parts:
            part = self._parts.popleft()
            self._buffered_bytes -= len(part)
            if self._buffered_bytes <= STREAM_BUFFER_BYTES // 2:
                self._source.resume()
            return Ok(bytes(part))
        if isinstance(self._end, Err):
            return self._end
        return Ok(b'')

    def close(self) -> None:
        """Close the stream; end the source if the body is not whole.

        Parts that were not read are freed at once: a connection that has ended
        refers to the stream until the garbage collector finds it.
        """
        self._parts.clear()
        self._buffered_bytes = 0
        if self._end is None:
            self._end = Err(_ABANDONED)
            self._source.abort()
        listeners = self._listeners
        self._listeners = []
        for listener in listeners:
            listener(self._end)

    def _append(self, part: bytes) -> None:
        if len(part) >= _JOINED_PART_BYTES:
            self._parts.append(part)
            return
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < _JOINED_PART_BYTES:
            last += part
        else:
            self._parts.append(bytearray(part))
