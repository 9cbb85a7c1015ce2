"""The clock interface and its two implementations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

_MANUAL_START = datetime.fromisoformat('2026-01-01T00:00:00+00:00')
# A reading above zero shows code that confuses "never" with zero.
_MANUAL_MONOTONIC_START = timedelta(hours=1)


class Clock(Protocol):
    """Source of time, passed to everything that measures or waits."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never goes back."""

    def wall(self) -> datetime:
        """Return the current time of day, aware and in UTC."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> timedelta:
        """See :meth:`Clock.monotonic`.

        It counts the time for which the machine is suspended: a lease, a list
        or an answer ages meanwhile.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """See :meth:`Clock.wall`."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that moves only when told to; for tests and simulations."""

    def __init__(self, start: datetime = _MANUAL_START):
        """Start at ``start`` with a monotonic reading of one hour."""
        self._monotonic = _MANUAL_MONOTONIC_START
        self._wall = start

    def monotonic(self) -> timedelta:
        """See :meth:`Clock.monotonic`."""
        return self._monotonic

    def wall(self) -> datetime:
        """See :meth:`Clock.wall`."""
        return self._wall

    def advance(self, step: timedelta) -> None:
        """Move both readings forward by ``step``."""
        self._monotonic += step
        self._wall += step
