"""How slow a target works, from what it states.

Load pattern: machines that are shared slow down and recover several times a
second, so a statement is worth little once it is a second old.
"""

import math
from datetime import timedelta

USUAL_SLOWDOWN = 1.0
"""Slowdown of a target whose work takes as long as usual."""

SLOWDOWN_HALF_LIFE = timedelta(milliseconds=300)
"""Age at which a reported slowdown counts half."""


class ReportedSlowdown:
    """The last statement of one target, which fades with its age."""

    def __init__(self) -> None:
        """Assume the usual speed."""
        self._value = USUAL_SLOWDOWN
        self._reported_at = timedelta()

    def record(self, now: timedelta, slowdown: float) -> None:
        """Record what a target has stated."""
        self._value = slowdown
        self._reported_at = now

    def at(self, now: timedelta) -> float:
        """Return how many times as long as usual work takes now."""
        if self._value == USUAL_SLOWDOWN:
            return USUAL_SLOWDOWN
        half_lives = (now - self._reported_at) / SLOWDOWN_HALF_LIFE
        excess = self._value - USUAL_SLOWDOWN
        return USUAL_SLOWDOWN + excess * math.pow(0.5, half_lives)
