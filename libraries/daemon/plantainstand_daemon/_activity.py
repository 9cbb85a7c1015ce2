"""Count of the requests in progress at this VM."""

from collections.abc import Iterator
from contextlib import contextmanager


class Activity:
    """Requests in progress, and whether new ones are taken.

    Owned by the event loop.
    """

    def __init__(self) -> None:
        """Start open and idle."""
        self._in_flight = 0
        self._accepts = True

    @property
    def in_flight(self) -> int:
        """Requests in progress."""
        return self._in_flight

    @property
    def accepts(self) -> bool:
        """Whether new requests are taken."""
        return self._accepts

    def open(self) -> None:
        """Take new requests."""
        self._accepts = True

    def close(self) -> None:
        """Refuse new requests; those in progress go on."""
        self._accepts = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request for the time of the block."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
