"""Candidates in order of cost, kept between decisions."""

import math
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter
from random import Random

from plantainstand_steering._estimate import Estimate, refresh_cost

# VMs with the same reports would otherwise all pick the same candidate.
_JITTER = 0.1
# Without new facts a cost changes with age only; this is short against the
# report interval of 0.5 s.
_LIFETIME_SECONDS = 0.1


class CostOrder:
    """Sorts all candidates a few times per second, not per decision.

    A candidate that has changed since the last sort is compared on its own,
    so a decision looks at the cheapest and at the recently used ones only.
    """

    def __init__(self, estimates: Iterable[Estimate], random_source: Random):
        """Order these candidates; all are usable."""
        self._random = random_source
        self._estimates = tuple(estimates)
        self._local = tuple(
            estimate for estimate in self._estimates if not estimate.is_vm
        )
        self._sorted: Sequence[Estimate] = ()
        self._touched: list[Estimate] = []
        self._valid_until = -math.inf
        for estimate in self._estimates:
            estimate.is_touched = False
            estimate.is_stale = True

    @property
    def local(self) -> Sequence[Estimate]:
        """Local targets, in no order."""
        return self._local

    def touch(self, estimate: Estimate) -> None:
        """Note that the cost of a candidate has changed."""
        estimate.is_stale = True
        if not estimate.is_touched:
            estimate.is_touched = True
            self._touched.append(estimate)

    def touched(self, now: float) -> Sequence[Estimate]:
        """Return the candidates that are out of order, with current costs."""
        if now > self._valid_until:
            self._sort(now)
        for estimate in self._touched:
            if estimate.is_stale:
                self._refresh(estimate, now)
        return self._touched

    def cheapest_first(self) -> Iterator[Estimate]:
        """Yield the others; :meth:`touched` has to be called before."""
        for estimate in self._sorted:
            if not estimate.is_touched:
                yield estimate

    def cost(self, estimate: Estimate, now: float) -> float:
        """Return the cost of a candidate with its part of the jitter."""
        if estimate.is_stale:
            self._refresh(estimate, now)
        return estimate.cost

    def _sort(self, now: float) -> None:
        for estimate in self._estimates:
            self._refresh(estimate, now)
            estimate.is_touched = False
        self._touched.clear()
        self._sorted = sorted(self._estimates, key=attrgetter('cost'))
        self._valid_until = now + _LIFETIME_SECONDS

    def _refresh(self, estimate: Estimate, now: float) -> None:
        jitter = 1 + _JITTER * self._random.random()
        estimate.cost = refresh_cost(estimate, now) * jitter
        estimate.is_stale = False
