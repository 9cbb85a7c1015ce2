"""Count of the requests in progress at this VM."""

from collections.abc import Iterator
from contextlib import contextmanager


class RequestTracker:
    """Requests in progress, and whether new ones are taken.

    Owned by the event loop.
    """

    def __init__(self) -> None:
        """Start open and idle."""
        self._in_flight = 0
        self._is_accepting = True

    @property
    def in_flight(self) -> int:
        """Requests in progress."""
        return self._in_flight

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are taken."""
        return self._is_accepting

    def start_accepting(self) -> None:
        """Take new requests."""
        self._is_accepting = True

    def stop_accepting(self) -> None:
        """Refuse new requests; those in progress go on."""
        self._is_accepting = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request for the time of the block."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
