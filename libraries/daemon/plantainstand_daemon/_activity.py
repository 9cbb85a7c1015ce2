"""Count of requests in progress, and whether new ones are accepted."""

from collections.abc import Iterator
from contextlib import contextmanager


class RequestTracker:
    """Counts requests in progress and says whether new ones are accepted.

    Not thread-safe: used on the event loop only.
    """

    def __init__(self) -> None:
        """Start idle and accepting requests."""
        self._in_flight = 0
        self._is_accepting = True

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are accepted."""
        return self._is_accepting

    def start_accepting(self) -> None:
        """Accept new requests again."""
        self._is_accepting = True

    def stop_accepting(self) -> None:
        """Refuse new requests; those in progress continue."""
        self._is_accepting = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in progress during the ``with`` block."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
