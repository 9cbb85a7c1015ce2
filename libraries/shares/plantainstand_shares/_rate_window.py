"""Use of a rate-limited resource in a sliding window."""

from collections import deque
from datetime import timedelta

from plantainstand_shares._commands import Amount

_INTERVALS_PER_SECOND = 40
_INTERVAL = timedelta(seconds=1) / _INTERVALS_PER_SECOND
# The current interval and 41 whole ones cover at least 1.025 s, so the window
# is at least a second long even if the clock runs 2 % fast.
_WHOLE_INTERVAL_COUNT = _INTERVALS_PER_SECOND + 1


class RateWindow:
    """Sum of the use in the last second or slightly more.

    Keeping this sum at or below the share bounds the use in every one-second
    window, and with it the sum over all holders. A token bucket does not: it
    allows its burst on top of one second's refill.
    """

    __slots__ = ('_intervals', '_total')

    def __init__(self) -> None:
        """Create an empty window."""
        self._intervals: deque[tuple[int, Amount]] = deque()
        self._total: Amount = 0

    def used(self, now: timedelta) -> Amount:
        """Return the use in the window that ends at ``now``."""
        intervals = self._intervals
        if intervals:
            oldest = now // _INTERVAL - _WHOLE_INTERVAL_COUNT
            while intervals and intervals[0][0] < oldest:
                self._total -= intervals.popleft()[1]
            if not intervals:
                # Discards the accumulated rounding errors of float sums.
                self._total = 0
        return self._total

    def add(self, amount: Amount, now: timedelta) -> None:
        """Add use at ``now``."""
        interval = now // _INTERVAL
        if self._intervals and self._intervals[-1][0] == interval:
            amount_before = self._intervals.pop()[1]
            self._intervals.append((interval, amount_before + amount))
        else:
            self._intervals.append((interval, amount))
        self._total += amount
