"""Log output that never blocks and never grows without bound."""

import os
from collections import deque
from datetime import timedelta

from plantainstand_core import Clock

_SECOND = timedelta(seconds=1)

MAX_PENDING_BYTES = 1_000_000
"""Lines kept for a reader that has stopped reading; later ones are dropped."""

MAX_LINES_PER_SECOND = 400
"""More than the requests that one entry VM can serve in a second."""


class BoundedLogOutput:
    """File-like object for structlog, emptied by :meth:`flush_pending`.

    Lines beyond the rate or the memory limit are counted, and the count is
    written as a line of its own.
    """

    def __init__(self, descriptor: int, clock: Clock):
        """Write to a descriptor, which becomes non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second_began = clock.monotonic()
        self._lines_in_second = 0
        self._dropped = 0

    @property
    def dropped_count(self) -> int:
        """Lines dropped since the last line that said so."""
        return self._dropped

    def write(self, text: str) -> None:
        """Take a line, or count it as dropped."""
        now = self._clock.monotonic()
        if now - self._second_began >= _SECOND:
            self._second_began = now
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
        """Do nothing: lines are written together, see flush_pending."""

    def flush_pending(self) -> None:
        """Write what the reader takes at once."""
        self._write_pending()
        if self._dropped and not self._pending:
            self._append(_dropped_line(self._dropped))
            self._dropped = 0
            self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            whole = b''.join(self._pending)
            try:
                written = os.write(self._descriptor, whole)
            except BlockingIOError:
                return
            self._pending.clear()
            self._pending_bytes = len(whole) - written
            if self._pending_bytes:
                self._pending.append(whole[written:])

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)


def _dropped_line(count: int) -> bytes:
    return b'{"event": "log lines dropped", "count": %d}\n' % count
