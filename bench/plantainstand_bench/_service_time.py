"""Seeded service times of a target."""

import math
import random
import threading
from datetime import timedelta

from plantainstand_bench._target_settings import TargetSettings


class ServiceTimes:
    """Draws service times; the first requests after a start are slower."""

    def __init__(self, settings: TargetSettings):
        """Seed with the target's id, so that targets differ."""
        self._settings = settings
        self._random = random.Random(f'{settings.seed}/{settings.id}')
        self._drawn = 0
        self._lock = threading.Lock()

    def draw(self, slow_factor: float) -> timedelta:
        """Return the next service time."""
        with self._lock:
            factor = slow_factor * self._cold_factor() * self._tail_factor()
            self._drawn += 1
            return timedelta(milliseconds=factor * self._log_normal())

    def chance(self, fraction: float) -> bool:
        """Return true for the given share of calls."""
        if not fraction:
            return False
        with self._lock:
            return self._random.random() < fraction

    def _log_normal(self) -> float:
        distribution = self._settings.service_time
        exponent = self._random.gauss(0, distribution.sigma)
        return distribution.median_ms * math.exp(exponent)

    def _tail_factor(self) -> float:
        distribution = self._settings.service_time
        is_slow = self._random.random() < distribution.tail_fraction
        return distribution.tail_factor if is_slow else 1

    def _cold_factor(self) -> float:
        cold = self._settings.cold_start
        if self._drawn >= cold.requests:
            return 1
        warmth = self._drawn / cold.requests
        return cold.factor - (cold.factor - 1) * warmth
