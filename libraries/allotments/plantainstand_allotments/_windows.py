"""Sliding windows of one account's runs and rejections."""

from collections import deque
from datetime import timedelta

_BUCKETS_PER_WINDOW = 20


class RunWindow:
    """Exact times of the runs in a sliding window."""

    __slots__ = ('_length', 'times')

    def __init__(self, length: timedelta) -> None:
        """Create an empty window."""
        self._length = length
        self.times: deque[timedelta] = deque()
        """Times of the runs, in ascending order."""

    def prune(self, now: timedelta) -> int:
        """Forget runs before the window; return the number of the others."""
        times = self.times
        start = now - self._length
        while times and times[0] <= start:
            times.popleft()
        return len(times)

    def remove(self, counted_at: timedelta) -> bool:
        """Remove one run; return False if it has left the window."""
        times = self.times
        # The run is most often among the newest.
        times.reverse()
        try:
            times.remove(counted_at)
        except ValueError:
            return False
        finally:
            times.reverse()
        return True

    def insert(self, run_at: timedelta) -> None:
        """Add a run that may be older than the newest one."""
        times = self.times
        position = len(times)
        while position and times[position - 1] > run_at:
            position -= 1
        times.insert(position, run_at)


class CountWindow:
    """Number of events in a sliding window, in bounded memory."""

    __slots__ = ('_buckets', '_interval', '_total')

    def __init__(self, length: timedelta) -> None:
        """Create an empty window."""
        self._interval = length / _BUCKETS_PER_WINDOW
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, count: int, now: timedelta) -> None:
        """Add events at ``now``."""
        bucket = now // self._interval
        buckets = self._buckets
        self._total += count
        if buckets and buckets[-1][0] == bucket:
            count += buckets.pop()[1]
        buckets.append((bucket, count))

    def count(self, now: timedelta) -> int:
        """Return the number of events in the window that ends at ``now``."""
        oldest = now // self._interval - _BUCKETS_PER_WINDOW
        buckets = self._buckets
        while buckets and buckets[0][0] <= oldest:
            self._total -= buckets.popleft()[1]
        return self._total
