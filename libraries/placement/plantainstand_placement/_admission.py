"""How long requests of each rank may wait when not all can be served.

Load pattern: arrivals exceed the slots for seconds, and accounts or routes of
one service differ in rank. An entry VM holds no queue in which urgent requests
could overtake others. It rejects the less urgent ones at a shorter expected
wait instead, which leaves the targets' queues to the more urgent ones.
"""

from dataclasses import dataclass

MAX_COUNTED_REQUESTS = 400
"""Requests after which all counts are halved, which bounds the memory."""

MIN_COUNT = 1.0
"""Count below which a rank is dropped when counts are halved, so that a single
request of another rank has no lasting effect."""

LOWEST_WAIT_FRACTION = 0.5
"""Wait of the least urgent requests as a fraction of the longest one. With 0.25
they got, at four times the usual load, hardly a quarter of the mean share."""

RETRY_SPREAD = 0.2
"""Largest addition to a Retry-After as a fraction of it, so that callers that
are rejected together do not return together."""


@dataclass(frozen=True, slots=True)
class Admission:
    """How a request is admitted beside those of other ranks."""

    wait_fraction: float
    """Multiple of the longest expected wait, 0 to 1."""

    retry_spread: float
    """Addition to a Retry-After as a fraction of it."""


class RankCounts:
    """Counts of a service's requests by rank; old requests count less."""

    def __init__(self) -> None:
        """Count no requests."""
        self._counts: dict[int, float] = {}
        self._total = float(0)

    def count(self, rank: int, draw: float) -> Admission | None:
        """Count a request; return how it is admitted.

        None if all counted requests have one rank. ``draw`` is a number from 0
        to 1 that differs between requests.
        """
        self._counts[rank] = self._counts.get(rank, 0) + 1
        self._total += 1
        if self._total >= MAX_COUNTED_REQUESTS:
            self._halve()
        return self.preview(rank, draw)

    def preview(self, rank: int, draw: float) -> Admission | None:
        """Return how a request of a rank is admitted, without counting it."""
        if not self._counts.keys() - {rank}:
            return None
        more_urgent = sum(
            count for other, count in self._counts.items() if other < rank
        )
        others = self._total - self._counts.get(rank, 0)
        lowered = (1 - LOWEST_WAIT_FRACTION) * more_urgent / others
        return Admission(1 - lowered, draw * RETRY_SPREAD)

    def _halve(self) -> None:
        self._counts = {
            rank: count / 2
            for rank, count in self._counts.items()
            if count / 2 >= MIN_COUNT
        }
        self._total = sum(self._counts.values())
