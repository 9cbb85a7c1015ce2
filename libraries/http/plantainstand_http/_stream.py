"""A body that is passed on while it arrives."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

STREAM_BUFFER_BYTES = 64 * 1024
"""Bytes of one body that may wait for its reader before the source is paused:
a quarter of a second on the slowest links."""


class FailureKind(Enum):
    """How an exchange failed."""

    NOT_SENT = 'not sent'
    """No byte of the request left: it has not run."""

    BROKEN = 'broken'
    """The connection ended or carried something else; it may have run."""

    TIMED_OUT = 'timed out'
    """No answer in time; it may have run."""

    ABANDONED = 'abandoned'
    """The reader has left before the end."""


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why there is no answer, or no more of it."""

    kind: FailureKind
    """What is known of the request."""

    detail: str
    """Cause, for the log."""


StreamEnd = Result[int, ExchangeFailure]
"""Bytes of a whole body, or why it is not whole."""

_ABANDONED = ExchangeFailure(FailureKind.ABANDONED, 'reader left')


@dataclass(frozen=True)
class StreamSource:
    """What a stream asks of the connection that feeds it."""

    pause: Callable[[], None]
    resume: Callable[[], None]
    abort: Callable[[], None]
    """Stops the source; nothing more is read."""


class BodyStream:
    """Parts of one body, in order, with a bound on those that wait.

    The reader closes it, also when it has read everything.
    """

    def __init__(self, source: StreamSource):
        """Wait for the first part."""
        self._source = source
        self._parts: deque[bytes] = deque()
        self._held_bytes = 0
        self._total_bytes = 0
        self._end: StreamEnd | None = None
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[StreamEnd], None]] = []

    def when_closed(self, listener: Callable[[StreamEnd], None]) -> None:
        """Call ``listener`` once, when the reader closes the stream."""
        self._listeners.append(listener)

    def feed(self, part: bytes) -> None:
        """Take bytes of the source."""
        self._parts.append(part)
        self._held_bytes += len(part)
        self._total_bytes += len(part)
        self._changed.set()
        if self._held_bytes > STREAM_BUFFER_BYTES:
            self._source.pause()

    def finish(self, failure: ExchangeFailure | None = None) -> None:
        """Note that the source has sent all, or why it has not."""
        if self._end is None:
            whole: StreamEnd = Ok(self._total_bytes)
            self._end = whole if failure is None else Err(failure)
        self._changed.set()

    async def next_part(self) -> Result[bytes, ExchangeFailure]:
        """Return the next bytes; none at the end of a whole body."""
        while not self._parts and self._end is None:
            self._changed.clear()
            await self._changed.wait()
        if self._parts:
            part = self._parts.popleft()
            self._held_bytes -= len(part)
            if self._held_bytes <= STREAM_BUFFER_BYTES // 2:
                self._source.resume()
            return Ok(part)
        if isinstance(self._end, Err):
            return self._end
        return Ok(b'')

    def close(self) -> None:
        """Release the source; it is stopped if the body is not whole."""
        if self._end is None:
            self._end = Err(_ABANDONED)
            self._source.abort()
        listeners = self._listeners
        self._listeners = []
        for listener in listeners:
            listener(self._end)
