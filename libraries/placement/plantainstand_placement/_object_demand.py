"""Which part of a service's requests is for one object.

Load pattern: demand is skewed, and an object in demand brings more requests
than one target can run. An entry VM sees about a hundredth of the requests, so
that only objects in great demand can be told from others by counting.
"""

import math
from dataclasses import dataclass

MAX_COUNTED_REQUESTS = 400
"""Requests after which all counts are halved. The objects that are counted are
at most as many, which bounds the memory."""

MIN_COUNT = 1.0
"""Count below which an object is dropped when counts are halved."""

MIN_TOTAL = 20
"""Least total by which counts are divided, so that the first requests of a
process do not make their objects look like the only ones."""


@dataclass(frozen=True, slots=True)
class DemandEstimate:
    """Demand for the object of one request."""

    share: float
    """Part of the service's requests that is for the object, 0 to 1, at the
    lower end of what the count makes likely."""

    turn: int
    """Number of the request, by which requests take turns at equal targets."""


class ObjectDemand:
    """Counts of a service's requests by object; old requests count less."""

    def __init__(self) -> None:
        """Count no requests."""
        self._counts: dict[bytes, float] = {}
        self._total = float(0)
        self._turn = 0

    def count(self, object_key: bytes) -> DemandEstimate:
        """Count a request for an object; return the demand for it."""
        self._counts[object_key] = self._counts.get(object_key, 0) + 1
        self._total += 1
        self._turn += 1
        if self._total >= MAX_COUNTED_REQUESTS:
            self._halve()
        count = self._counts.get(object_key, 0)
        return DemandEstimate(_share(count, self._total), self._turn)

    def preview(self, object_key: bytes) -> DemandEstimate:
        """Return what :meth:`count` would return now, without counting."""
        count = self._counts.get(object_key, 0) + 1
        total = self._total + 1
        if total >= MAX_COUNTED_REQUESTS:
            total /= 2
            count = count / 2 if count / 2 >= MIN_COUNT else 0
        return DemandEstimate(_share(count, total), self._turn + 1)

    def _halve(self) -> None:
        self._total /= 2
        self._counts = {
            object_key: count / 2
            for object_key, count in self._counts.items()
            if count / 2 >= MIN_COUNT
        }


def _share(count: float, total: float) -> float:
    # The standard deviation of a count of random arrivals is its root.
    certain = max(float(0), count - math.sqrt(count))
    return certain / max(MIN_TOTAL, total)
