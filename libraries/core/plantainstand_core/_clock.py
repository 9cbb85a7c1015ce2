"""The clock interface and its two implementations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

_MANUAL_START = datetime.fromisoformat('2026-01-01T00:00:00+00:00')
# Above zero, so that tests reveal code which takes zero for "never".
_MANUAL_MONOTONIC_START = timedelta(hours=1)


class Clock(Protocol):
    """Source of time, passed to all code that measures time or waits."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""

    def wall(self) -> datetime:
        """Return the current date and time, timezone-aware and in UTC."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> timedelta:
        """See :meth:`Clock.monotonic`.

        Time for which the VM is suspended counts, since a lease, a list or a
        response ages meanwhile.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """See :meth:`Clock.wall`."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that only :meth:`advance` moves, for tests and simulations."""

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
