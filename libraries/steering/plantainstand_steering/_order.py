"""Order of the candidates by cost, cached between decisions."""

import math
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter
from random import Random

from plantainstand_steering._estimate import Estimate, refresh_cost

# Without jitter, all VMs with the same reports choose the same candidate.
_COST_JITTER_FRACTION = 0.1
# Without new reports and results a cost changes only as they age; this is
# short compared with the report interval of 0.5 s.
_SORT_LIFETIME_SECONDS = 0.1


class CostOrder:
    """Sorts all candidates at a bounded rate instead of for each decision.

    Candidates that have changed since the last sort are kept apart, so a
    decision examines only these and the cheapest of the others.
    """

    def __init__(self, estimates: Iterable[Estimate], random_source: Random):
        """Create an order of usable candidates."""
        self._random = random_source
        self._estimates = tuple(estimates)
        self._local = tuple(
            estimate for estimate in self._estimates if not estimate.is_vm
        )
        self._sorted: Sequence[Estimate] = ()
        self._changed: list[Estimate] = []
        self._valid_until = -math.inf
        for estimate in self._estimates:
            estimate.is_changed = False
            estimate.is_cost_stale = True

    @property
    def local(self) -> Sequence[Estimate]:
        """Local targets, unordered."""
        return self._local

    def mark_changed(self, estimate: Estimate) -> None:
        """Mark the cost of a candidate as changed."""
        estimate.is_cost_stale = True
        if not estimate.is_changed:
            estimate.is_changed = True
            self._changed.append(estimate)

    def changed(self, now: float) -> Sequence[Estimate]:
        """Return the candidates changed since the last sort.

        Sorts first when the last sort has expired, and refreshes the costs of
        the returned candidates.
        """
        if now > self._valid_until:
            self._sort(now)
        for estimate in self._changed:
            if estimate.is_cost_stale:
                self._refresh(estimate, now)
        return self._changed

    def unchanged_by_cost(self) -> Iterator[Estimate]:
        """Yield the other candidates, cheapest first.

        :meth:`changed` must be called before.
        """
        for estimate in self._sorted:
            if not estimate.is_changed:
                yield estimate

    def cost(self, estimate: Estimate, now: float) -> float:
        """Return the cost of a candidate with jitter."""
        if estimate.is_cost_stale:
            self._refresh(estimate, now)
        return estimate.cost

    def _sort(self, now: float) -> None:
        for estimate in self._estimates:
            self._refresh(estimate, now)
            estimate.is_changed = False
        self._changed.clear()
        self._sorted = sorted(self._estimates, key=attrgetter('cost'))
        self._valid_until = now + _SORT_LIFETIME_SECONDS

    def _refresh(self, estimate: Estimate, now: float) -> None:
        jitter = 1 + _COST_JITTER_FRACTION * self._random.random()
        estimate.cost = refresh_cost(estimate, now) * jitter
        estimate.is_cost_stale = False
