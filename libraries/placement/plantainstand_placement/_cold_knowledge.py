"""Whether one entry VM knows that a target is warm.

A VM that is cut off, or whose platform's list is silent, does not learn that a
target has turned cold, and a target that starts again under its id looks as
before. Such a VM sends to a target as if it were cold until the list or the
target itself says otherwise.
"""

from dataclasses import dataclass
from datetime import timedelta

_NEVER = timedelta.min

LIST_LIFETIME = timedelta(seconds=2)
"""Age from which a list does not tell which targets are warm: one polling
interval, and the time until another control VM takes over."""

PROBE_LIFETIME = timedelta(milliseconds=500)
"""Age from which a target's own answer does not tell that it is warm."""

PROBE_INTERVAL = timedelta(milliseconds=400)
"""Time between two probes of a target."""


@dataclass(frozen=True, slots=True)
class ListReading:
    """Newest reading of the platform's list."""

    seen_at: timedelta
    """Monotonic time of the reading."""

    lag: timedelta
    """Age of what the list says when it is read."""


class ColdKnowledge:
    """What one entry VM knows of one target's state, and since when."""

    def __init__(self) -> None:
        """Start without failures and without an answer of the target."""
        self._warm_at = _NEVER
        self._probe_started_at = _NEVER
        self._doubted_at = _NEVER
        self._is_lost = False
        self._is_doubted = False

    def is_known(self, now: timedelta, reading: ListReading) -> bool:
        """Tell whether this VM would know if the target were cold."""
        if not self._is_doubted and reading.seen_at >= now - LIST_LIFETIME:
            return True
        if self._is_lost:
            return False
        listed_at = reading.seen_at - reading.lag
        if max(listed_at, self._warm_at) < self._doubted_at:
            return False
        # Nothing brings the doubt back but another failure.
        self._is_doubted = False
        if reading.seen_at >= now - LIST_LIFETIME:
            return True
        return self._warm_at >= now - PROBE_LIFETIME

    def is_probe_due(self, now: timedelta) -> bool:
        """Tell whether the last probe was started long enough ago."""
        return self._probe_started_at <= now - PROBE_INTERVAL

    def record_start(self, now: timedelta) -> None:
        """Record that this VM has started: it saw none of the failures by which
        the others know that a target is a new start.
        """
        self._doubted_at = now
        self._is_doubted = True

    def record_failure(self, now: timedelta) -> None:
        """Record a failed exchange: the target may have ended."""
        self._doubted_at = now
        self._is_doubted = True
        self._is_lost = True

    def record_contact(self, now: timedelta) -> None:
        """Record an answer: after a failure, the target may be a new start."""
        if self._is_lost:
            self._doubted_at = now
            self._is_lost = False

    def record_probe(self, now: timedelta) -> None:
        """Record that a probe is started."""
        self._probe_started_at = now

    def record_warm(self, asked_at: timedelta) -> None:
        """Record that the target said it was warm after ``asked_at``."""
        if asked_at >= self._doubted_at:
            self._is_lost = False
        self._warm_at = max(self._warm_at, asked_at)
