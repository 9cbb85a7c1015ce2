"""Limits the requests that one entry VM sends to a cold target."""

from dataclasses import dataclass
from datetime import timedelta

_SECOND = timedelta(seconds=1)

USED_COLD_LIMIT_FRACTION = 0.8
"""Fraction of the limit that is used: the known number of entry VMs lags."""


@dataclass(frozen=True)
class ColdTargetLimits:
    """Limit on the requests that a cold target receives in any second."""

    factor: float
    """Multiple of the cold rate stated by the service."""

    slack: float
    """Requests per second allowed in addition."""

    def requests_per_vm(self, service_rate: float, entry_count: int) -> int:
        """Return how many requests one VM may send in any second.

        ``service_rate`` is the cold rate of the service, in requests per
        second. Shares are rounded down, even to 0, so that the sum over all
        ``entry_count`` VMs stays within the limit.
        """
        total = service_rate * self.factor + self.slack
        return int(total * USED_COLD_LIMIT_FRACTION / max(1, entry_count))


class ColdRequestLimiter:
    """Sliding-window rate limiter for one cold target."""

    def __init__(self) -> None:
        """Create a limiter with an empty window."""
        self._sent_at: list[timedelta] = []

    def allows(self, now: timedelta, limit: int) -> bool:
        """Tell whether one more request stays within ``limit`` per second."""
        self._sent_at = [
            sent_at for sent_at in self._sent_at if now - sent_at < _SECOND
        ]
        return len(self._sent_at) < limit

    def record(self, now: timedelta) -> None:
        """Record that a request is sent."""
        self._sent_at.append(now)
