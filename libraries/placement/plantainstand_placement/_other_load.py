"""Load that other VMs cause at a target, from what the target states."""

import math
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_placement._slowdown import USUAL_SLOWDOWN

LOAD_REPORT_HALF_LIFE = timedelta(milliseconds=1500)
"""Age at which a report of the load that other VMs cause counts half. With less
than a second, a report is forgotten between two responses of a busy target, and
all VMs send to that target at the same time."""

SHARED_LOAD_LEAD = timedelta(milliseconds=100)
"""Time by which a shared load has to be newer than the last own report. The
time on the links is not part of its age, so that this VM's own report would
otherwise come back as a newer one."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports: requests running and waiting, and slots."""

    running: int
    waiting: int
    slots: int
    slowdown: float = USUAL_SLOWDOWN
    """How many times as long as usual work takes on its machine now."""

    states_speed: bool = False
    """Whether the target has stated ``slowdown``."""

    def usual_time(self, duration: timedelta) -> timedelta:
        """Return how long a run of ``duration`` takes at usual speed."""
        return duration / self.slowdown


class OtherLoad:
    """Newest statement of one target, less the own requests; it fades."""

    def __init__(self, now: timedelta):
        """Start without load."""
        self._requests = float(0)
        self._read_at = now
        self._is_known = False
        self._unreported: tuple[timedelta, LoadReport] | None = None

    @property
    def last(self) -> float:
        """Requests of other VMs by the newest statement."""
        return self._requests

    def weight(self, now: timedelta) -> float:
        """Return how much the newest statement counts, 0 to 1."""
        if not self._is_known:
            return 0
        half_lives = (now - self._read_at) / LOAD_REPORT_HALF_LIFE
        return math.pow(0.5, half_lives)

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the newest statement; None without one."""
        return now - self._read_at if self._is_known else None

    def at(self, now: timedelta, usual: float = 0) -> float:
        """Return the estimated number of requests of other VMs.

        ``usual`` is what is assumed without a statement.
        """
        weight = self.weight(now)
        return self._requests * weight + usual * (1 - weight)

    def record_own(
        self, now: timedelta, report: LoadReport, in_flight: int
    ) -> None:
        """Record what a response to this VM states.

        Only targets that state their speed have loads that are exchanged.
        """
        self._record(now, report, in_flight)
        self._unreported = (now, report) if report.states_speed else None

    def record_shared(
        self, read_at: timedelta, report: LoadReport, in_flight: int
    ) -> bool:
        """Record what another VM read; return False if it is not newer."""
        if read_at <= self._read_at + SHARED_LOAD_LEAD:
            return False
        self._record(read_at, report, in_flight)
        return True

    def take_unreported(self) -> tuple[timedelta, LoadReport] | None:
        """Return the newest own statement, once, with its time."""
        unreported = self._unreported
        self._unreported = None
        return unreported

    def _record(
        self, read_at: timedelta, report: LoadReport, in_flight: int
    ) -> None:
        load = report.running + report.waiting - in_flight
        self._requests = max(float(0), load)
        self._read_at = read_at
        self._is_known = True
