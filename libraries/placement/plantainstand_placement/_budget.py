"""One entry VM's part of a service's retry budget."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import ServiceId

BUDGET_SAFETY_SHARE = 0.7
"""Part of the budget that is used: windows and VM counts don't line up."""


@dataclass(frozen=True)
class RetryBudgetLimits:
    """Bound on the arrivals beyond the first of each request."""

    ratio: float
    """Repeats allowed per request."""

    slack: float
    """Repeats allowed beyond that, for all entry VMs together."""

    window: timedelta
    """Any span of this length counts."""


class RetryBudgetShare:
    """Requests and repeats of each service in a sliding window."""

    def __init__(self, terms: RetryBudgetLimits):
        """Start with an empty window."""
        self._terms = terms
        self._requests: dict[ServiceId, deque[timedelta]] = {}
        self._repeats: dict[ServiceId, deque[timedelta]] = {}

    def count_request(self, service: ServiceId, now: timedelta) -> None:
        """Note a request of a client."""
        self._window(self._requests, service, now).append(now)

    def take(
        self, service: ServiceId, now: timedelta, entry_count: int
    ) -> bool:
        """Take one repeat out of the budget, if it allows one."""
        requests = len(self._window(self._requests, service, now))
        repeats = self._window(self._repeats, service, now)
        slack = self._terms.slack / max(1, entry_count)
        allowed = self._terms.ratio * requests + slack
        if len(repeats) + 1 > allowed * BUDGET_SAFETY_SHARE:
            return False
        repeats.append(now)
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
