"""Choice of the candidates for a request."""

import math
from bisect import insort
from collections.abc import Collection, Sequence
from datetime import timedelta
from operator import itemgetter
from typing import TypeAlias

from plantainstand_steering._candidate import CandidateId, RankedCandidate
from plantainstand_steering._estimate import Estimate, has_free_slot
from plantainstand_steering._view import ServiceView

# For a first attempt, a retry and a hedge.
_DEFAULT_CANDIDATE_COUNT = 3

_Scored: TypeAlias = tuple[float, Estimate]
_cost_of = itemgetter(0)


def rank_candidates(
    view: ServiceView,
    *,
    queued: int = 0,
    excluded: Collection[CandidateId] = (),
    limit: int = _DEFAULT_CANDIDATE_COUNT,
) -> Sequence[RankedCandidate]:
    """Return up to ``limit`` candidates, the cheapest first.

    ``queued`` is the number of requests that wait at this VM for a slot of a
    local target and start before this request; see
    :meth:`~plantainstand_steering.AdmissionQueue.requests_ahead`. ``excluded``
    holds the candidates that the request has already tried.
    """
    now = view.monotonic_seconds()
    local_wait = (queued + 1) / max(view.local_slots, 1)
    shortlist = _Shortlist(limit, local_wait, excluded)
    order = view.order
    for changed in order.changed(now):
        shortlist.offer(changed)
    for estimate in order.unchanged_by_cost():
        if estimate.cost >= shortlist.cost_bound:
            break
        shortlist.offer(estimate)
    return tuple(
        RankedCandidate(
            entry.candidate,
            timedelta(seconds=cost),
            has_free_slot(entry, now),
        )
        for cost, entry in shortlist.scored
    )


def choose_free_target(
    view: ServiceView,
    excluded: Collection[CandidateId] = (),
) -> CandidateId | None:
    """Return the cheapest local target with a free slot, or ``None``."""
    now = view.monotonic_seconds()
    order = view.order
    free = (
        (order.cost(estimate, now), estimate)
        for estimate in order.local
        if estimate.in_flight < estimate.slots
        and estimate.candidate.candidate_id not in excluded
    )
    chosen = min(free, key=_cost_of, default=None)
    return None if chosen is None else chosen[1].candidate.candidate_id


class _Shortlist:
    """The cheapest of the offered candidates, in order of cost."""

    def __init__(
        self,
        limit: int,
        local_wait: float,
        excluded: Collection[CandidateId],
    ):
        self.cost_bound = math.inf
        self.scored: list[_Scored] = []
        self._limit = limit
        self._local_wait = local_wait
        self._excluded = excluded

    def offer(self, estimate: Estimate) -> None:
        cost = estimate.cost
        if not estimate.is_vm and estimate.in_flight >= estimate.slots:
            cost += self._local_wait * estimate.service_time
        if cost >= self.cost_bound:
            return
        if estimate.candidate.candidate_id in self._excluded:
            return
        insort(self.scored, (cost, estimate), key=_cost_of)
        if len(self.scored) > self._limit:
            self.scored.pop()
        if len(self.scored) == self._limit:
            self.cost_bound = self.scored[-1][0]
