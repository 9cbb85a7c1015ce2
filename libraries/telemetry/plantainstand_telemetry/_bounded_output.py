"""Log output that never blocks and uses bounded memory."""

import os
from collections import deque
from datetime import timedelta

from plantainstand_core import Clock

_SECOND = timedelta(seconds=1)

MAX_PENDING_BYTES = 1_000_000
"""Buffered bytes above which lines are dropped, if the reader has stalled."""

MAX_LINES_PER_SECOND = 400
"""Above the number of requests that one entry VM can serve in a second."""


class BoundedLogOutput:
    """File-like object for structlog that buffers until :meth:`flush_pending`.

    Lines above the rate limit or the memory limit are dropped and counted, and
    the count is logged as a line of its own.
    """

    def __init__(self, descriptor: int, clock: Clock):
        """Write to a file descriptor, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second_began_at = clock.monotonic()
        self._lines_in_second = 0
        self._dropped = 0

    @property
    def dropped_count(self) -> int:
        """Lines dropped since the last line that reported drops."""
        return self._dropped

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it."""
        now = self._clock.monotonic()
        if now - self._second_began_at >= _SECOND:
            self._second_began_at = now
            self._lines_in_second = 0
        self._lines_in_second += 1
        line = text.encode(errors='backslashreplace')
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self._dropped += 1
        elif self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._append(line)

    def flush(self) -> None:
        """Do nothing, since :meth:`flush_pending` writes lines in batches."""

    def flush_pending(self) -> None:
        """Write as many buffered bytes as the reader accepts at once."""
        self._write_pending()
        if self._dropped and not self._pending:
            self._append(_dropped_line(self._dropped))
            self._dropped = 0
            self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            joined = b''.join(self._pending)
            try:
                written = os.write(self._descriptor, joined)
            except BlockingIOError:
                return
            self._pending.clear()
            self._pending_bytes = len(joined) - written
            if self._pending_bytes:
                self._pending.append(joined[written:])

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)


def _dropped_line(count: int) -> bytes:
    return b'{"event": "log lines dropped", "count": %d}\n' % count
