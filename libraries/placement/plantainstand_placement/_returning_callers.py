"""Callers that were rejected and told when to return.

Load pattern: while all targets of a service state limits, callers that were
rejected return at the same moment as soon as one request is allowed again, and
all but one are rejected once more, some for the last time. Each rejection
therefore counts those that are to return before.
"""

import heapq
from datetime import timedelta

from plantainstand_core import ServiceId


class ReturningCallers:
    """Times at which the rejected callers of each service are to return."""

    def __init__(self) -> None:
        """Start without callers."""
        self._return_at: dict[ServiceId, list[timedelta]] = {}

    def count(self, service: ServiceId, now: timedelta) -> int:
        """Return the number of callers that have not returned yet."""
        times = self._return_at.get(service, [])
        while times and times[0] <= now:
            heapq.heappop(times)
        return len(times)

    def record(self, service: ServiceId, return_at: timedelta) -> None:
        """Record that a caller is told to return at a monotonic time."""
        heapq.heappush(self._return_at.setdefault(service, []), return_at)
