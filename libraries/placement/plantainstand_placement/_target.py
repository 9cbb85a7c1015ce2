"""What an entry VM knows of one target."""

import math
from dataclasses import dataclass
from datetime import timedelta

import xxhash
from plantainstand_fleet import TargetEntry

from plantainstand_placement._cold import ColdGate

_NEVER = timedelta.min

REPORT_HALF_LIFE = timedelta(milliseconds=1500)
"""Age at which a report of other VMs' load counts half. Shorter than a second
it is forgotten between two answers of a busy target, and all VMs send at
once."""

FAILURE_WEIGHT = 0.15
"""Weight of the newest result in the moving failure rate."""

FAILURE_HALF_LIFE = timedelta(seconds=3)
"""Age at which the failure rate counts half, so that a target that gets no
requests is tried again."""

SUSPECT_PAUSE = timedelta(milliseconds=500)
"""Pause after a target could not be reached; doubles with each repetition."""

SUSPECT_PAUSE_MAX = timedelta(seconds=4)
"""Longest such pause."""

SILENCE_MULTIPLE = 4
"""A target that has answered nothing for this many usual service times,
though requests are under way, is passed over."""

SILENCE_MIN = timedelta(milliseconds=600)
"""Shortest time that counts as silence."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target says of its load."""

    running: int
    waiting: int
    slots: int


class TargetState:
    """Load and health of one target, from own results and its reports."""

    def __init__(self, entry: TargetEntry, now: timedelta):
        """Start without requests."""
        self.entry = entry
        self.order_seed = xxhash.xxh32_intdigest(entry.target.encode())
        self.in_flight = 0
        self.cold_until = _NEVER
        self.gate = ColdGate()
        self._others = float(0)
        self._others_at = now
        self._failure_rate = float(0)
        self._failure_rate_at = now
        self._suspect_until = _NEVER
        self._suspect_pause = SUSPECT_PAUSE
        self._quiet_since: timedelta | None = None

    def load(self, now: timedelta) -> float:
        """Return the estimated number of requests at the target."""
        age = (now - self._others_at) / REPORT_HALF_LIFE
        return self.in_flight + self._others * _decay(age)

    def is_cold(self, now: timedelta) -> bool:
        """Tell whether the target may still be cold."""
        return now < self.cold_until

    def is_suspect(self, now: timedelta) -> bool:
        """Tell whether the target could lately not be reached."""
        return now < self._suspect_until

    def failure_rate(self, now: timedelta) -> float:
        """Return the share of useless results, fading with time."""
        age: float = (now - self._failure_rate_at) / FAILURE_HALF_LIFE
        return self._failure_rate * _decay(age)

    def is_silent(self, now: timedelta, service_time: timedelta) -> bool:
        """Tell whether requests are under way and none is answered."""
        limit = max(SILENCE_MIN, service_time * SILENCE_MULTIPLE)
        return self._quiet_since is not None and now - self._quiet_since > limit

    def began(self, now: timedelta) -> None:
        """Note that a request is sent."""
        self.in_flight += 1
        if self._quiet_since is None:
            self._quiet_since = now
        if self.is_cold(now):
            self.gate.count(now)

    def ended(self) -> None:
        """Note that a request is no longer under way, for any reason."""
        self.in_flight -= 1
        if not self.in_flight:
            self._quiet_since = None

    def answered(
        self,
        now: timedelta,
        report: LoadReport | None,
        *,
        failed: bool,
    ) -> None:
        """Note an answer; ``failed`` if it is of no use to the client."""
        self._quiet_since = now if self.in_flight else None
        self._suspect_pause = SUSPECT_PAUSE
        self._note_result(now, failed=failed)
        if report is not None:
            load = report.running + report.waiting
            self._note_others(now, load - self.in_flight)

    def rejected(self, now: timedelta, report: LoadReport | None) -> None:
        """Note that the target has refused to run a request.

        A target that does not state its load is taken to be full.
        """
        self._quiet_since = now if self.in_flight else None
        self._note_result(now, failed=True)
        load = self.entry.slots + 1
        if report is not None:
            load = report.running + report.waiting
        self._note_others(now, load - self.in_flight)

    def broke(self, now: timedelta) -> None:
        """Note an exchange that ended without an answer."""
        self._note_result(now, failed=True)

    def unreachable(self, now: timedelta) -> None:
        """Note that no connection could be made."""
        self._note_result(now, failed=True)
        self._suspect_until = now + self._suspect_pause
        self._suspect_pause = min(self._suspect_pause * 2, SUSPECT_PAUSE_MAX)

    def _note_result(self, now: timedelta, *, failed: bool) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_rate_at = now

    def _note_others(self, now: timedelta, others: float) -> None:
        self._others = max(float(0), others)
        self._others_at = now


def _decay(half_lives: float) -> float:
    return math.pow(0.5, half_lives)
