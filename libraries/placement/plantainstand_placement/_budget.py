"""One entry VM's share of each service's retry budget."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import ServiceId

USED_BUDGET_FRACTION = 0.7
"""Fraction of the budget that is spent: the windows of the VMs are not
aligned, and each VM learns of changes to the number of VMs at another time."""


@dataclass(frozen=True)
class RetryBudgetLimits:
    """Limit on the attempts beyond the first one of each request."""

    ratio: float
    """Retries allowed per request."""

    slack: float
    """Retries allowed in addition, for all entry VMs together."""

    window: timedelta
    """Length of the sliding window to which the limit applies."""


class RetryBudgetShare:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(self, terms: RetryBudgetLimits):
        """Create a share whose windows are empty."""
        self._terms = terms
        self._requests: dict[ServiceId, deque[timedelta]] = {}
        self._retries: dict[ServiceId, deque[timedelta]] = {}

    def count_request(self, service: ServiceId, now: timedelta) -> None:
        """Count a client's request, which adds to the budget."""
        self._window(self._requests, service, now).append(now)

    def try_spend(
        self, service: ServiceId, now: timedelta, entry_count: int
    ) -> bool:
        """Spend one retry; return False if the budget doesn't allow it.

        ``entry_count`` is the number of entry VMs that share the budget.
        """
        requests = len(self._window(self._requests, service, now))
        retries = self._window(self._retries, service, now)
        slack = self._terms.slack / max(1, entry_count)
        allowed = self._terms.ratio * requests + slack
        if len(retries) + 1 > allowed * USED_BUDGET_FRACTION:
            return False
        retries.append(now)
        return True

    def _window(
        self,
        windows: dict[ServiceId, deque[timedelta]],
        service: ServiceId,
        now: timedelta,
    ) -> deque[timedelta]:
        window = windows.setdefault(service, deque())
        while window and now - window[0] > self._terms.window:
            window.popleft()
        return window
