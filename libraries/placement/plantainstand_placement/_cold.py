"""How many requests a cold target gets from one entry VM."""

from dataclasses import dataclass
from datetime import timedelta

_SECOND = timedelta(seconds=1)

COLD_SAFETY_SHARE = 0.8
"""Part of the bound that is used: the count of entry VMs lags."""


@dataclass(frozen=True)
class ColdTargetLimits:
    """Bound on the requests that a cold target gets in one second."""

    factor: float
    """Multiple of the service's own rate that is borne."""

    slack: float
    """Requests borne beyond that."""

    def per_vm(self, service_rate: float, entry_count: int) -> int:
        """Return how many requests one VM may send in any second.

        The sum over all VMs stays within the bound, so small shares are
        rounded down, even to none.
        """
        total = service_rate * self.factor + self.slack
        return int(total * COLD_SAFETY_SHARE / max(1, entry_count))


class ColdGate:
    """Counts the requests of the last second at one cold target."""

    def __init__(self) -> None:
        """Start without requests."""
        self._sent: list[timedelta] = []

    def admits(self, now: timedelta, limit: int) -> bool:
        """Tell whether one more request keeps to the limit."""
        self._sent = [when for when in self._sent if now - when < _SECOND]
        return len(self._sent) < limit

    def count(self, now: timedelta) -> None:
        """Note a request."""
        self._sent.append(now)
