"""The load that other entry VMs cause at a target, from its reports."""

import math
from datetime import timedelta

LOAD_REPORT_HALF_LIFE = timedelta(milliseconds=1500)
"""Age at which a report of the load that other VMs cause counts half. With less
than a second, a report is forgotten between two responses of a busy target, and
all VMs send to that target at the same time."""


class ReportedLoad:
    """The last report, which counts less with its age."""

    def __init__(self, now: timedelta) -> None:
        """Assume no load until the first report."""
        self._load = float(0)
        self._reported_at = now
        self._is_known = False

    @property
    def last(self) -> float:
        """Load by the last report."""
        return self._load

    def record(self, now: timedelta, load: float) -> None:
        """Record a report."""
        self._load = max(float(0), load)
        self._reported_at = now
        self._is_known = True

    def weight(self, now: timedelta) -> float:
        """Return how much the last report counts, 0 to 1."""
        if not self._is_known:
            return 0
        half_lives = (now - self._reported_at) / LOAD_REPORT_HALF_LIFE
        return math.pow(0.5, half_lives)

    def at(self, now: timedelta, usual: float) -> float:
        """Return the estimated load; ``usual`` if nothing is known."""
        weight = self.weight(now)
        return self._load * weight + usual * (1 - weight)
