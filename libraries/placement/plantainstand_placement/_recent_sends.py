"""Times at which one entry VM sent requests to a target."""

from collections import deque
from datetime import timedelta

LONGEST_SPAN = timedelta(seconds=4)
"""Longest span over which requests are counted."""


class RecentSends:
    """Requests of the last ``LONGEST_SPAN``, for limits on sliding windows."""

    def __init__(self) -> None:
        """Start without requests."""
        self._sent_at: deque[timedelta] = deque()

    def record(self, now: timedelta) -> None:
        """Record that a request is sent."""
        while self._sent_at and now - self._sent_at[0] >= LONGEST_SPAN:
            self._sent_at.popleft()
        self._sent_at.append(now)

    def postpone(self, decided_at: timedelta, now: timedelta) -> None:
        """Record that a request, recorded when it was decided, leaves now."""
        if decided_at in self._sent_at:
            self._sent_at.remove(decided_at)
        self.record(now)

    def count(self, after: timedelta) -> int:
        """Return the number of requests sent later than ``after``."""
        number = 0
        for sent_at in reversed(self._sent_at):
            if sent_at <= after:
                break
            number += 1
        return number

    def time_of_last(self, number: int) -> timedelta:
        """Return when the ``number``-th last request was sent, from 1."""
        return self._sent_at[-number]
